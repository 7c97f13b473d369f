package core

import (
	"slices"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/wire"
)

// suspension is how long an owner leaves out a backend server that an ingress
// router couldn't use.
const suspension = 500 * time.Millisecond

// backend is an owned backend server.
type backend struct {
	id        model.BackendID
	pool      model.PoolID
	slots     int // this router's share
	limit     int // of the slots, what the engine's reports allow
	held      int // running for other routers, by their reports
	granted   int // grants not yet in a report
	peak      [2]int
	peakSince model.Time
	foreign   int // running for routers not known here
	load      Load
	adjusted  model.Time
	ready     model.Time // when a new owner may grant
	suspended model.Time
}

// source is what an owner knows of an ingress router.
type source struct {
	report  *wire.Report
	pending []pendingGrant // in the order of their sequence
}

// offer is what waits of an account at one router, less what was granted since.
type offer struct {
	router string
	count  [model.Classes]int
	oldest model.Time
}

// demand is what waits of an account at all routers.
type demand struct {
	offers []*offer
	recent []recentGrant // grants that the ledger may not show yet
}

func (c *Core) demandOf(key model.Key) *demand {
	d := c.demands[key]
	if d == nil {
		d = &demand{}
		c.demands[key] = d
	}
	return d
}

func (d *demand) offerOf(router string) *offer {
	for _, o := range d.offers {
		if o.router == router {
			return o
		}
	}
	o := &offer{router: router}
	d.offers = append(d.offers, o)
	slices.SortFunc(d.offers, func(a, b *offer) int {
		if a.router < b.router {
			return -1
		}
		return 1
	})
	return o
}

func (d *demand) waits(class model.Class) bool {
	return slices.ContainsFunc(d.offers, func(o *offer) bool { return o.count[class] > 0 })
}

// offerSelf keeps the router's own offer equal to its queue.
func (c *Core) offerSelf(key model.Key, q *queue) {
	o := c.demandOf(key).offerOf(c.members.Self().Name)
	for class := range q.waiting {
		o.count[class] = len(q.waiting[class])
	}
	o.oldest = q.oldest(c.now)
	c.dirty[key.Pool] = true
}

func (c *Core) dirtyAll() {
	for pool := range c.poolOrder {
		c.dirty[pool] = true
	}
}

func (c *Core) backendDirty(id model.BackendID) {
	if b := c.backends[id]; b != nil {
		c.dirty[b.pool] = true
	}
}

// rebuildOwner works out the occupied slots and the demands anew from what the
// routers last reported.
func (c *Core) rebuildOwner() {
	for _, b := range c.backends {
		b.held, b.granted = 0, 0
	}
	self := c.members.Self().Name
	for _, d := range c.demands {
		d.offers = slices.DeleteFunc(d.offers, func(o *offer) bool { return o.router != self })
	}
	for _, name := range sortedKeys(c.sources) {
		c.countSource(name, c.sources[name])
	}
	c.dirtyAll()
}

// countSource adds what a router occupies and wants.
func (c *Core) countSource(name string, s *source) {
	c.addOccupied(s, 1)
	if s.report == nil {
		return
	}
	for _, d := range s.report.Demands {
		key := model.Key{Pool: model.PoolID(d.Pool), Account: model.AccountID(d.Account)}
		o := c.demandOf(key).offerOf(name)
		o.count[model.Interactive] = int(d.Interactive)
		o.count[model.Batch] = int(d.Batch)
		o.oldest = c.now - time.Duration(d.OldestMs)*time.Millisecond
		c.dirty[key.Pool] = true
	}
	for _, g := range s.pending {
		o := c.demandOf(g.key).offerOf(name)
		o.count[g.class] = max(o.count[g.class]-1, 0)
	}
}

// uncountSource takes away what countSource added.
func (c *Core) uncountSource(name string, s *source) {
	c.addOccupied(s, -1)
	if s.report == nil {
		return
	}
	for _, d := range s.report.Demands {
		key := model.Key{Pool: model.PoolID(d.Pool), Account: model.AccountID(d.Account)}
		c.demandOf(key).offerOf(name).count = [model.Classes]int{}
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
			b.held += sign * int(h.Running)
		}
	}
}

// takeReport replaces what is known of an ingress router.
func (c *Core) takeReport(from string, report *wire.Report) {
	s := c.sources[from]
	if s == nil {
		s = &source{}
		c.sources[from] = s
	}
	if s.report != nil && report.Sequence <= s.report.Sequence {
		return
	}
	c.uncountSource(from, s)
	if report.HoldsOnly && s.report != nil {
		report.Demands = s.report.Demands
	}
	s.report = report
	c.settlePending(s)
	c.countSource(from, s)
	for _, h := range report.Holds {
		c.takeHold(h)
	}
}

func (c *Core) takeHold(h *wire.Hold) {
	b := c.backends[model.BackendID(h.Backend)]
	if b == nil {
		return
	}
	if h.Refused {
		b.suspended = max(b.suspended, c.now+suspension)
	}
	c.dirty[b.pool] = true
}

// settlePending drops the grants that the report has seen.
func (c *Core) settlePending(s *source) {
	seen := s.report.Seen
	if s.report.OwnerBoot != c.members.Self().Boot {
		seen = 0
	}
	s.pending = slices.DeleteFunc(s.pending, func(g pendingGrant) bool {
		if g.sequence <= seen && s.report.HoldsOnly {
			takeFromDemand(s.report, g)
		}
		return g.sequence <= seen
	})
}

// takeFromDemand takes a grant that was seen off what a router wants.
func takeFromDemand(report *wire.Report, g pendingGrant) {
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

// forgetSource drops what a dead or restarted router held.
func (c *Core) forgetSource(name string) {
	s := c.sources[name]
	if s == nil {
		return
	}
	c.uncountSource(name, s)
	delete(c.sources, name)
	c.dirtyAll()
}
