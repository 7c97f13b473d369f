package core

import (
	"time"

	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/policy"
	"github.com/tamarindstep/tamarindstep/wire"
)

const (
	// recovery is how long a new owner waits for the reports of those that
	// already use the backend server.
	recovery = 300 * time.Millisecond
	// loadLag is how old a backend server's load report may be.
	loadLag = 2 * time.Second
	// interactiveShare is the part of the slots, one in so many, by which
	// interactive work may exceed them.
	interactiveShare = 8
)

// own starts accounting for a backend server, or takes a change of its slots.
func (c *Core) own(id model.BackendID, routers, rank int) {
	conf := c.config.Backends[id]
	slots := c.config.Policy.Slots(policy.Share{Backend: id, Slots: conf.Slots, Routers: routers, Rank: rank})
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

// occupied returns the slots of an owned backend server that are taken.
func (c *Core) occupied(b *backend) int {
	return c.running[b.id] + b.held + b.granted
}

func (c *Core) free(b *backend) int {
	if c.now < b.ready || c.now < b.suspended || c.refuses(b.id) || b.load.Leaving || b.load.Failed {
		return 0
	}
	return b.limit - c.occupied(b) - b.foreign
}

// freeSlots tells how many slots could be granted at once, for each pool.
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

// load takes a backend server's own word on its load.
func (c *Core) load(l Load) {
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
	c.notePeak(b, occupied)
	b.foreign = max(l.Running+l.Waiting-max(b.peak[0], b.peak[1]), 0)
	if c.config.Policy.FollowLoad {
		c.followLoad(b, occupied)
	}
}

// noticed takes what a backend server says of itself. Where this router grants its slots, nobody gets one while
// it rests: a grant that its receiver may not use is a slot that idles.
func (c *Core) noticed(e Noticed) {
	c.notices.Take(c.now, e.Backend, e.Notice)
	if b := c.backends[e.Backend]; b != nil {
		b.suspended = max(b.suspended, c.notices.RestsUntil(c.now, e.Backend))
	}
}

// notePeak keeps the most slots known to be taken while the load may have been
// measured, so that a late report doesn't pass for foreign work.
func (c *Core) notePeak(b *backend, occupied int) {
	if c.now >= b.peakSince+loadLag {
		b.peak[1] = b.peak[0]
		b.peak[0] = 0
		b.peakSince = c.now
	}
	b.peak[0] = max(b.peak[0], occupied)
}

// followLoad lets the limit shrink while the engine reports a queue beyond what
// interactive work may add, and grow back while it reports none.
func (c *Core) followLoad(b *backend, occupied int) {
	if c.now < b.adjusted+loadLag {
		return
	}
	over := b.slots/interactiveShare + 1
	switch {
	case b.load.Waiting > over:
		b.limit = max(b.limit-max(b.load.Waiting/2, 1), 1)
		b.adjusted = c.now
	case b.load.Waiting == 0 && b.limit < b.slots && occupied >= b.limit:
		b.limit++
		b.adjusted = c.now
	}
}

// readyBackends makes the pools dirty whose backend servers have just come out
// of recovery or suspension.
func (c *Core) readyBackends() {
	for _, b := range c.backends {
		if b.ready > 0 && c.now >= b.ready {
			b.ready = 0
			c.dirty[b.pool] = true
		}
		if b.suspended > 0 && c.now >= b.suspended {
			b.suspended = 0
			c.dirty[b.pool] = true
		}
	}
}

// nextReady returns when the next backend server comes out of recovery or
// suspension, or a grant is to be sent again.
func (c *Core) nextReady() model.Time {
	wake := never
	for _, b := range c.backends {
		if b.ready > 0 {
			wake = min(wake, b.ready)
		}
		if b.suspended > 0 {
			wake = min(wake, b.suspended)
		}
	}
	for _, s := range c.sources {
		for _, g := range s.pending {
			wake = min(wake, g.sent+grantRepeat)
		}
	}
	return wake
}

// freest returns the owned backend server of a pool with the most free slots.
// With a share over 0, each has one more slot for every so many.
func (c *Core) freest(pool model.PoolID, share int) *backend {
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

// mayExceed tells whether interactive work may go over a backend server's slots.
func (c *Core) mayExceed(b *backend) bool {
	usable := c.now >= b.ready && c.now >= b.suspended && !c.refuses(b.id) && !b.load.Leaving && !b.load.Failed
	return usable && c.config.Policy.Owned && c.config.Pools[b.pool].FollowLoad
}
