package core

import (
	"cmp"
	"slices"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/wire"
	"google.golang.org/protobuf/proto"
)

const (
	// reportGap is the shortest time between two reports to one owner.
	reportGap = 2 * time.Millisecond
	// softDelay is how long a change that no owner waits for may wait.
	softDelay = 400 * time.Millisecond
	// ackDelay is how long an owner may be left without word of its grants.
	ackDelay = 100 * time.Millisecond
	// urgentRepeat is when a report that an owner waits for is sent once more, in
	// case it was lost.
	urgentRepeat = 60 * time.Millisecond
	// reportRefresh is how often a report that says anything is repeated.
	reportRefresh = 500 * time.Millisecond
	// reportBytesPerSecond paces the reports of one router to all owners.
	reportBytesPerSecond = 6000
	// datagramOverhead is what a datagram costs beside its parts, in bytes.
	datagramOverhead = 90
	// askFor is how long the one owner asked first has to grant.
	askFor = 10 * time.Millisecond
	// shallow is the number of waiting requests up to which each counts at once.
	shallow = 2
)

// ownerLink is this router's link to an owner.
type ownerLink struct {
	boot     uint64 // of the process that the sequence seen belongs to
	seen     uint64 // highest grant sequence seen
	sequence uint64 // of the last report
	sent     model.Time
	due      model.Time // when the next report is due; never for none
	spoke    bool       // the last report said anything
	urgent   bool       // an owner waits for the report that is due
	full     bool       // the report that is due must tell what waits
}

// ask is the one owner that is asked first for a pool's slots.
type ask struct {
	hints map[string]int // slots each owner could grant, as last heard
	owner string         // asked alone, "" where all are told
	until model.Time
}

// bucket paces a flow of bytes.
type bucket struct {
	rate, size, level float64
	filled            model.Time
}

func (b *bucket) fill(now model.Time) {
	b.level = min(b.level+(now-b.filled).Seconds()*b.rate, b.size)
	b.filled = now
}

// ready returns when the level is above the given one.
func (b *bucket) ready(now model.Time, above float64) model.Time {
	if b.level > above {
		return now
	}
	return now + time.Duration((above-b.level)/b.rate*float64(time.Second)) + 1
}

func (c *Core) askOf(pool model.PoolID) *ask {
	a := c.asks[pool]
	if a == nil {
		a = &ask{hints: map[string]int{}}
		c.asks[pool] = a
	}
	return a
}

// hint takes an owner's word on the slots of a pool that it could grant.
func (c *Core) hint(owner string, pool model.PoolID, slots int) {
	c.askOf(pool).hints[owner] = slots
}

func (c *Core) linkTo(owner string) *ownerLink {
	l := c.owners[owner]
	if l == nil {
		l = &ownerLink{due: never}
		c.owners[owner] = l
	}
	return l
}

// demandDue makes a report of what waits due within the delay.
func (c *Core) demandDue(owner string, delay time.Duration) {
	c.reportDue(owner, delay)
	if l := c.owners[owner]; l != nil {
		l.full = true
	}
}

// reportDue makes a report to an owner due within the delay.
func (c *Core) reportDue(owner string, delay time.Duration) {
	if owner == "" || owner == c.members.Self().Name {
		return
	}
	l := c.linkTo(owner)
	earliest := c.now + delay
	if l.sequence > 0 {
		earliest = max(earliest, l.sent+reportGap)
	}
	l.due = min(l.due, earliest)
	l.urgent = l.urgent || delay == 0
}

// allReportsDue tells the owners anew, after a change of who owns what; those to
// whom there is nothing to say are left alone.
func (c *Core) allReportsDue() {
	for _, owner := range sortedKeys(c.placement.ownedBy) {
		l := c.owners[owner]
		if l != nil && l.spoke || len(c.holds(owner)) > 0 || len(c.demandsFor(owner)) > 0 {
			c.demandDue(owner, 0)
		}
	}
}

