package core

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tamarindstep/tamarindstep/core/member"
	"github.com/tamarindstep/tamarindstep/core/relay"
	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/wire"
)

const (
	// loadsEvery is how often a router tells the others what it has newly got on the
	// backend servers, where the budget allows it.
	loadsEvery = 100 * time.Millisecond
	// passOnEvery is how often a relay passes on what it was told. A message passes two
	// relays, each of which holds it for half of this in the mean.
	passOnEvery = 50 * time.Millisecond
	// loadsRepeat is how often it is looked whether anything is to be told once more,
	// as its last report may have been lost.
	loadsRepeat = time.Second
	// DefaultLoadsBytes is what each receiver is told in bytes a second unless it is set:
	// most of the 13 KB a second that the target size leaves for control.
	DefaultLoadsBytes = 9000
	// maxAtOnce is the size in bytes from which on a datagram takes no further messages:
	// a UDP datagram holds 64 KB, one of which may be a router's whole report.
	maxAtOnce = 16 << 10
)

// loadExchange is the state of telling the other routers what this one has on the
// backend servers, and of passing on what they tell, by the plan of package relay. When
// the budget is used up, the next messages wait, and tell more at once.
type loadExchange struct {
	changed   bool       // there is something to tell
	unsettled bool       // what was told last is to be told once more
	told      model.Time // when this router last told of itself
	passed    model.Time // when it last passed on what others told
	sequence  uint64
	budget    bucket
	names     map[uint32]string // of routers, by the hash that messages name them by

	plan      relay.Plan
	planned   bool       // the plan is of the fleet as it is known now
	plannedAt model.Time // when it was made
	link      relayLink
	toAll     loadQueue             // for the other relays and the routers served here
	toServed  loadQueue             // for the routers served here
	callers   map[string]model.Time // that have told this router as their relay, and when
	passers   map[string]model.Time // that have passed on to it, and when
	presence  presence
	asking    asking
}

func newLoadExchange(bytesPerSecond float64) loadExchange {
	size := bytesPerSecond / 4
	return loadExchange{
		budget: bucket{rate: bytesPerSecond, size: size, level: size},
		names:  map[uint32]string{},
		link:   newRelayLink(),

		toAll:    newLoadQueue(),
		toServed: newLoadQueue(),

		callers: map[string]model.Time{},
		passers: map[string]model.Time{},

		presence: newPresence(),
		asking:   newAsking(),
	}
}

// nextLoads returns when the other routers are to be told.
func (c *Core) nextLoads() model.Time {
	l := &c.loads
	next := min(l.nextOwn(), l.nextPassOn(), l.link.overdue(), l.nextPlan(), l.nextPresence())
	if next == never {
		return never
	}
	return max(next, l.budget.ready(l.budget.filled, 0))
}

// nextPlan returns when the plan is to be made anew: changes of the fleet come in bursts.
func (l *loadExchange) nextPlan() model.Time {
	if l.planned {
		return never
	}
	return l.plannedAt + loadsEvery
}

// nextOwn returns when this router is to tell of itself.
func (l *loadExchange) nextOwn() model.Time {
	next := l.link.quiet()
	switch {
	case l.changed:
		next = min(next, l.told+loadsEvery)
	case l.unsettled:
		next = min(next, l.told+loadsRepeat)
	}
	return next
}

// nextPassOn returns when it is to pass on what others have told.
func (l *loadExchange) nextPassOn() model.Time {
	if l.toAll.len()+l.toServed.len() == 0 {
		return never
	}
	return l.passed + passOnEvery
}

// flushLoads tells the other routers what this one has newly got on the backend servers,
// and passes on what it was told.
func (c *Core) flushLoads() {
	l := &c.loads
	if c.now < c.nextLoads() {
		return
	}
	l.budget.fill(c.now)
	if l.budget.level <= 0 {
		return
	}
	c.refreshPlan()
	c.leaveSilentRelay()
	c.keepPresent()
	if c.now >= l.nextOwn() {
		c.tellOwnLoads()
	}
	if c.now >= l.nextPassOn() {
		c.passOn()
	}
}

