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
	// minReportInterval is the shortest time between two reports to one owner.
	minReportInterval = 2 * time.Millisecond
	// deferrableDelay is the maximum delay of reporting a change that no owner waits for.
	deferrableDelay = 400 * time.Millisecond
	// ackDelay is the maximum delay of the acknowledgement of grants.
	ackDelay = 100 * time.Millisecond
	// urgentRepeatDelay is the delay after which a report that an owner waits for is sent once more, in case it was
	// lost.
	urgentRepeatDelay = 60 * time.Millisecond
	// refreshInterval is how often a report with content is repeated.
	refreshInterval = 500 * time.Millisecond
	// reportBytesPerSecond is the byte rate of one router's reports to all owners.
	reportBytesPerSecond = 6000
	// datagramOverhead is the size of a datagram besides its parts, in bytes.
	datagramOverhead = 90
	// soleAskTimeout is how long an owner that is asked alone may take to grant.
	soleAskTimeout = 10 * time.Millisecond
	// shallowQueue is the length of a queue up to which an added request is reported at once.
	shallowQueue = 2
)

// ownerLink is this router's link to an owner.
type ownerLink struct {
	boot     uint64 // of the process that sent the grants up to seen
	seen     uint64 // highest grant sequence received
	sequence uint64 // of the last report
	sent     model.Time
	due      model.Time // when the next report is due; never for none
	nonEmpty bool       // the last report had content
	urgent   bool       // an owner waits for the report that is due
	full     bool       // the report that is due must include the demands
}

// ask is the state of asking one owner alone for a pool's slots.
type ask struct {
	grantable map[string]int // slots that each owner could grant, as last reported
	owner     string         // asked alone, "" if all are sent the demand
	until     model.Time
}

// bucket is a token bucket that limits a flow of bytes.
type bucket struct {
	rate, size, level float64
	filled            model.Time
}

func (b *bucket) fill(now model.Time) {
	b.level = min(b.level+(now-b.filled).Seconds()*b.rate, b.size)
	b.filled = now
}

// ready returns when the level exceeds the given one.
func (b *bucket) ready(now model.Time, above float64) model.Time {
	if b.level > above {
		return now
	}
	return now + time.Duration((above-b.level)/b.rate*float64(time.Second)) + 1
}

func (c *Core) askOf(pool model.PoolID) *ask {
	a := c.asks[pool]
	if a == nil {
		a = &ask{grantable: map[string]int{}}
		c.asks[pool] = a
	}
	return a
}

// recordFreeSlots records how many slots of a pool an owner reported it could grant.
func (c *Core) recordFreeSlots(owner string, pool model.PoolID, slots int) {
	c.askOf(pool).grantable[owner] = slots
}

func (c *Core) linkTo(owner string) *ownerLink {
	l := c.owners[owner]
	if l == nil {
		l = &ownerLink{due: never}
		c.owners[owner] = l
	}
	return l
}

// scheduleDemand schedules a report that includes the demands, at the latest after delay.
func (c *Core) scheduleDemand(owner string, delay time.Duration) {
	c.scheduleReport(owner, delay)
	if l := c.owners[owner]; l != nil {
		l.full = true
	}
}

// scheduleReport schedules a report to an owner, at the latest after delay.
func (c *Core) scheduleReport(owner string, delay time.Duration) {
	if owner == "" || owner == c.members.Self().Name {
		return
	}
	l := c.linkTo(owner)
	earliest := c.now + delay
	if l.sequence > 0 {
		earliest = max(earliest, l.sent+minReportInterval)
	}
	l.due = min(l.due, earliest)
	l.urgent = l.urgent || delay == 0
}

// scheduleAllReports schedules reports to all owners after a change of ownership, except where the report would be
// empty as the last one was.
func (c *Core) scheduleAllReports() {
	for _, owner := range sortedKeys(c.placement.ownedBy) {
		l := c.owners[owner]
		if l != nil && l.nonEmpty || len(c.holds(owner)) > 0 || len(c.demandsFor(owner)) > 0 {
			c.scheduleDemand(owner, 0)
		}
	}
}

// demandIncreased reports a request that was added to a queue to the owners that may grant it a slot.
func (c *Core) demandIncreased(key model.Key, q *queue) {
	c.recordBusy(key, q)
	c.setOwnDemand(key, q)
	delay := deferrableDelay
	if q.length() <= shallowQueue {
		delay = 0
	}
	if c.waitingIn(key.Pool) == 1 {
		c.chooseAsk(key.Pool)
	}
	for _, owner := range c.placement.reportTo[key.Pool] {
		if c.asks[key.Pool].includes(c.now, owner) {
			c.scheduleDemand(owner, delay)
		}
	}
}