// demandGrew tells the owners that may serve a request that it waits.
func (c *Core) demandGrew(key model.Key, q *queue) {
	c.noteBusy(key, q)
	c.offerSelf(key, q)
	delay := softDelay
	if q.length() <= shallow {
		delay = 0
	}
	if c.waitingIn(key.Pool) == 1 {
		c.chooseAsk(key.Pool)
	}
	for _, owner := range c.placement.reportTo[key.Pool] {
		if c.asks[key.Pool].tells(c.now, owner) {
			c.demandDue(owner, delay)
		}
	}
}

// tells tells whether what waits in the pool is reported to that owner.
func (a *ask) tells(now model.Time, owner string) bool {
	return a == nil || a.owner == "" || a.owner == owner || now >= a.until
}

// waitingIn returns how many requests wait for a pool at this router.
func (c *Core) waitingIn(pool model.PoolID) int {
	sum := 0
	for _, key := range c.waiting {
		if key.Pool == pool {
			sum += c.queues[key].length()
		}
	}
	return sum
}

// chooseAsk picks the owner to ask alone for the only request that waits, where
// one is known to have a free slot: telling all of them would bring a grant from
// each.
func (c *Core) chooseAsk(pool model.PoolID) {
	a := c.askOf(pool)
	a.owner = ""
	most := 0
	for _, owner := range c.placement.reportTo[pool] {
		if n := a.hints[owner]; n > most && owner != c.members.Self().Name {
			a.owner, most = owner, n
		}
	}
	if a.owner != "" {
		a.hints[a.owner]--
		a.until = c.now + askFor
	}
}

// demandShrank lets the owners know, at leisure, that less waits.
func (c *Core) demandShrank(key model.Key, q *queue) {
	c.noteBusy(key, q)
	c.offerSelf(key, q)
	for _, owner := range c.placement.reportTo[key.Pool] {
		if c.asks[key.Pool].tells(c.now, owner) {
			c.demandDue(owner, softDelay)
		}
	}
}

// noteBusy records in the ledger what the account has waiting and running.
func (c *Core) noteBusy(key model.Key, q *queue) {
	c.trackWaiting(key, q)
	c.ledger.SetBusy(c.now, key, q.length() > 0, q.running)
}

// slotFreed tells the owner of a backend server that a request there has ended.
func (c *Core) slotFreed(id model.BackendID) {
	owner := c.placement.owner[id]
	if owner == c.members.Self().Name {
		c.backendDirty(id)
		return
	}
	c.reportDue(owner, 0)
}

// flushReports sends the reports that are due, as far as the budget allows: the
// ones an owner waits for first, and of these the one that is due the longest.
func (c *Core) flushReports() {
	c.endAsks()
	c.budget.fill(c.now)
	var due []string
	for owner, l := range c.owners {
		if l.spoke {
			if refresh := l.sent + reportRefresh; refresh < l.due {
				l.due = refresh
				l.full = true
			}
		}
		if l.due <= c.now && c.budget.level > c.reserve(l) && c.members.Get(owner) != nil {
			due = append(due, owner)
		}
	}
	slices.SortFunc(due, func(a, b string) int {
		x, y := c.owners[a], c.owners[b]
		if x.urgent != y.urgent {
			return cmp.Compare(rank(x.urgent), rank(y.urgent))
		}
		return cmp.Or(cmp.Compare(x.due, y.due), cmp.Compare(a, b))
	})
	for _, owner := range due {
		if c.budget.level <= c.reserve(c.owners[owner]) {
			return
		}
		c.sendReport(owner, c.owners[owner])
	}
}

// rank orders what is urgent before what isn't.
func rank(urgent bool) int {
	if urgent {
		return 0
	}
	return 1
}

// reserve is the part of the budget that a report must leave: half of it is
// kept for those an owner waits for.
func (c *Core) reserve(l *ownerLink) float64 {
	if l.urgent {
		return 0
	}
	return c.budget.size / 2
}

