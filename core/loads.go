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
	// loadReportInterval is the shortest time between two load reports of this router while its byte budget allows it.
	loadReportInterval = 100 * time.Millisecond
	// forwardInterval is the time between two batches that a relay forwards. A message passes two relays, each of which
	// holds it for half of this on average.
	forwardInterval = 50 * time.Millisecond
	// loadReportRepeat is the interval of checks for loads to report again, as their last report may have been lost.
	loadReportRepeat = time.Second
	// DefaultLoadsBytes is the default byte rate of the load messages sent to each receiver, in bytes a second: most of
	// the 13 KB a second that the target fleet size leaves for control traffic.
	DefaultLoadsBytes = 9000
	// maxLoadsDatagramBytes is the size in bytes from which a datagram takes no further messages. A UDP datagram holds
	// 64 KB, and a single message may be a router's whole report.
	maxLoadsDatagramBytes = 16 << 10
)

// loadExchange is the state of sending this router's load reports to the other routers and of forwarding theirs,
// following the plan of package relay. When the byte budget is used up, the next messages wait and are merged.
type loadExchange struct {
	changed       bool       // there are changes to report
	repeatPending bool       // reported loads are to be checked for repetition
	lastSent      model.Time // when this router's last report was sent
	lastForwarded model.Time // when other routers' reports were last forwarded
	sequence      uint64
	budget        bucket
	names         map[uint32]string // of routers, by the hash that identifies them in messages

	plan           relay.Plan
	planCurrent    bool       // the plan reflects the current members
	plannedAt      model.Time // when the plan was made
	link           relayLink
	toAll          loadQueue             // for the other relays and the routers served here
	toServed       loadQueue             // for the routers served here
	relayClients   map[string]model.Time // routers that use this one as their relay, and when they last sent to it
	forwarders     map[string]model.Time // routers that forwarded to this one, and when they last did
	presence       presence
	reportRequests reportRequests
}

func newLoadExchange(bytesPerSecond float64) loadExchange {
	size := bytesPerSecond / 4
	return loadExchange{
		budget: bucket{rate: bytesPerSecond, size: size, level: size},
		names:  map[uint32]string{},
		link:   newRelayLink(),

		toAll:    newLoadQueue(),
		toServed: newLoadQueue(),

		relayClients: map[string]model.Time{},
		forwarders:   map[string]model.Time{},

		presence:       newPresence(),
		reportRequests: newReportRequests(),
	}
}

// nextLoads returns when flushLoads is due next.
func (c *Core) nextLoads() model.Time {
	l := &c.loads
	next := min(l.nextOwnReport(), l.nextForward(), l.link.confirmDeadline(), l.nextPlan(), l.nextPresence())
	if next == never {
		return never
	}
	return max(next, l.budget.ready(l.budget.filled, 0))
}

// nextPlan returns when the plan is to be made again. Membership changes come in bursts, so the plan is made at most
// once in loadReportInterval.
func (l *loadExchange) nextPlan() model.Time {
	if l.planCurrent {
		return never
	}
	return l.plannedAt + loadReportInterval
}

// nextOwnReport returns when this router's next load report is due.
func (l *loadExchange) nextOwnReport() model.Time {
	next := l.link.nextProbe()
	switch {
	case l.changed:
		next = min(next, l.lastSent+loadReportInterval)
	case l.repeatPending:
		next = min(next, l.lastSent+loadReportRepeat)
	}
	return next
}

// nextForward returns when the queued reports of other routers are to be forwarded.
func (l *loadExchange) nextForward() model.Time {
	if l.toAll.len()+l.toServed.len() == 0 {
		return never
	}
	return l.lastForwarded + forwardInterval
}

// flushLoads sends this router's load report and forwards those of other routers, as far as they are due.
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
	c.replaceUnresponsiveRelay()
	c.sendHeartbeat()
	if c.now >= l.nextOwnReport() {
		c.sendOwnLoads()
	}
	if c.now >= l.nextForward() {
		c.forwardLoads()
	}
}

