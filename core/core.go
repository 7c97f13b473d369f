// Package core decides which request is dispatched next, to which backend server, and when a request is refused. It is
// a deterministic state machine: time and messages are its input as events, random choices follow a seed, and its
// output is actions. It has no goroutine, clock or socket. The daemon drives one core with real time; tests drive
// several that exchange messages.
//
// # How capacity is shared
//
// Each backend server is accounted for by one router, its owner. All routers derive the owner from the live routers by
// rendezvous hashing, within the backend server's data hall if a live router is there. A request waits at the router
// that received it, its ingress router, so that no request is lost if an owner dies. Ingress routers report to the
// owners, as state, how many requests of each account wait and how many run on each backend server. An owner grants a
// free slot to the account that is furthest behind, at the router where that account's oldest request waits; that
// router then sends the request to the backend server itself.
//
// Accounts are ordered by virtual service: over the fleet, the tokens delivered so far, and of each running request its
// input and the output still expected, up to the policy's look-ahead, divided by the account's weight. Package ledger
// maintains it, package estimate estimates the remaining output of a request. Grants that the ledger doesn't include
// yet are counted by the owner that made them.
//
// # State and recovery
//
// A report holds the number of requests running on each backend server and the highest grant sequence received. The
// owner counts as occupied the slots in the reports, plus the grants above that sequence that are younger than
// grantExpiry. A lost report, a lost grant, a late grant, and an owner that is new or has lost its state are all
// corrected by the next report, without a message of their own. If a backend server has two owners, as during a network
// partition, each subtracts the requests in the engine's load report that it can't account for.
//
// # Limits
//
// The order depends on a ledger that is up to a second old, and on reports that are paced by a byte budget. In that
// time an account can get ahead by as much as all owners can grant; see docs/DESIGN.md for the bound.
package core

import (
	"math/rand/v2"
	"time"

	"github.com/tamarindstep/tamarindstep/core/cold"
	"github.com/tamarindstep/tamarindstep/core/estimate"
	"github.com/tamarindstep/tamarindstep/core/ledger"
	"github.com/tamarindstep/tamarindstep/core/member"
	"github.com/tamarindstep/tamarindstep/core/notice"
	"github.com/tamarindstep/tamarindstep/core/prompt"
	"github.com/tamarindstep/tamarindstep/core/retry"
	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/wire"
)

// Core makes the decisions of one router.
type Core struct {
	now      model.Time
	config   *Config
	random   *rand.Rand
	members  *member.List
	ledger   *ledger.Ledger
	prompt   *prompt.Machine
	retries  *retry.Budget
	draining bool
	listed   bool // the VM list has been read
	actions  []Action
	outbox   map[string]*wire.Datagram

	// For policies that decide by prompt.
	byPromptRequests map[RequestID]byPromptRequest
	loads            loadExchange
	overdue          overdue
	coldLimits       cold.Limits
	hallHomes        bool

	// As ingress router.
	requests  map[RequestID]*request
	queues    map[model.Key]*queue
	waiting   []model.Key // of the queues in which a request waits, in order
	deadlines deadlines
	running   map[model.BackendID]int
	excluded  map[model.BackendID]*exclusion
	owners    map[string]*ownerLink
	asks      map[model.PoolID]*ask
	estimates map[estimateKey]*estimate.Lengths
	budget    bucket

	// As owner.
	backends  map[model.BackendID]*backend
	sources   map[string]*source
	demands   map[model.Key]*demand
	poolOrder map[model.PoolID][]model.BackendID // owned, by pool
	dirty     map[model.PoolID]bool              // pools in which a grant may be possible
	lastGrant map[model.Key]uint64
	grants    uint64

	suspicions suspicions
	streams    streamState
	notices    *notice.Registry

	placement placement
	watched   []model.BackendID // of the last Watch action
	watch     watch
}

