package core

import (
	"slices"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/wire"
)

// suspension is how long an owner grants no slots of a backend server that an ingress router couldn't use.
const suspension = 500 * time.Millisecond

// backend is an owned backend server.
type backend struct {
	id               model.BackendID
	pool             model.PoolID
	slots            int // this router's share
	limit            int // slots that may be used according to the engine's load reports
	runningElsewhere int // requests running for other routers, according to their reports
	granted          int // grants that no report has acknowledged
	peak             [2]int
	peakSince        model.Time
	foreign          int // requests in the load reports that no router's report accounts for
	load             Load
	adjusted         model.Time
	ready            model.Time // when a new owner may start to grant
	suspendedUntil   model.Time
}

// source is the last state that an owner received from an ingress router.
type source struct {
	report  *wire.Report
	pending []pendingGrant // in ascending order of sequence
}

// routerDemand is the number of requests of an account that wait at one router, less the grants made since its report.
type routerDemand struct {
	router string
	count  [model.Classes]int
	oldest model.Time
}

// demand is the waiting requests of an account at all routers.
type demand struct {
	byRouter []*routerDemand
	recent   []recentGrant // grants that the ledger may not include yet
}

func (c *Core) demandOf(key model.Key) *demand {
	d := c.demands[key]
	if d == nil {
		d = &demand{}
		c.demands[key] = d
	}
	return d
}

func (d *demand) forRouter(router string) *routerDemand {
	for _, o := range d.byRouter {
		if o.router == router {
			return o
		}
	}
	o := &routerDemand{router: router}
	d.byRouter = append(d.byRouter, o)
	slices.SortFunc(d.byRouter, func(a, b *routerDemand) int {
		if a.router < b.router {
			return -1
		}
		return 1
	})
	return o
}

func (d *demand) waits(class model.Class) bool {
	return slices.ContainsFunc(d.byRouter, func(o *routerDemand) bool { return o.count[class] > 0 })
}

// setOwnDemand sets this router's own demand from its queue.
func (c *Core) setOwnDemand(key model.Key, q *queue) {
	o := c.demandOf(key).forRouter(c.members.Self().Name)
	for class := range q.waiting {
		o.count[class] = len(q.waiting[class])
	}
	o.oldest = q.oldest(c.now)
	c.dirty[key.Pool] = true
}

func (c *Core) markAllDirty() {
	for pool := range c.poolOrder {
		c.dirty[pool] = true
	}
}

func (c *Core) markBackendDirty(id model.BackendID) {
	if b := c.backends[id]; b != nil {
		c.dirty[b.pool] = true
	}
}

// rebuildOwner recomputes the occupied slots and the demands from the last report of each router.
func (c *Core) rebuildOwner() {
	for _, b := range c.backends {
		b.runningElsewhere, b.granted = 0, 0
	}
	self := c.members.Self().Name
	for _, d := range c.demands {
		d.byRouter = slices.DeleteFunc(d.byRouter, func(o *routerDemand) bool { return o.router != self })
	}
	for _, name := range sortedKeys(c.sources) {
		c.addSource(name, c.sources[name])
	}
	c.markAllDirty()
}

// addSource adds a router's occupied slots and its demand.
func (c *Core) addSource(name string, s *source) {
	c.addOccupied(s, 1)
	if s.report == nil {
		return
	}
	for _, d := range s.report.Demands {
		key := model.Key{Pool: model.PoolID(d.Pool), Account: model.AccountID(d.Account)}
		o := c.demandOf(key).forRouter(name)
		o.count[model.Interactive] = int(d.Interactive)
		o.count[model.Batch] = int(d.Batch)
		o.oldest = c.now - time.Duration(d.OldestMs)*time.Millisecond
		c.dirty[key.Pool] = true
	}
	for _, g := range s.pending {
		o := c.demandOf(g.key).forRouter(name)
		o.count[g.class] = max(o.count[g.class]-1, 0)
	}
}

// subtractSource subtracts what addSource added.
func (c *Core) subtractSource(name string, s *source) {
	c.addOccupied(s, -1)
	if s.report == nil {
		return
	}
	for _, d := range s.report.Demands {
		key := model.Key{Pool: model.PoolID(d.Pool), Account: model.AccountID(d.Account)}
		c.demandOf(key).forRouter(name).count = [model.Classes]int{}
	}
}

func (c *Core) addOccupied(s *source, sign int) {
	for _, g := range s.pending {
		if b := c.backends[g.backend]; b != nil {
			b.granted += sign
		}
	}
	if s.report == nil {
		return
	}
	for _, h := range s.report.Holds {
		if b := c.backends[model.BackendID(h.Backend)]; b != nil {
			b.runningElsewhere += sign * int(h.Running)
		}
	}
}

// applyReport replaces the state of an ingress router by a newer report.
func (c *Core) applyReport(from string, report *wire.Report) {
	s := c.sources[from]
	if s == nil {
		s = &source{}
		c.sources[from] = s
	}
	if s.report != nil && report.Sequence <= s.report.Sequence {
		return
	}
	c.subtractSource(from, s)
	if report.HoldsOnly && s.report != nil {
		report.Demands = s.report.Demands
	}
	s.report = report
	c.removeAcknowledged(s)
	c.addSource(from, s)
	for _, h := range report.Holds {
		c.applyHold(h)
	}
}

func (c *Core) applyHold(h *wire.Hold) {
	b := c.backends[model.BackendID(h.Backend)]
	if b == nil {
		return
	}
	if h.Refused {
		b.suspendedUntil = max(b.suspendedUntil, c.now+suspension)
	}
	c.dirty[b.pool] = true
}

// removeAcknowledged removes the pending grants that the report acknowledges.
func (c *Core) removeAcknowledged(s *source) {
	acknowledged := s.report.Seen
	if s.report.OwnerBoot != c.members.Self().Boot {
		acknowledged = 0
	}
	s.pending = slices.DeleteFunc(s.pending, func(g pendingGrant) bool {
		if g.sequence <= acknowledged && s.report.HoldsOnly {
			subtractGrant(s.report, g)
		}
		return g.sequence <= acknowledged
	})
}

// subtractGrant subtracts an acknowledged grant from a router's reported demand.
func subtractGrant(report *wire.Report, g pendingGrant) {
	for _, d := range report.Demands {
		if d.Pool != uint32(g.key.Pool) || d.Account != uint32(g.key.Account) {
			continue
		}
		if g.class == model.Interactive {
			d.Interactive -= min(d.Interactive, 1)
		} else {
			d.Batch -= min(d.Batch, 1)
		}
	}
}

// removeSource removes the state of a dead or restarted router.
func (c *Core) removeSource(name string) {
	s := c.sources[name]
	if s == nil {
		return
	}
	c.subtractSource(name, s)
	delete(c.sources, name)
	c.markAllDirty()
}