// refreshPlan computes which router relays for which, if the members have changed.
func (c *Core) refreshPlan() {
	l := &c.loads
	if c.now < l.nextPlan() {
		return
	}
	l.planCurrent = true
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
	l.plan = relay.PlanFor(self.Name, fleet)
	for _, name := range before {
		l.relayClients[name] = c.now // until its new relays have the new plan too
	}
	c.chooseRelay()
}

// sendOwnLoads sends this router's load report to its relay or, if it is a relay itself, to those that it forwards to.
func (c *Core) sendOwnLoads() {
	l := &c.loads
	own := c.ownLoads()
	c.addSenders(own)
	if l.link.relay == "" {
		l.toAll.add(own)
		return
	}
	if isEmpty(own) {
		c.announceSelf(l.link.relay)
	}
	l.link.recordSent(c.now, own)
	c.sendLoads(c.reportTargets(), []*wire.Loads{own}, wire.PassOn_PASS_ON_ALL)
}

// ownLoads returns this router's next load report and marks it as sent.
func (c *Core) ownLoads() *wire.Loads {
	report, settled := c.prompt.ReportLoads()
	c.loads.changed = false
	c.loads.repeatPending = !settled
	c.loads.lastSent = c.now
	c.loads.sequence++
	self := c.members.Self()
	out := encodeLoadReport(report)
	out.Suspicions = encodeSuspicions(c.now, c.suspicions.tracker.TakeDue(c.now))
	out.Versions = c.versionsToTell()
	out.Router = model.NameHash(self.Name)
	out.Process = uint32(self.Boot)
	out.Sequence = c.loads.sequence
	return out
}