// New returns the core of a router that has just started. The seed determines all of its random choices.
func New(now model.Time, self member.Member, seed uint64) *Core {
	random := rand.New(rand.NewPCG(seed, self.Boot))
	c := &Core{
		placement:        placement{stale: true},
		now:              now,
		config:           &Config{},
		random:           random,
		members:          member.New(self, random),
		outbox:           map[string]*wire.Datagram{},
		loads:            newLoadExchange(DefaultLoadsBytes),
		overdue:          newOverdue(),
		coldLimits:       cold.Limits{Overshoot: 1},
		byPromptRequests: map[RequestID]byPromptRequest{},
		requests:         map[RequestID]*request{},
		queues:           map[model.Key]*queue{},
		running:          map[model.BackendID]int{},
		excluded:         map[model.BackendID]*exclusion{},
		owners:           map[string]*ownerLink{},
		asks:             map[model.PoolID]*ask{},
		estimates:        map[estimateKey]*estimate.Lengths{},
		budget:           bucket{rate: reportBytesPerSecond, size: reportBytesPerSecond, level: reportBytesPerSecond},
		backends:         map[model.BackendID]*backend{},
		sources:          map[string]*source{},
		demands:          map[model.Key]*demand{},
		poolOrder:        map[model.PoolID][]model.BackendID{},
		dirty:            map[model.PoolID]bool{},
		lastGrant:        map[model.Key]uint64{},
		watch:            watch{StoreContact: StoreContact{reached: now, outageGap: minOutage}},
	}
	c.notices = notice.New()
	c.prompt = prompt.New(now, random)
	c.prompt.SetNotices(c.notices)
	c.retries = retry.New(retry.Limits{})
	c.suspicions = newSuspicions(self.Boot)
	c.streams = newStreamState(now)
	c.ledger = ledger.New(self.Name, now, random.Uint64, c.lookAheadOf)
	return c
}

// LimitRetries sets the fleet's retry budget. The default is unlimited.
func (c *Core) LimitRetries(limits retry.Limits) { c.retries = retry.New(limits) }

// LimitCold sets how far the rate of requests to a cold backend server may exceed its configured rate. By default it
// may not.
func (c *Core) LimitCold(limits cold.Limits) { c.coldLimits = limits }

// AssignHomesPerDataHall assigns prompts with common parts a home in each data hall instead of one in the fleet. It
// must be called before a configuration is in force.
func (c *Core) AssignHomesPerDataHall() { c.hallHomes = true }

// LimitLoads sets how many bytes a second of load reports this router sends to each receiver: both its own reports and
// those that it forwards as a relay.
func (c *Core) LimitLoads(bytesPerSecond float64) {
	c.loads = newLoadExchange(bytesPerSecond)
	c.loads.presence.enabled = c.byPrompt()
}

// Step processes one event at the given time, which must not decrease, and returns the resulting actions in order.
func (c *Core) Step(now model.Time, e Event) []Action {
	c.now = max(c.now, now)
	c.actions = nil
	c.handle(e)
	c.refreshPlacement()
	c.updateWatch()
	c.expire()
	c.probe()
	c.grantAll()
	c.decideByPrompt()
	c.exchangeLedger()
	c.flushReports()
	c.reportSuspicionChanges()
	c.requestMissingReports()
	c.flushLoads()
	c.flushStreams()
	c.checkOverdue()
	c.flushOutbox()
	return c.actions
}

// RecordDelay records that this router runs behind schedule, so that missing messages may be due to its own delay.
func (c *Core) RecordDelay(now model.Time) { c.members.RecordLate(max(c.now, now)) }

func (c *Core) handle(e Event) {
	switch e := e.(type) {
	case Tick:
	case Configure:
		c.configure(e.Config)
	case Arrive:
		if !c.holdBack(e) {
			c.processArrival(e)
		}
	case TryAnswered:
		c.tryAnswered(e)
	case RefusedUnread:
		if c.byPrompt() {
			c.countRefusedUnread(e)
		}
	case Began:
		c.prompt.RecordBegin(c.now, e.ID)
		c.streamBegan(e.ID)
	case Progress:
		c.progress(e)
	case Finish:
		c.streamEnded(e)
		c.finish(e)
	case Abandon:
		c.abandon(e.ID)
	case Receive:
		c.receive(e.Datagram)
	case Routers:
		c.members.SetListed(c.now, e.Listed)
		c.placement.stale = c.placement.stale || !c.listed
		c.listed = true
	case Load:
		c.applyLoad(e)
	case Leaving:
		c.setLeaving(e.Backends)
	case NoticeReceived:
		c.applyNotice(e)
	case ServerEnded:
		c.serverEnded(e)
	case Answered:
		c.answered(e)
	case HeldRequestsLoaded:
		c.restoreSuspicions(e.Suspicions)
	case RegistrySynced:
		c.registrySynced(e)
	case StreamsLoaded:
		c.streamsLoaded(e)
	case StreamsStored:
		c.streamsStored(e)
	case StoreContacted:
		c.contacted(e)
	case Drain:
		c.drain()
	}
}

