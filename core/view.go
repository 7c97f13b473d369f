package core

import (
	"github.com/tamarindstep/tamarindstep/core/member"
	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/policy"
	"github.com/tamarindstep/tamarindstep/wire"
)

// View fills in this router's status for operators.
func (c *Core) View(out *wire.StatusResponse) {
	self := c.members.Self()
	out.Name = self.Name
	out.DataHall = self.DataHall
	out.Draining = c.draining
	out.Generation = c.config.Generation
	if c.config.Policy != nil {
		out.Policy = c.config.Policy.Name
	}
	for _, m := range append([]*member.Member{&self}, c.others()...) {
		out.Members = append(out.Members, &wire.Rumour{
			Name: m.Name, Address: m.Address, DataHall: m.DataHall, Incarnation: m.Incarnation, Status: m.Status,
		})
	}
	c.viewBackends(out)
	c.viewAccounts(out)
	c.viewHeld(out)
}

func (c *Core) viewHeld(out *wire.StatusResponse) {
	for _, h := range c.suspicions.tracker.Held() {
		first := c.now
		for _, end := range h.Ends {
			first = min(first, end.At)
		}
		out.Held = append(out.Held, &wire.HeldStatus{
			Fingerprint: uint64(h.Fingerprint), Account: c.config.Accounts[h.Account].Name, Ends: uint32(len(h.Ends)),
			SinceMs: milliseconds(c.now - first), TryMs: milliseconds(c.suspicions.tracker.NextTry(h.Fingerprint) - c.now),
			Pool: c.poolName(h.Part), Part: h.Part.ID,
		})
	}
}

func (c *Core) others() []*member.Member {
	var out []*member.Member
	for _, name := range c.members.Names() {
		out = append(out, c.members.Get(name))
	}
	return out
}

func (c *Core) viewBackends(out *wire.StatusResponse) {
	for _, id := range sortedKeys(c.backends) {
		b := c.backends[id]
		slots := b.slots
		if slots == policy.Unlimited {
			slots = c.config.Backends[id].Slots
		}
		out.Backends = append(out.Backends, &wire.BackendStatus{
			Name: c.config.Backends[id].Name, BornMs: c.config.Backends[id].Born, Version: c.config.Backends[id].Version, Pool: c.config.Pools[b.pool].Name,
			Slots: uint32(slots), Limit: uint32(min(b.limit, slots)), Occupied: uint32(c.occupied(b)),
			Leaving: b.load.Leaving || b.load.Failed || c.unusable(id), Evacuated: c.config.Backends[id].Evacuated,
		})
	}
	out.Evacuated = c.evacuated()
}

// evacuated returns the evacuated data halls that have backend servers, in order.
func (c *Core) evacuated() []string {
	halls := map[string]bool{}
	for _, b := range c.config.Backends {
		if b.Evacuated {
			halls[b.DataHall] = true
		}
	}
	return sortedKeys(halls)
}

func (c *Core) viewAccounts(out *wire.StatusResponse) {
	for _, key := range c.ledger.Keys() {
		account, known := c.config.Accounts[key.Account]
		_, pool := c.config.Pools[key.Pool]
		if !known || !pool {
			continue
		}
		status := &wire.AccountStatus{
			Name: account.Name, Pool: c.config.Pools[key.Pool].Name,
			DeliveredTokens: int64(c.ledger.LocalService(key).Tokens() * account.Weight),
			VirtualService:  int64(c.virtualService(key)),
			Backlogged:      c.ledger.Backlogged(key),
		}
		if q := c.queues[key]; q != nil {
			status.Waiting = uint32(q.length())
			status.Running = uint32(q.running)
		}
		out.Accounts = append(out.Accounts, status)
	}
}

// virtualService returns an account's service over the fleet, in tokens divided by weight: since the fleet's start or,
// if the policy decides by prompt and uses no ledger, since this router's start.
func (c *Core) virtualService(key model.Key) float64 {
	if c.config.Policy == nil || c.config.Policy.ByPrompt == nil {
		return c.ledger.Virtual(key).Tokens()
	}
	return c.prompt.TotalStarted(key.Account) / c.config.Accounts[key.Account].Weight
}

// Live returns how many routers are live, this one included.
func (c *Core) Live() int { return len(c.members.Live()) }

// Address returns the peer address of a live router, "" if there is none of that name.
func (c *Core) Address(name string) string {
	if m := c.members.Get(name); m != nil && m.Reachable() {
		return m.Address
	}
	return ""
}
