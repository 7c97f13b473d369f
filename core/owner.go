package core

import (
	"slices"
	"time"

	"github.com/tamarindstep/tamarindstep/core/estimate"
	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/policy"
	"github.com/tamarindstep/tamarindstep/wire"
)

const (
	// grantExpiry is how long a grant counts as a taken slot without a report
	// that has seen it.
	grantExpiry = 500 * time.Millisecond
	// grantRepeat is how long a grant that no report has seen waits to be sent
	// again.
	grantRepeat = 150 * time.Millisecond
	// recovery is how long a new owner waits for the reports of those that
	// already use the backend server.
	recovery = 300 * time.Millisecond
	// loadLag is how old a backend server's load report may be.
	loadLag = 2 * time.Second
	// interactiveShare is the part of the slots, one in so many, by which
	// interactive work may exceed them.
	interactiveShare = 8
	// suspension is how long an owner leaves out a backend server that an
	// ingress router couldn't use.
	suspension = 500 * time.Millisecond
	// goRoundEvery is which of the grants goes round the waiting accounts while
	// they are further apart than the policy's CatchUpTokens.
	goRoundEvery = 4
)

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
	loadKnown bool
	adjusted  model.Time
	ready     model.Time // when a new owner may grant
	suspended model.Time
}

// source is what an owner knows of an ingress router.
type source struct {
	report  *wire.Report
	pending []pendingGrant // in the order of their sequence
}

// pendingGrant is a grant that no report has shown yet.
type pendingGrant struct {
	sequence uint64
	backend  model.BackendID
	key      model.Key
	class    model.Class
	at       model.Time
	sent     model.Time // last
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
	length *estimate.Lengths
}

