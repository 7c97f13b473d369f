package core

import (
	"github.com/tamarindstep/tamarindstep/core/estimate"
	"github.com/tamarindstep/tamarindstep/model"
)

// estimateKey identifies the requests that share an output estimate.
type estimateKey struct {
	key   model.Key
	class model.Class
}

// charge sets the service charged for a running request: its input, its output so far and the part of the expected
// remaining output that the policy counts.
func (c *Core) charge(r *request, output float64) {
	c.chargeTokens(r, r.input+output+c.ahead(r, output))
}

// ahead returns the part of a running request's expected remaining output that the policy counts.
func (c *Core) ahead(r *request, output float64) float64 {
	if c.config.Policy.ChargeExpected {
		return r.expected - output
	}
	return min(c.lengths(r).Remaining(output), c.config.Policy.LookAhead)
}

func (c *Core) chargeTokens(r *request, tokens float64) {
	service := model.ServiceOf(tokens, c.weightOf(r.key.Account))
	if service == r.charged {
		return
	}
	c.ledger.AddService(c.now, r.key, service-r.charged)
	r.charged = service
}

// weightOf returns an account's weight, 1 for an account that has just been removed from the configuration.
func (c *Core) weightOf(id model.AccountID) float64 {
	if w := c.config.Accounts[id].Weight; w > 0 {
		return w
	}
	return 1
}

// lookAheadOf returns the greatest service charged for a running request of an account beyond its delivered tokens.
func (c *Core) lookAheadOf(key model.Key) model.Service {
	if c.config.Policy == nil {
		return 0
	}
	return model.ServiceOf(c.config.Policy.LookAhead, c.weightOf(key.Account))
}

func (c *Core) lengths(r *request) *estimate.Lengths {
	k := estimateKey{key: r.key, class: r.class}
	l := c.estimates[k]
	if l == nil {
		prior := c.config.Pools[r.key.Pool].ExpectedOutput
		if prior <= 0 {
			prior = defaultExpectedOutput
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
