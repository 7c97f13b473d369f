package core

import (
	"github.com/tamarindstep/tamarindstep/core/estimate"
	"github.com/tamarindstep/tamarindstep/model"
)

// kind is a kind of request, for the estimates.
type kind struct {
	key   model.Key
	class model.Class
}

// charge sets the service that a running request stands for: its input, its
// output so far and what the policy counts of the rest expected.
func (c *Core) charge(r *request, output float64) {
	c.chargeTokens(r, r.input+output+c.ahead(r, output))
}

// ahead returns what counts of the rest that is expected of a running request.
func (c *Core) ahead(r *request, output float64) float64 {
	if c.config.Policy.SettleAtEnd {
		return r.expected - output
	}
	return min(c.lengths(r).Rest(output), c.config.Policy.LookAhead)
}

func (c *Core) chargeTokens(r *request, tokens float64) {
	service := model.ServiceOf(tokens, c.weightOf(r.key.Account))
	if service == r.charged {
		return
	}
	c.ledger.Add(c.now, r.key, service-r.charged)
	r.charged = service
}

// weightOf returns an account's weight; one that the configuration has just
// withdrawn counts with weight 1.
func (c *Core) weightOf(id model.AccountID) float64 {
	if w := c.config.Accounts[id].Weight; w > 0 {
		return w
	}
	return 1
}

// lookAheadOf returns what a running request of an account counts for beyond
// its deliveries, at the most.
func (c *Core) lookAheadOf(key model.Key) model.Service {
	if c.config.Policy == nil {
		return 0
	}
	return model.ServiceOf(c.config.Policy.LookAhead, c.weightOf(key.Account))
}

func (c *Core) lengths(r *request) *estimate.Lengths {
	k := kind{key: r.key, class: r.class}
	l := c.estimates[k]
	if l == nil {
		prior := c.config.Pools[r.key.Pool].ExpectedOutput
		if prior <= 0 {
			prior = defaultExpected
		}
		l = estimate.New(prior)
		c.estimates[k] = l
	}
	return l
}

func (c *Core) progress(e Progress) {
	if r := c.requests[e.ID]; r != nil && r.running {
		c.charge(r, e.Output)
	}
}
