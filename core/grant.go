package core

import (
	"slices"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/wire"
)

const (
	// grantExpiry is how long a grant occupies a slot without a report that acknowledges it.
	grantExpiry = 500 * time.Millisecond
	// grantResend is the interval at which a grant that no report has acknowledged is sent again.
	grantResend = 150 * time.Millisecond
)

// pendingGrant is a grant that no report has acknowledged yet.
type pendingGrant struct {
	sequence uint64
	backend  model.BackendID
	key      model.Key
	class    model.Class
	at       model.Time
	sent     model.Time // last time
}

// recentGrant is the expected service of a grant to another router.
type recentGrant struct {
	at      model.Time
	service model.Service
}

// expirePending resends unacknowledged grants and frees the slots of those older than grantExpiry.
func (c *Core) expirePending() {
	var granted []string
	for name, s := range c.sources {
		if len(s.pending) > 0 {
			granted = append(granted, name)
		}
	}
	slices.Sort(granted)
	for _, name := range granted {
		s := c.sources[name]
		c.resendGrants(name, s)
		if c.now < s.pending[0].at+grantExpiry {
			continue
		}
		c.subtractSource(name, s)
		s.pending = slices.DeleteFunc(s.pending, func(g pendingGrant) bool { return c.now >= g.at+grantExpiry })
		c.addSource(name, s)
		c.markAllDirty()
	}
}

// grantAll grants the free slots of each dirty pool while requests wait for them.
func (c *Core) grantAll() {
	c.expirePending()
	c.markReady()
	if len(c.dirty) == 0 || c.config.Policy == nil {
		return
	}
	for _, pool := range sortedKeys(c.dirty) {
		delete(c.dirty, pool)
		for c.grantOne(pool) {
		}
		delete(c.dirty, pool)
	}
}

// grantOne grants one slot of a pool and reports whether it did.
func (c *Core) grantOne(pool model.PoolID) bool {
	if b := c.mostFree(pool, 0); b != nil {
		key, ok := c.pick(pool)
		return ok && c.grant(b, key)
	}
	b := c.mostFree(pool, overcommitDivisor)
	if b == nil {
		return false
	}
	key, ok := c.pickUrgent(pool)
	return ok && c.grant(b, key)
}

// grant grants a slot to an account at the router where its oldest request of the most urgent class waits, and reports
// whether it did.
func (c *Core) grant(b *backend, key model.Key) bool {
	d := c.demands[key]
	class := model.Interactive
	if !d.waits(class) {
		class = model.Batch
	}
	o := d.longestWaiting(class)
	if o == nil {
		return false
	}
	c.grants++
	c.lastGrant[key] = c.grants
	done := true
	if o.router == c.members.Self().Name {
		done = c.dispatch(key, b.id)
	} else {
		c.grantTo(o, b, key, class)
	}
	c.recordPeak(b, c.occupied(b))
	return done
}

func (d *demand) longestWaiting(class model.Class) *routerDemand {
	var best *routerDemand
	for _, o := range d.byRouter {
		if o.count[class] > 0 && (best == nil || o.oldest < best.oldest) {
			best = o
		}
	}
	return best
}

func (c *Core) grantTo(o *routerDemand, b *backend, key model.Key, class model.Class) {
	s := c.sources[o.router]
	s.pending = append(s.pending, pendingGrant{
		sequence: c.grants, backend: b.id, key: key, class: class, at: c.now, sent: c.now,
	})
	b.granted++
	o.count[class]--
	expected := c.expectedService(key, class)
	d := c.demands[key]
	d.recent = append(d.recent, recentGrant{at: c.now, service: expected})
	c.sendGrant(o.router, s.pending[len(s.pending)-1])
}

func (c *Core) sendGrant(to string, g pendingGrant) {
	d := c.datagramTo(to)
	d.Grants = append(d.Grants, &wire.Grant{
		Sequence: g.sequence, Backend: uint32(g.backend), Account: uint32(g.key.Account), Batch: g.class == model.Batch,
	})
}

// resendGrants sends grants again that may have been lost. The receiver recognizes a duplicate by its sequence.
func (c *Core) resendGrants(to string, s *source) {
	for i := range s.pending {
		g := &s.pending[i]
		if c.now >= g.sent+grantResend {
			g.sent = c.now
			c.sendGrant(to, *g)
		}
	}
}

// expectedService returns the expected service of a request that waits at another router.
func (c *Core) expectedService(key model.Key, class model.Class) model.Service {
	r := request{key: key, class: class}
	r.expected = c.lengths(&r).Remaining(0)
	return model.ServiceOf(c.ahead(&r, 0), c.weightOf(key.Account))
}
