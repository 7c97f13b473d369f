package core

import (
	"time"

	"github.com/tamarindstep/tamarindstep/core/prompt"
	"github.com/tamarindstep/tamarindstep/model"
)

const (
	// retryBudgetPause is the Retry-After of a retry that exceeds the retry budget.
	retryBudgetPause = 300 * time.Millisecond
)

// byPromptRequest is a request that package prompt decides on.
type byPromptRequest struct {
	key    model.Key
	stream model.StreamID
	pools  []model.PoolID // of its route

	suspect suspectIdentity
}

// byPrompt reports whether the policy in force decides by prompt.
func (c *Core) byPrompt() bool { return c.config.Policy != nil && c.config.Policy.ByPrompt != nil }

// configurePrompt passes the configuration to package prompt.
func (c *Core) configurePrompt() {
	c.loads.presence.enabled = c.byPrompt()
	if !c.byPrompt() {
		return
	}
	out := prompt.Config{
		Pools:           map[model.PoolID]prompt.Pool{},
		Backends:        map[model.BackendID]prompt.Backend{},
		Accounts:        map[model.AccountID]int{},
		TokensPerSecond: c.config.TokensPerSecond,
		HallHomes:       c.hallHomes,
		Tuning:          *c.config.Policy.ByPrompt,
	}
	hall := c.members.Self().DataHall
	for id, p := range c.config.Pools {
		out.Pools[id] = prompt.Pool{
			Engine: p.FollowLoad, CacheTokens: p.MemoryTokens, CopyRate: p.CopyRate, ColdFor: p.ColdFor,
		}
		if p.ColdRate > 0 {
			pool := out.Pools[id]
			pool.ColdBound = c.coldLimits.Bound(p.ColdRate)
			out.Pools[id] = pool
		}
	}
	for id, b := range c.config.Backends {
		out.Backends[id] = prompt.Backend{
			Name: b.Name, Pool: b.Pool, Near: b.DataHall == hall, Hall: b.DataHall, Slots: b.Slots, Leaving: b.Leaving,
			Evacuated: b.Evacuated, Cold: b.Cold, Build: b.Lineage().Build,
		}
	}
	for id, a := range c.config.Accounts {
		out.Accounts[id] = a.Priority
	}
	c.prompt.Configure(c.now, out)
}

// arriveByPrompt processes a request under a policy that decides by prompt.
func (c *Core) arriveByPrompt(e Arrive) {
	if !e.Retry {
		c.retries.CountRequest(c.now, e.Pool)
	} else if !c.retries.TryTake(c.now, e.Pool) {
		c.emit(Refuse{ID: e.ID, Reason: RetryBudget, RetryAfter: retryBudgetPause})
		return
	}
	key := model.Key{Pool: e.Pool, Account: e.Account}
	c.byPromptRequests[e.ID] = byPromptRequest{key: key, stream: e.Stream, pools: e.Pools, suspect: suspectIdentityOf(e)}
	in := prompt.Request{
		ID: e.ID, Account: e.Account, Pool: e.Pool, Route: e.Route, Prompt: e.Prompt,
		Objective: e.Objective, Wait: e.Wait, Priority: e.Priority, Exclude: e.Exclude, Lag: e.Lag,
		Bound: e.Bound, Build: e.Lineage.Build, Try: e.try,
	}
	if e.Stream != 0 && !e.Bound {
		in.Begins, in.NotAt = true, c.unsettled(e.Pool)
		c.streams.heldOff[e.Pool] = len(in.NotAt) > 0
	}
	if cost := c.prompt.CostOf(&in); cost > 0 && len(e.Exclude) == 0 {
		c.countByPrompt(key, cost, 0)
	}
	c.prompt.Arrive(c.now, in)
}

// countRefusedUnread counts requests that were refused before they reached the core: an account's demand affects the shares of
// the others wherever its requests are refused.
func (c *Core) countRefusedUnread(e RefusedUnread) {
	for _, r := range e.Requests {
		in := prompt.Request{Account: r.Account, Pool: r.Pool, Route: r.Route, Prompt: r.Prompt}
		if c.config.Pools[r.Pool].FollowLoad {
			c.loads.changed = true
			c.prompt.AddRefusedUnread(r.Account, c.prompt.CostOf(&in))
		}
	}
}

