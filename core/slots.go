package core

import (
	"time"

	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/policy"
	"github.com/tamarindstep/tamarindstep/wire"
)

const (
	// recovery is how long a new owner waits for the reports of the routers that already use the backend server.
	recovery = 300 * time.Millisecond
	// maxLoadAge is the greatest age of a backend server's load report.
	maxLoadAge = 2 * time.Second
	// overcommitDivisor is the number of slots for each of which interactive requests may take one slot more.
	overcommitDivisor = 8
)

// own starts accounting for a backend server, or applies a change of its slots.
func (c *Core) own(id model.BackendID, routers, rank int) {
	conf := c.config.Backends[id]
	slots := c.config.Policy.GrantableSlots(policy.Share{Backend: id, Slots: conf.Slots, Routers: routers, Rank: rank})
	b := c.backends[id]
	if b == nil {
		b = &backend{id: id, limit: slots, ready: c.now + recovery, peakSince: c.now}
		c.backends[id] = b
	}
	if b.slots != slots {
		b.slots = slots
		b.limit = slots
	}
	b.pool = conf.Pool
	c.poolOrder[b.pool] = append(c.poolOrder[b.pool], id)
	c.dirty[b.pool] = true
}

// occupied returns the number of occupied slots of an owned backend server.
func (c *Core) occupied(b *backend) int {
	return c.running[b.id] + b.runningElsewhere + b.granted
}

func (c *Core) free(b *backend) int {
	if c.now < b.ready || c.now < b.suspendedUntil || c.excludes(b.id) || b.load.Leaving || b.load.Failed {
		return 0
	}
	return b.limit - c.occupied(b) - b.foreign
}

// freeSlots returns how many slots of each pool could be granted now.
func (c *Core) freeSlots() []*wire.Free {
	var out []*wire.Free
	for _, pool := range sortedKeys(c.poolOrder) {
		free := 0
		for _, id := range c.poolOrder[pool] {
			free += max(c.free(c.backends[id]), 0)
		}
		out = append(out, &wire.Free{Pool: uint32(pool), Slots: uint32(min(free, policy.Unlimited))})
	}
	return out
}

// applyLoad applies a backend server's load report.
func (c *Core) applyLoad(l Load) {
	b := c.backends[l.Backend]
	if b == nil {
		return
	}
	b.load = l
	c.dirty[b.pool] = true
	if l.Failed || !c.config.Policy.Owned || !c.config.Pools[b.pool].FollowLoad {
		return
	}
	occupied := c.occupied(b)
	c.recordPeak(b, occupied)
	b.foreign = max(l.Running+l.Waiting-max(b.peak[0], b.peak[1]), 0)
	if c.config.Policy.FollowLoad {
		c.adjustLimit(b, occupied)
	}
}

// applyNotice applies a notice that a backend server sent about itself. If this router owns the backend server, it
// grants no slots while the notice asks for no new requests: the receiver couldn't use the grant and the slot would
// idle.
func (c *Core) applyNotice(e NoticeReceived) {
	c.notices.Record(c.now, e.Backend, e.Notice)
	if b := c.backends[e.Backend]; b != nil {
		b.suspendedUntil = max(b.suspendedUntil, c.notices.RestsUntil(c.now, e.Backend))
	}
}

// recordPeak keeps the greatest number of occupied slots in the time in which the load may have been measured, so that
// requests in a late report aren't counted as foreign.
func (c *Core) recordPeak(b *backend, occupied int) {
	if c.now >= b.peakSince+maxLoadAge {
		b.peak[1] = b.peak[0]
		b.peak[0] = 0
		b.peakSince = c.now
	}
	b.peak[0] = max(b.peak[0], occupied)
}

// adjustLimit lowers the limit while the engine reports a longer queue than interactive requests may cause, and raises
// it again while the engine reports none.
func (c *Core) adjustLimit(b *backend, occupied int) {
	if c.now < b.adjusted+maxLoadAge {
		return
	}
	over := b.slots/overcommitDivisor + 1
	switch {
	case b.load.Waiting > over:
		b.limit = max(b.limit-max(b.load.Waiting/2, 1), 1)
		b.adjusted = c.now
	case b.load.Waiting == 0 && b.limit < b.slots && occupied >= b.limit:
		b.limit++
		b.adjusted = c.now
	}
}

// markReady marks the pools dirty whose backend servers have just ended their recovery or suspension.
func (c *Core) markReady() {
	for _, b := range c.backends {
		if b.ready > 0 && c.now >= b.ready {
			b.ready = 0
			c.dirty[b.pool] = true
		}
		if b.suspendedUntil > 0 && c.now >= b.suspendedUntil {
			b.suspendedUntil = 0
			c.dirty[b.pool] = true
		}
	}
}

// nextReady returns when the next recovery or suspension ends, or the next grant is to be sent again.
func (c *Core) nextReady() model.Time {
	wake := never
	for _, b := range c.backends {
		if b.ready > 0 {
			wake = min(wake, b.ready)
		}
		if b.suspendedUntil > 0 {
			wake = min(wake, b.suspendedUntil)
		}
	}
	for _, s := range c.sources {
		for _, g := range s.pending {
			wake = min(wake, g.sent+grantResend)
		}
	}
	return wake
}

// mostFree returns the owned backend server of a pool with the most free slots. With a share above 0, each backend
// server has one additional slot for every share slots, but at least one.
func (c *Core) mostFree(pool model.PoolID, share int) *backend {
	var best *backend
	most := 0
	for _, id := range c.poolOrder[pool] {
		b := c.backends[id]
		free := c.free(b)
		if share > 0 && c.mayExceed(b) {
			free += max(b.slots/share, 1)
		}
		if b.slots == policy.Unlimited {
			free -= max(b.load.Running+b.load.Waiting-c.running[id], 0)
		}
		if free > most {
			best, most = b, free
		}
	}
	return best
}

// mayExceed reports whether interactive requests may exceed a backend server's slots.
func (c *Core) mayExceed(b *backend) bool {
	usable := c.now >= b.ready && c.now >= b.suspendedUntil && !c.excludes(b.id) && !b.load.Leaving && !b.load.Failed
	return usable && c.config.Policy.Owned && c.config.Pools[b.pool].FollowLoad
}