// includes reports whether the demand for the pool is sent to that owner.
func (a *ask) includes(now model.Time, owner string) bool {
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

// chooseAsk selects the owner that is asked alone for the only waiting request, if one has reported a free slot.
// Sending the demand to all owners would bring a grant from each.
func (c *Core) chooseAsk(pool model.PoolID) {
	a := c.askOf(pool)
	a.owner = ""
	most := 0
	for _, owner := range c.placement.reportTo[pool] {
		if n := a.grantable[owner]; n > most && owner != c.members.Self().Name {
			a.owner, most = owner, n
		}
	}
	if a.owner != "" {
		a.grantable[a.owner]--
		a.until = c.now + soleAskTimeout
	}
}

// demandDecreased reports a shorter queue to the owners, after deferrableDelay.
func (c *Core) demandDecreased(key model.Key, q *queue) {
	c.recordBusy(key, q)
	c.setOwnDemand(key, q)
	for _, owner := range c.placement.reportTo[key.Pool] {
		if c.asks[key.Pool].includes(c.now, owner) {
			c.scheduleDemand(owner, deferrableDelay)
		}
	}
}

// recordBusy records in the ledger whether the client account has requests waiting, and how many are running.
func (c *Core) recordBusy(key model.Key, q *queue) {
	c.trackWaiting(key, q)
	c.ledger.SetBacklog(c.now, key, q.length() > 0, q.running)
}

// holdChanged reports to the owner of a backend server that another number of requests runs there.
func (c *Core) holdChanged(id model.BackendID) {
	owner := c.placement.owner[id]
	if owner == c.members.Self().Name {
		c.markBackendDirty(id)
		return
	}
	c.scheduleReport(owner, 0)
}

// flushReports sends the reports that are due, as far as the budget allows: those an owner waits for first, and among
// equals the one that has been due longest.
func (c *Core) flushReports() {
	c.expireAsks()
	c.budget.fill(c.now)
	var due []string
	for owner, l := range c.owners {
		if l.nonEmpty {
			if refresh := l.sent + refreshInterval; refresh < l.due {
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

// rank orders urgent reports before others.
func rank(urgent bool) int {
	if urgent {
		return 0
	}
	return 1
}

// reserve is the level of the budget that a report must leave: half of the budget is reserved for reports that an owner
// waits for.
func (c *Core) reserve(l *ownerLink) float64 {
	if l.urgent {
		return 0
	}
	return c.budget.size / 2
}

// expireAsks sends the demand to all owners if the one asked alone hasn't granted in time.
func (c *Core) expireAsks() {
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
			c.scheduleDemand(owner, 0)
		}
	}
}

func (c *Core) sendReport(owner string, l *ownerLink) {
	l.sequence++
	l.sent = c.now
	l.due = never
	if l.urgent {
		l.due = c.now + urgentRepeatDelay
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
	l.nonEmpty = l.nonEmpty && report.HoldsOnly || len(report.Holds) > 0 || len(report.Demands) > 0
	c.budget.level -= float64(proto.Size(report) + datagramOverhead)
	c.datagramTo(owner).Report = report
}

func (c *Core) holds(owner string) []*wire.Hold {
	var out []*wire.Hold
	for _, id := range c.placement.ownedBy[owner] {
		refused := c.excludes(id) && !c.awaitsRegistration(id)
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
		if !c.asks[key.Pool].includes(c.now, owner) {
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

// trackWaiting maintains the sorted list of non-empty queues.
func (c *Core) trackWaiting(key model.Key, q *queue) {
	i, found := slices.BinarySearchFunc(c.waiting, key, model.Key.Compare)
	switch {
	case q.length() > 0 && !found:
		c.waiting = slices.Insert(c.waiting, i, key)
	case q.length() == 0 && found:
		c.waiting = slices.Delete(c.waiting, i, i+1)
	}
}

// nextReport returns when a report or the expiry of an ask is due.
func (c *Core) nextReport() model.Time {
	wake := never
	for _, l := range c.owners {
		due := l.due
		if l.nonEmpty {
			due = min(due, l.sent+refreshInterval)
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

// takeGrants uses an owner's grants, and returns those for which no request waits with the next report, at once.
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
			c.scheduleDemand(owner, 0)
		}
	}
	c.scheduleReport(owner, ackDelay)
}

func (c *Core) useGrant(owner string, g *wire.Grant) bool {
	id := model.BackendID(g.Backend)
	b, ok := c.config.Backends[id]
	if !ok || c.excludes(id) || c.placement.owner[id] != owner {
		return false
	}
	key := model.Key{Pool: b.Pool, Account: model.AccountID(g.Account)}
	return c.dispatch(key, id)
}