// countByPrompt adds to the tokens that an account has requested of an engine pool, and to those of its dispatched
// requests. They are used for the decisions here and at the other routers, which receive them with the load reports,
// and the dispatched ones are added to the ledger for the operators' view.
func (c *Core) countByPrompt(key model.Key, requested, begun float64) {
	if !c.config.Pools[key.Pool].FollowLoad {
		return
	}
	c.loads.changed = true
	c.prompt.AddUsage(key.Account, requested, begun)
	if begun != 0 {
		c.ledger.AddService(c.now, key, model.ServiceOf(begun, 1))
	}
}

// decideByPrompt runs the decisions of package prompt and emits them as actions.
func (c *Core) decideByPrompt() {
	if c.config.Policy == nil || c.config.Policy.ByPrompt == nil && c.prompt.Idle() {
		return
	}
	c.prompt.Sample(c.now)
	c.refreshUnsettled()
	c.prompt.Tick(c.now)
	for _, a := range c.prompt.TakeActions() {
		switch a := a.(type) {
		case prompt.Dispatch:
			c.dispatchedByPrompt(a)
		case prompt.Refuse:
			delete(c.byPromptRequests, a.ID)
			c.emit(Refuse{
				ID: a.ID, Reason: Refusal(a.Reason), RetryAfter: a.RetryAfter, Waited: a.Waited, Basis: a.Basis,
				ValidFor: a.ValidFor,
			})
		}
	}
}

// refreshUnsettled passes on which versions begin no streams, for requests that have been kept waiting by that.
func (c *Core) refreshUnsettled() {
	for _, pool := range sortedKeys(c.streams.heldOff) {
		if !c.streams.heldOff[pool] {
			continue
		}
		builds := c.unsettled(pool)
		c.prompt.SetUnsettled(pool, builds)
		c.streams.heldOff[pool] = len(builds) > 0
	}
}

func (c *Core) dispatchedByPrompt(a prompt.Dispatch) {
	r := c.byPromptRequests[a.ID]
	if refusal, held := c.heldSince(a.ID, r.suspect); held {
		delete(c.byPromptRequests, a.ID)
		c.prompt.Finish(c.now, a.ID, prompt.Disconnected, 0)
		c.emit(refusal)
		return
	}
	if cost := c.prompt.Cost(a.ID); cost > 0 {
		c.countByPrompt(r.key, 0, cost)
	}
	c.loads.changed = true
	c.recordStream(r.stream, r.pools, a.Backend)
	c.emit(Dispatch{
		ID: a.ID, Backend: a.Backend, Waited: a.Waited, Basis: a.Basis,
		CopyFrom: a.CopyFrom, Copied: a.Copied, Lineage: c.config.Backends[a.Backend].Lineage(),
	})
}

// promptEndings maps each ending to that of package prompt.
var promptEndings = map[Ending]prompt.Ending{
	Done: prompt.Done, Broken: prompt.Disconnected, NotSent: prompt.NotSent, Cancelled: prompt.Disconnected,
	Rejected: prompt.Rejected, Failed: prompt.Failed, Inconclusive: prompt.Done,
}

// finishByPrompt ends a request. The tokens of a request that wasn't executed are subtracted again.
func (c *Core) finishByPrompt(e Finish) {
	notRun := e.Ending == NotSent || e.Ending == Rejected || e.Ending == Cancelled
	if cost := c.prompt.Cost(e.ID); cost > 0 && notRun && c.prompt.Dispatched(e.ID) {
		c.countByPrompt(c.byPromptRequests[e.ID].key, 0, -cost)
	}
	c.recordProof(e, c.byPromptRequests[e.ID].suspect)
	delete(c.byPromptRequests, e.ID)
	c.prompt.Finish(c.now, e.ID, promptEndings[e.Ending], e.Output)
	c.loads.changed = true
}