// endAsks tells all owners where the one asked first hasn't granted in time.
func (c *Core) endAsks() {
	for _, pool := range sortedKeys(c.asks) {
		a := c.asks[pool]
		if a.owner == "" || c.now < a.until {
			continue
		}
		a.owner = ""
		if c.waitingIn(pool) == 0 {
			continue
		}
		for _, owner := range c.placement.reportTo[pool] {
			c.demandDue(owner, 0)
		}
	}
}

func (c *Core) sendReport(owner string, l *ownerLink) {
	l.sequence++
	l.sent = c.now
	l.due = never
	if l.urgent {
		l.due = c.now + urgentRepeat
		l.urgent = false
	}
	report := &wire.Report{
		Sequence:  l.sequence,
		OwnerBoot: l.boot,
		Seen:      l.seen,
		Holds:     c.holds(owner),
		HoldsOnly: !l.full,
	}
	if l.full {
		report.Demands = c.demandsFor(owner)
	}
	l.full = false
	l.spoke = l.spoke && report.HoldsOnly || len(report.Holds) > 0 || len(report.Demands) > 0
	c.budget.level -= float64(proto.Size(report) + datagramOverhead)
	c.to(owner).Report = report
}

func (c *Core) holds(owner string) []*wire.Hold {
	var out []*wire.Hold
	for _, id := range c.placement.ownedBy[owner] {
		refused := c.refuses(id)
		if c.running[id] == 0 && !refused {
			continue
		}
		out = append(out, &wire.Hold{Backend: uint32(id), Running: uint32(c.running[id]), Refused: refused})
	}
	return out
}

func (c *Core) demandsFor(owner string) []*wire.Demand {
	var out []*wire.Demand
	for _, key := range c.waiting {
		q := c.queues[key]
		if !c.asks[key.Pool].tells(c.now, owner) {
			continue
		}
		if !slices.Contains(c.placement.reportTo[key.Pool], owner) {
			continue
		}
		out = append(out, &wire.Demand{
			Pool: uint32(key.Pool), Account: uint32(key.Account),
			Interactive: uint32(len(q.waiting[model.Interactive])),
			Batch:       uint32(len(q.waiting[model.Batch])),
			OldestMs:    uint32((c.now - q.oldest(c.now)).Milliseconds()),
		})
	}
	return out
}

// trackWaiting keeps the ordered list of the queues in which a request waits.
func (c *Core) trackWaiting(key model.Key, q *queue) {
	i, found := slices.BinarySearchFunc(c.waiting, key, model.Key.Compare)
	switch {
	case q.length() > 0 && !found:
		c.waiting = slices.Insert(c.waiting, i, key)
	case q.length() == 0 && found:
		c.waiting = slices.Delete(c.waiting, i, i+1)
	}
}

// nextReport returns when a report or the end of an ask is due.
func (c *Core) nextReport() model.Time {
	wake := never
	for _, l := range c.owners {
		due := l.due
		if l.spoke {
			due = min(due, l.sent+reportRefresh)
		}
		if due < never {
			wake = min(wake, max(due, c.budget.ready(c.now, c.reserve(l))))
		}
	}
	for _, a := range c.asks {
		if a.owner != "" {
			wake = min(wake, a.until)
		}
	}
	return wake
}

// takeGrants uses grants from an owner, and gives back at once, by the next
// report, those for which nothing waits.
func (c *Core) takeGrants(owner string, boot uint64, grants []*wire.Grant) {
	if len(grants) == 0 {
		return
	}
	l := c.linkTo(owner)
	if l.boot != boot {
		l.boot = boot
		l.seen = 0
	}
	for _, g := range grants {
		if g.Sequence <= l.seen {
			continue
		}
		l.seen = g.Sequence
		if !c.useGrant(owner, g) {
			c.demandDue(owner, 0)
		}
	}
	c.reportDue(owner, ackDelay)
}

func (c *Core) useGrant(owner string, g *wire.Grant) bool {
	id := model.BackendID(g.Backend)
	b, ok := c.config.Backends[id]
	if !ok || c.refuses(id) || c.placement.owner[id] != owner {
		return false
	}
	key := model.Key{Pool: b.Pool, Account: model.AccountID(g.Account)}
	return c.dispatch(key, id)
}