// forwardLoads sends the queued messages. A relay's own reports are among them.
func (c *Core) forwardLoads() {
	l := &c.loads
	l.lastForwarded = c.now
	atOnce := min(maxLoadsDatagramBytes, int(l.budget.size)) // limits the time between datagrams when the byte rate is low
	toAll := l.toAll.take(atOnce)
	toServed := l.toServed.take(atOnce - sizeOf(toAll))
	if l.toAll.holdsPayload() || l.toServed.holdsPayload() {
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

// relayPeerTTL is how long a router is served after it last used this one as its relay or was last assigned to it by
// the plan, and how long another router is treated as a relay after it last forwarded to this one. Without it, routers
// with different views of the members would leave each other, and those that they serve, without reports.
const relayPeerTTL = 2 * time.Second

// served returns the routers that receive the other routers' reports from this one.
func (c *Core) served() []string { return withRecent(c.now, c.loads.plan.Serves, c.loads.relayClients) }

// relays returns the other relays: those of the plan, and those that recently forwarded to this router.
func (c *Core) relays() []string { return withRecent(c.now, c.loads.plan.Relays, c.loads.forwarders) }

// withRecent returns names and those routers in seen that were seen within relayPeerTTL. It deletes the others from
// seen.
func withRecent(now model.Time, names []string, seen map[string]model.Time) []string {
	out := slices.Clone(names)
	for _, name := range sortedKeys(seen) {
		switch {
		case now > seen[name]+relayPeerTTL:
			delete(seen, name)
		case !slices.Contains(out, name):
			out = append(out, name)
		}
	}
	return out
}

// sendLoads adds loads to the datagrams for some routers. The budget applies to what each receiver is sent, so the size
// is charged once.
func (c *Core) sendLoads(names []string, loads []*wire.Loads, scope wire.PassOn) {
	if len(names) == 0 {
		return
	}
	for _, name := range names {
		c.appendLoads(name, loads, scope)
	}
	c.loads.budget.level -= float64(datagramOverhead + sizeOf(loads))
}

// appendLoads adds loads to the datagram for one router without charging the budget.
func (c *Core) appendLoads(name string, loads []*wire.Loads, scope wire.PassOn) {
	d := c.datagramTo(name)
	d.Loads = slices.Concat(d.Loads, loads)
	d.LoadsTo = max(d.LoadsTo, scope)
}

// memberByHash returns the member whose name has the given hash, or nil if there is none.
func (c *Core) memberByHash(router uint32) *member.Member {
	if m := c.members.Get(c.loads.names[router]); m != nil {
		return m
	}
	clear(c.loads.names)
	for _, name := range c.members.Names() {
		c.loads.names[model.NameHash(name)] = name
	}
	return c.members.Get(c.loads.names[router])
}

// receiveLoads processes the load messages that another router has sent or forwarded.
func (c *Core) receiveLoads(d *wire.Datagram) {
	self := c.members.Self()
	own, process := model.NameHash(self.Name), uint32(self.Boot)
	if d.LoadsTo == wire.PassOn_PASS_ON_ALL {
		c.loads.relayClients[d.From] = c.now
		c.loads.presence.lastReceived[d.From] = c.now
		c.recordUnchanged(d.From)
	} else {
		c.loads.forwarders[d.From] = c.now
	}
	if d.From == c.loads.link.relay {
		c.loads.link.lastReceived = c.now
	}
	for _, in := range d.Loads {
		c.mergeSuspicions(in.Suspicions)
		if in.Router == own && isEmpty(in) && d.From != c.loads.link.relay {
			c.handleReportRequest(d.From)
			continue
		}
		if in.Router == own {
			c.loads.link.confirm(c.now, in, process)
			continue
		}
		if !c.applyLoadReport(in) {
			continue
		}
		if isEmpty(in) {
			c.appendLoads(d.From, []*wire.Loads{in}, wire.PassOn_PASS_ON_NOBODY)
			continue
		}
		c.enqueueForward(in, d.LoadsTo)
	}
}

// applyLoadReport applies another router's load report and reports whether it was new. A report of an earlier process,
// which a relay may still forward, is dropped.
func (c *Core) applyLoadReport(in *wire.Loads) bool {
	from := c.memberByHash(in.Router)
	if from == nil {
		c.overdue.recordDrop(in.Router, dropUnknownRouter)
		return false
	}
	if from.PreviousBoot != 0 && in.Process == uint32(from.PreviousBoot) {
		c.overdue.recordDrop(in.Router, dropEarlierProcess)
		return false
	}
	if in.Process == uint32(from.Boot) {
		c.prompt.AcceptProcess(c.now, from.Name, in.Process)
	}
	if !c.prompt.ApplyLoadReport(c.now, from.Name, in.Process, decodeLoadReport(in)) {
		c.overdue.recordDrop(in.Router, dropNotNewer)
		return false
	}
	delete(c.overdue.dropped, in.Router)
	c.recordKnownVersions(in)
	c.applySenders(from.Name, in)
	c.probeDead(from.Name)
	return true
}

// forgetLoads discards the requests that a failed or restarted router had running. Reports of its new process that
// relays forwarded before the restart was noticed are kept.
func (c *Core) forgetLoads(change member.Change) {
	m := c.members.Get(change.Name)
	if change.Restarted && m != nil && c.prompt.MatchesLastReport(change.Name, uint32(m.Boot)) {
		return
	}
	c.prompt.RemoveRouter(change.Name)
}

// isEmpty reports whether a message has no content, and is sent only to be confirmed.
func isEmpty(in *wire.Loads) bool {
	return in.HearsDigest == 0 && len(in.Hears) == 0 && !hasPayload(in)
}

// enqueueForward queues a message for the routers that this one is to forward it to.
func (c *Core) enqueueForward(in *wire.Loads, scope wire.PassOn) {
	l := &c.loads
	switch scope {
	case wire.PassOn_PASS_ON_ALL:
		l.toAll.add(in)
	case wire.PassOn_PASS_ON_SERVED:
		if len(l.plan.Serves)+len(l.relayClients) > 0 {
			l.toServed.add(in)
		}
	case wire.PassOn_PASS_ON_NOBODY:
	}
}