// recentGrant is the service expected of a grant made to another router.
type recentGrant struct {
	at      model.Time
	service model.Service
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
		b.suspended = c.now + suspension
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

// expirePending frees the slots of grants that no report has shown in time.
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
		c.repeatGrants(name, s)
		if c.now < s.pending[0].at+grantExpiry {
			continue
		}
		c.uncountSource(name, s)
		s.pending = slices.DeleteFunc(s.pending, func(g pendingGrant) bool { return c.now >= g.at+grantExpiry })
		c.countSource(name, s)
		c.dirtyAll()
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
	b.loadKnown = !l.Failed
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

// grantAll hands out free slots while anything waits for them.
func (c *Core) grantAll() {
	c.expirePending()
	c.readyBackends()
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

// grantOne grants one slot of a pool, and tells whether it could.
func (c *Core) grantOne(pool model.PoolID) bool {
	if b := c.freest(pool, 0); b != nil {
		key, ok := c.pick(pool, model.Batch)
		return ok && c.grant(b, key)
	}
	b := c.freest(pool, interactiveShare)
	if b == nil {
		return false
	}
	key, ok := c.pickUrgent(pool)
	return ok && c.grant(b, key)
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

// candidate is an account that could be granted a slot.
type candidate struct {
	key    model.Key
	score  model.Service
	oldest model.Time
}

// pick returns the account to be served next in a pool, of those with requests
// of at most the given class.
func (c *Core) pick(pool model.PoolID, worst model.Class) (model.Key, bool) {
	return c.first(c.candidates(pool, worst))
}

// first returns the candidate to be served first.
func (c *Core) first(candidates []candidate) (model.Key, bool) {
	if len(candidates) == 0 {
		return model.Key{}, false
	}
	best := candidates[0]
	most := candidates[0].score
	for _, x := range candidates[1:] {
		if c.before(x, best) {
			best = x
		}
		most = max(most, x.score)
	}
	catchUp := model.ServiceOf(c.config.Policy.CatchUpTokens, 1)
	if catchUp > 0 && most-best.score > catchUp && c.grants%goRoundEvery == 0 {
		best = c.longestPassedOver(candidates)
	}
	return best.key, true
}

// pickUrgent returns the account whose interactive work may exceed the slots:
// the furthest behind of those that have fewer requests running than their even
// part of the pool. An account that fills the pool by itself so leaves this room
// to the others, and none grows a gap by it.
func (c *Core) pickUrgent(pool model.PoolID) (model.Key, bool) {
	slots := 0
	for _, b := range c.config.Backends {
		if b.Pool == pool {
			slots += b.Slots
		}
	}
	part := slots / max(c.ledger.Active(pool), 1)
	candidates := slices.DeleteFunc(c.candidates(pool, model.Interactive), func(x candidate) bool {
		return c.ledger.Running(x.key)+len(c.demands[x.key].recent) >= part
	})
	return c.first(candidates)
}

// before tells whether a goes before b.
func (c *Core) before(a, b candidate) bool {
	if c.config.Policy.Order != policy.ByArrival && a.score != b.score {
		return a.score < b.score
	}
	if a.oldest != b.oldest {
		return a.oldest < b.oldest
	}
	return a.key.Compare(b.key) < 0
}

// longestPassedOver returns the candidate whose last grant is the longest ago.
func (c *Core) longestPassedOver(candidates []candidate) candidate {
	best := candidates[0]
	for _, x := range candidates[1:] {
		if c.lastGrant[x.key] < c.lastGrant[best.key] {
			best = x
		}
	}
	return best
}

func (c *Core) candidates(pool model.PoolID, worst model.Class) []candidate {
	standing := c.ledger.Standings(pool)
	var out []candidate
	for _, key := range c.demandKeys(pool) {
		d := c.demands[key]
		waits := d.waits(model.Interactive) || worst == model.Batch && d.waits(model.Batch)
		if !waits || c.atConcurrency(key, d) {
			continue
		}
		out = append(out, candidate{key: key, score: standing(key) + d.recentService(c.now, c.ledger.Loop()), oldest: d.oldest(c.now)})
	}
	return out
}

// demandKeys returns the accounts with any demand in a pool, in order.
func (c *Core) demandKeys(pool model.PoolID) []model.Key {
	var out []model.Key
	for key, d := range c.demands {
		if key.Pool == pool && (d.waits(model.Interactive) || d.waits(model.Batch)) {
			out = append(out, key)
		}
	}
	slices.SortFunc(out, model.Key.Compare)
	return out
}

func (d *demand) oldest(now model.Time) model.Time {
	oldest := now
	for _, o := range d.offers {
		if o.count[model.Interactive]+o.count[model.Batch] > 0 {
			oldest = min(oldest, o.oldest)
		}
	}
	return oldest
}

// recentService returns the service of the grants that the ledger may not show
// yet, and forgets the older ones.
func (d *demand) recentService(now model.Time, loop time.Duration) model.Service {
	d.recent = slices.DeleteFunc(d.recent, func(r recentGrant) bool { return now > r.at+loop })
	var sum model.Service
	for _, r := range d.recent {
		sum += r.service
	}
	return sum
}

// atConcurrency tells whether an account has as many requests running over the
// fleet as it may.
func (c *Core) atConcurrency(key model.Key, d *demand) bool {
	limit := c.config.Accounts[key.Account].Limits.Concurrent
	return limit > 0 && c.ledger.Running(key)+len(d.recent) >= limit
}

// grant gives a slot to an account at the router where its oldest request of
// the most urgent class waits, and tells whether it could.
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
	c.notePeak(b, c.occupied(b))
	return done
}

func (d *demand) longestWaiting(class model.Class) *offer {
	var best *offer
	for _, o := range d.offers {
		if o.count[class] > 0 && (best == nil || o.oldest < best.oldest) {
			best = o
		}
	}
	return best
}

func (c *Core) grantTo(o *offer, b *backend, key model.Key, class model.Class) {
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
	d := c.to(to)
	d.Grants = append(d.Grants, &wire.Grant{
		Sequence: g.sequence, Backend: uint32(g.backend), Account: uint32(g.key.Account), Batch: g.class == model.Batch,
	})
}

// repeatGrants sends the grants again that may have been lost. One that came
// after all is known to its receiver by its sequence.
func (c *Core) repeatGrants(to string, s *source) {
	for i := range s.pending {
		g := &s.pending[i]
		if c.now >= g.sent+grantRepeat {
			g.sent = c.now
			c.sendGrant(to, *g)
		}
	}
}

// expectedService is the service expected of a request that waits elsewhere.
func (c *Core) expectedService(key model.Key, class model.Class) model.Service {
	r := request{key: key, class: class}
	r.expected = c.lengths(&r).Rest(0)
	return model.ServiceOf(c.ahead(&r, 0), c.weightOf(key.Account))
}