// refreshPlan works out anew who relays for whom, where the fleet has changed.
func (c *Core) refreshPlan() {
	l := &c.loads
	if c.now < l.nextPlan() {
		return
	}
	l.planned = true
	l.plannedAt = c.now
	self := c.members.Self()
	fleet := []relay.Router{{Name: self.Name, DataHall: self.DataHall, Processor: float32(self.Processor)}}
	for _, name := range c.members.Names() {
		m := c.members.Get(name)
		if m.Status == wire.Status_STATUS_ALIVE || m.Status == wire.Status_STATUS_LEAVING {
			fleet = append(fleet, relay.Router{Name: name, DataHall: m.DataHall, Processor: float32(m.Processor)})
		}
	}
	before := l.plan.Serves
	l.plan = relay.Of(self.Name, fleet)
	for _, name := range before {
		l.callers[name] = c.now // until the relays that it now has know of it
	}
	c.chooseRelay()
}

// tellOwnLoads tells what is to be told of this router: its relay or, where it is one
// itself, those that it passes on to.
func (c *Core) tellOwnLoads() {
	l := &c.loads
	own := c.ownLoads()
	c.addHears(own)
	if l.link.relay == "" {
		l.toAll.add(own)
		return
	}
	if isEmpty(own) {
		c.introduce(l.link.relay)
	}
	l.link.told(c.now, own)
	c.sendLoads(c.toldAsRelays(), []*wire.Loads{own}, wire.PassOn_PASS_ON_ALL)
}

// ownLoads returns what is to be told of this router, and takes it as told.
func (c *Core) ownLoads() *wire.Loads {
	report, settled := c.prompt.ReportLoads()
	c.loads.changed = false
	c.loads.unsettled = !settled
	c.loads.told = c.now
	c.loads.sequence++
	self := c.members.Self()
	out := encodeLoadReport(report)
	out.Suspicions = encodeSuspicions(c.now, c.suspicions.book.Tell(c.now))
	out.Router = model.HashName(self.Name)
	out.Process = uint32(self.Boot)
	out.Sequence = c.loads.sequence
	return out
}

// passOn passes on what this router was told, and tells its own where it is a relay.
func (c *Core) passOn() {
	l := &c.loads
	l.passed = c.now
	atOnce := min(maxAtOnce, int(l.budget.size)) // so that its silence is short where bytes are few
	toAll := l.toAll.take(atOnce)
	toServed := l.toServed.take(atOnce - sizeOf(toAll))
	if l.toAll.holdsNews() || l.toServed.holdsNews() {
		toAll, toServed = withoutDigest(toAll), withoutDigest(toServed)
	}
	if len(toAll) > 0 {
		c.sendLoads(c.relays(), toAll, wire.PassOn_PASS_ON_SERVED)
	}
	if len(toAll)+len(toServed) > 0 {
		c.sendLoads(c.served(), slices.Concat(toAll, toServed), wire.PassOn_PASS_ON_NOBODY)
	}
}

func sizeOf(loads []*wire.Loads) int {
	size := 0
	for _, l := range loads {
		size += proto.Size(l)
	}
	return size
}

// callerKept is how long a router is served after it has last told this one as its
// relay, or was last to be served by the plan, and how long one is told as a relay after it has
// last passed on to this one: routers that don't hold the same view of the fleet would else
// leave each other, and those that they serve, untold.
const callerKept = 2 * time.Second

// served returns the routers that hear of the fleet through this one.
func (c *Core) served() []string { return withRecent(c.now, c.loads.plan.Serves, c.loads.callers) }

// relays returns the other relays: those by the plan, and those that pass on as one.
func (c *Core) relays() []string { return withRecent(c.now, c.loads.plan.Relays, c.loads.passers) }

// withRecent returns names and those of the others that were seen lately; it forgets the rest.
func withRecent(now model.Time, names []string, seen map[string]model.Time) []string {
	out := slices.Clone(names)
	for _, name := range sortedKeys(seen) {
		switch {
		case now > seen[name]+callerKept:
			delete(seen, name)
		case !slices.Contains(out, name):
			out = append(out, name)
		}
	}
	return out
}

