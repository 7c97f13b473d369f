// Package core decides: which request is served next, on which backend server,
// and when one is refused. It is a deterministic state machine. Time, chance
// and every message come in as events, and what is to be done comes out as
// actions; it has no goroutine, no clock and no socket. The daemon drives one
// core with real time, and tests drive several against one another.
//
// # How capacity is shared
//
// Each backend server is accounted for by one router, its owner, which every
// router derives alike from the live routers (rendezvous hashing, inside the
// backend server's data hall where a router lives there). A request waits at
// the router that received it, its ingress router, so that the death of an owner
// loses nothing. Ingress routers report to the owners, as state, how many
// requests of each account wait and how many they have running on each backend
// server. An owner with a free slot grants it to the account that is furthest
// behind, at the router where that account's oldest request waits; that router
// then talks to the backend server itself.
//
// An account's place in the order is its virtual service: over the fleet, the
// tokens delivered so far, and of each running request its input and at most the
// policy's look-ahead of the output still expected, divided by its weight.
// Package ledger carries it, package estimate expects the rest of a request.
// Grants that the ledger can't show yet are counted by the owner that made them.
//
// # What is state and heals by itself
//
// A report holds the number of requests running on each backend server and the
// highest grant sequence seen. The owner takes as occupied what the reports
// say, plus the grants above the sequence seen that are younger than
// grantExpiry. A lost report, a lost grant, a grant that came too late, and an
// owner that is new or has no memory all come right with the next report, with
// no message for any of these cases. Two owners of one backend server, as
// during a cut, each subtract what the engine's own load report shows beyond
// what they know.
//
// # Limits
//
// The order rests on a ledger that is up to a second old, and on reports that
// are paced by a budget of bytes. An account can get ahead meanwhile by what
// all owners can grant in that time; see docs/DESIGN.md for the bound.
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

// Core is one router's decisions.
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

	// Where decisions are made by prompt.
	promptKeys map[RequestID]model.Key
	loads      loadExchange
	overdue    overdue
	coldLimits cold.Limits
	hallHomes  bool

	// As ingress router.
	requests  map[RequestID]*request
	queues    map[model.Key]*queue
	waiting   []model.Key // of the queues in which a request waits, in order
	deadlines deadlines
	running   map[model.BackendID]int
	refused   map[model.BackendID]*refusal
	owners    map[string]*ownerLink
	asks      map[model.PoolID]*ask
	estimates map[kind]*estimate.Lengths
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
	notices    *notice.Book

	placement placement
	watched   []model.BackendID // as in the last Watch
	watch     watch
}

// New returns the core of a router that has just started. The seed drives all
// of its random choices.
func New(now model.Time, self member.Member, seed uint64) *Core {
	random := rand.New(rand.NewPCG(seed, self.Boot))
	c := &Core{
		placement:  placement{stale: true},
		now:        now,
		config:     &Config{},
		random:     random,
		members:    member.New(self, random),
		outbox:     map[string]*wire.Datagram{},
		loads:      newLoadExchange(DefaultLoadsBytes),
		overdue:    newOverdue(),
		coldLimits: cold.Limits{Overshoot: 1},
		promptKeys: map[RequestID]model.Key{},
		requests:   map[RequestID]*request{},
		queues:     map[model.Key]*queue{},
		running:    map[model.BackendID]int{},
		refused:    map[model.BackendID]*refusal{},
		owners:     map[string]*ownerLink{},
		asks:       map[model.PoolID]*ask{},
		estimates:  map[kind]*estimate.Lengths{},
		budget:     bucket{rate: reportBytesPerSecond, size: reportBytesPerSecond, level: reportBytesPerSecond},
		backends:   map[model.BackendID]*backend{},
		sources:    map[string]*source{},
		demands:    map[model.Key]*demand{},
		poolOrder:  map[model.PoolID][]model.BackendID{},
		dirty:      map[model.PoolID]bool{},
		lastGrant:  map[model.Key]uint64{},
		watch:      watch{reached: now},
	}
	c.notices = notice.New()
	c.prompt = prompt.New(now, random)
	c.prompt.Heed(c.notices)
	c.retries = retry.New(retry.Limits{})
	c.suspicions = newSuspicions(self.Boot)
	c.ledger = ledger.New(self.Name, now, random.Uint64, c.lookAheadOf)
	return c
}

// LimitRetries sets the fleet's retry budget, which is unlimited until then.
func (c *Core) LimitRetries(limits retry.Limits) { c.retries = retry.New(limits) }

// LimitCold sets how far above its rate a backend server may be sent to that is slow from
// its start; without, its rate is the limit.
func (c *Core) LimitCold(limits cold.Limits) { c.coldLimits = limits }

// HomesInHalls lets prompts that share parts have a home in each data hall, and not one in the
// fleet; it must be said before a configuration is in force.
func (c *Core) HomesInHalls() { c.hallHomes = true }