// processArrival processes a request that isn't held back.
func (c *Core) processArrival(e Arrive) {
	if bound, ok := c.bindStream(e); ok {
		c.schedule(bound)
	}
}

// schedule lets the policy decide on a request.
func (c *Core) schedule(e Arrive) {
	if c.byPrompt() {
		c.arriveByPrompt(e)
		return
	}
	c.arrive(e)
}

// Wake returns when the next Tick is due.
func (c *Core) Wake() model.Time {
	wake := min(c.prompt.Wake(), c.nextLoads(), c.members.NextTick(), c.ledger.NextWake(c.now), c.nextReport(), c.nextDeadline(), c.nextReady(), c.nextWatch(), c.nextStreams(), c.suspicions.tracker.NextSend())
	return max(wake, c.now+minWake)
}

// minWake is the shortest interval between two ticks.
const minWake = time.Millisecond

func (c *Core) emit(a Action) {
	c.actions = append(c.actions, a)
}

func (c *Core) drain() {
	c.draining = true
	c.members.Leave()
}

// Idle reports whether no request waits or runs at this router.
func (c *Core) Idle() bool {
	return len(c.requests)+len(c.suspicions.pendingTries)+len(c.streams.lookups) == 0 && c.prompt.Idle()
}

func (c *Core) probe() {
	for _, s := range c.members.Tick(c.now) {
		c.sendProbe(s)
	}
	c.handleMemberChanges()
}

func (c *Core) handleMemberChanges() {
	for _, change := range c.members.Changes() {
		c.memberChanged(change)
	}
}

func (c *Core) sendProbe(s member.Send) {
	d := c.datagramTo(s.To)
	d.Probe = s.Probe
	d.Rumours = c.members.Rumours(s.To)
}

func (c *Core) memberChanged(change member.Change) {
	c.loads.planCurrent = false
	c.streamMemberChanged(change)
	if change.Restarted || change.Status == wire.Status_STATUS_DEAD {
		c.removeSource(change.Name)
		c.forgetLoads(change)
		delete(c.overdue.alive, change.Name)
		delete(c.owners, change.Name)
	}
	c.emit(MemberChanged{Change: change})
}

func (c *Core) exchangeLedger() {
	for _, s := range c.ledger.Tick(c.now) {
		c.sendLedger(s)
	}
}

func (c *Core) sendLedger(s ledger.Message) {
	d := c.datagramTo(s.To)
	if s.Up != nil {
		d.Up = s.Up
	}
	if s.Down != nil {
		d.Down = s.Down
	}
}

// configure puts a configuration in force. A lower generation, an older catalog of backend servers or older evacuations
// never replace newer ones.
func (c *Core) configure(config *Config) {
	older := c.config.Versions().Exceed(config.Versions())
	same := config.Versions() == c.config.Versions() && config.Edition == c.config.Edition
	if older || same {
		return
	}
	c.config = config
	c.placement.stale = true
	c.configurePrompt()
	c.configureStreams()
	c.refuseWithdrawn()
	c.announce()
}

// announceFanOut is the number of routers that are notified immediately of a new configuration. As each of them
// notifies as many, it reaches the whole fleet within a few exchanges.
const announceFanOut = 4

// announce sends a datagram to randomly chosen routers, which notifies them of the configuration in force here: every
// datagram carries its generation.
func (c *Core) announce() {
	names := c.members.Names()
	notified := 0
	for _, i := range c.random.Perm(len(names)) {
		if notified == announceFanOut {
			return
		}
		if c.members.Get(names[i]).Reachable() {
			c.datagramTo(names[i])
			notified++
		}
	}
}