// sendLoads puts loads into the datagrams for some routers. The budget is of what each of
// them is told.
func (c *Core) sendLoads(names []string, loads []*wire.Loads, passOn wire.PassOn) {
	if len(names) == 0 {
		return
	}
	for _, name := range names {
		c.putLoads(name, loads, passOn)
	}
	c.loads.budget.level -= float64(datagramOverhead + sizeOf(loads))
}

// putLoads puts loads into the datagram for one router, beside the budget.
func (c *Core) putLoads(name string, loads []*wire.Loads, passOn wire.PassOn) {
	d := c.to(name)
	d.Loads = slices.Concat(d.Loads, loads)
	d.LoadsTo = max(d.LoadsTo, passOn)
}

// memberOf returns the member whose name has a hash, nil where none is known.
func (c *Core) memberOf(router uint32) *member.Member {
	if m := c.members.Get(c.loads.names[router]); m != nil {
		return m
	}
	clear(c.loads.names)
	for _, name := range c.members.Names() {
		c.loads.names[model.HashName(name)] = name
	}
	return c.members.Get(c.loads.names[router])
}

// takeLoads takes what another router has told, or passed on.
func (c *Core) takeLoads(d *wire.Datagram) {
	self := c.members.Self()
	own, process := model.HashName(self.Name), uint32(self.Boot)
	if d.LoadsTo == wire.PassOn_PASS_ON_ALL {
		c.loads.callers[d.From] = c.now
		c.loads.presence.heard[d.From] = c.now
		c.noteNothingNew(d.From)
	} else {
		c.loads.passers[d.From] = c.now
	}
	if d.From == c.loads.link.relay {
		c.loads.link.heard = c.now
	}
	for _, in := range d.Loads {
		c.takeSuspicions(in.Suspicions)
		if in.Router == own && isEmpty(in) && d.From != c.loads.link.relay {
			c.heed(d.From)
			continue
		}
		if in.Router == own {
			c.loads.link.confirm(c.now, in, process)
			continue
		}
		if !c.takeLoadReport(in) {
			continue
		}
		if isEmpty(in) {
			c.putLoads(d.From, []*wire.Loads{in}, wire.PassOn_PASS_ON_NOBODY)
			continue
		}
		c.keepToPassOn(in, d.LoadsTo)
	}
}

// takeLoadReport takes what a router has told of itself, and tells whether it is new. One
// of a process that has ended since, which a relay may still pass on, isn't.
func (c *Core) takeLoadReport(in *wire.Loads) bool {
	from := c.memberOf(in.Router)
	if from == nil {
		c.overdue.drop(in.Router, fromUnknown)
		return false
	}
	if from.Past != 0 && in.Process == uint32(from.Past) {
		c.overdue.drop(in.Router, fromPast)
		return false
	}
	if in.Process == uint32(from.Boot) {
		c.prompt.Readmit(c.now, from.Name, in.Process)
	}
	if !c.prompt.TakeLoadReport(c.now, from.Name, in.Process, decodeLoadReport(in)) {
		c.overdue.drop(in.Router, notNewer)
		return false
	}
	delete(c.overdue.dropped, in.Router)
	c.takeHears(from.Name, in)
	c.askDead(from.Name)
	return true
}

// forgetLoads takes back what a router that has died or was restarted had running. Reports of
// its new process may have come by the relays before the notice of its restart: they stand.
func (c *Core) forgetLoads(change member.Change) {
	m := c.members.Get(change.Name)
	if change.Restarted && m != nil && c.prompt.Knows(change.Name, uint32(m.Boot)) {
		return
	}
	c.prompt.ForgetRouter(change.Name)
}

// isEmpty tells whether a message only asks for its confirmation.
func isEmpty(in *wire.Loads) bool {
	return in.HearsDigest == 0 && len(in.Hears) == 0 && !hasNews(in)
}

// keepToPassOn keeps a message for those whom this router is to pass it on to.
func (c *Core) keepToPassOn(in *wire.Loads, passOn wire.PassOn) {
	l := &c.loads
	switch passOn {
	case wire.PassOn_PASS_ON_ALL:
		l.toAll.add(in)
	case wire.PassOn_PASS_ON_SERVED:
		if len(l.plan.Serves)+len(l.callers) > 0 {
			l.toServed.add(in)
		}
	case wire.PassOn_PASS_ON_NOBODY:
	}
}