// LimitLoads sets how many bytes a second this router tells each of those that it tells: of
// what it has on the backend servers, and of what it passes on as a relay.
func (c *Core) LimitLoads(bytesPerSecond float64) {
	c.loads = newLoadExchange(bytesPerSecond)
	c.loads.presence.wanted = c.byPrompt()
}

// Step takes one event at a time that never goes back, and returns what is to
// be done for it, in order.
func (c *Core) Step(now model.Time, e Event) []Action {
	c.now = max(c.now, now)
	c.actions = nil
	c.handle(e)
	c.refreshPlacement()
	c.followWatch()
	c.expire()
	c.probe()
	c.grantAll()
	c.decideByPrompt()
	c.exchangeLedger()
	c.flushReports()
	c.followSuspicions()
	c.askUnheard()
	c.flushLoads()
	c.followOverdue()
	c.flushOutbox()
	return c.actions
}

// Late tells that this router comes late to what is due, so that it can't tell others' silence from its own.
func (c *Core) Late(now model.Time) { c.members.Late(max(c.now, now)) }

func (c *Core) handle(e Event) {
	switch e := e.(type) {
	case Tick:
	case Configure:
		c.configure(e.Config)
	case Arrive:
		if !c.holdBack(e) {
			c.arrived(e)
		}
	case TryAnswered:
		c.tryAnswered(e)
	case TurnedAway:
		if c.byPrompt() {
			c.turnedAway(e)
		}
	case Began:
		c.prompt.Began(c.now, e.ID)
	case Progress:
		c.progress(e)
	case Finish:
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
		c.load(e)
	case Leaving:
		c.leaving(e.Backends)
	case Noticed:
		c.noticed(e)
	case ServerEnded:
		c.serverEnded(e)
	case Answered:
		c.answered(e)
	case HeldInStore:
		c.restoreSuspicions(e.Suspicions)
	case StoreContacted:
		c.contacted(e)
	case Drain:
		c.drain()
	}
}

// arrived takes a request that isn't held back.
func (c *Core) arrived(e Arrive) {
	if c.byPrompt() {
		c.arriveByPrompt(e)
		return
	}
	c.arrive(e)
}

// Wake returns when the next Tick is due.
func (c *Core) Wake() model.Time {
	wake := min(c.prompt.Wake(), c.nextLoads(), c.members.Wake(), c.ledger.Wake(c.now), c.nextReport(), c.nextDeadline(), c.nextReady(), c.nextWatch(), c.suspicions.book.NextTell())
	return max(wake, c.now+minWake)
}

// minWake is the shortest time between two ticks.
const minWake = time.Millisecond

func (c *Core) do(a Action) {
	c.actions = append(c.actions, a)
}

func (c *Core) drain() {
	c.draining = true
	c.members.Leave()
}

// Idle tells whether no request waits or runs at this router.
func (c *Core) Idle() bool { return len(c.requests)+len(c.suspicions.asking) == 0 && c.prompt.Idle() }

func (c *Core) probe() {
	for _, s := range c.members.Tick(c.now) {
		c.sendProbe(s)
	}
	c.noteMemberChanges()
}

func (c *Core) noteMemberChanges() {
	for _, change := range c.members.Changes() {
		c.memberChanged(change)
	}
}

func (c *Core) sendProbe(s member.Send) {
	d := c.to(s.To)
	d.Probe = s.Probe
	d.Rumours = c.members.Rumours(s.To)
}

func (c *Core) memberChanged(change member.Change) {
	c.loads.planned = false
	if change.Restarted || change.Status == wire.Status_STATUS_DEAD {
		c.forgetSource(change.Name)
		c.forgetLoads(change)
		delete(c.overdue.alive, change.Name)
		delete(c.owners, change.Name)
	}
	c.do(MemberChanged{Change: change})
}

func (c *Core) exchangeLedger() {
	for _, s := range c.ledger.Tick(c.now) {
		c.sendLedger(s)
	}
}

func (c *Core) sendLedger(s ledger.Send) {
	d := c.to(s.To)
	if s.Up != nil {
		d.Up = s.Up
	}
	if s.Down != nil {
		d.Down = s.Down
	}
}

// configure puts a configuration in force; a lower generation, an older catalog of backend
// servers or older evacuations never replace newer ones.
func (c *Core) configure(config *Config) {
	older := c.config.Versions().Exceed(config.Versions())
	same := config.Versions() == c.config.Versions() && config.Edition == c.config.Edition
	if older || same {
		return
	}
	c.config = config
	c.placement.stale = true
	c.configurePrompt()
	c.refuseWithdrawn()
	c.announce()
}

// announceTo is how many routers are told at once of a new configuration; with
// each of them telling as many, the fleet knows within a few exchanges.
const announceTo = 4

// announce tells some routers, chosen by chance, that a configuration is in
// force here: every datagram carries its generation.
func (c *Core) announce() {
	names := c.members.Names()
	told := 0
	for _, i := range c.random.Perm(len(names)) {
		if told == announceTo {
			return
		}
		if c.members.Get(names[i]).Reachable() {
			c.to(names[i])
			told++
		}
	}
}
