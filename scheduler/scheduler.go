// Package scheduler drives the decision core with real time, real datagrams
// and real requests. It holds no decision of its own.
package scheduler

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/tamarindstep/tamarindstep/config"
	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/core/cold"
	"github.com/tamarindstep/tamarindstep/core/member"
	"github.com/tamarindstep/tamarindstep/core/prompt"
	"github.com/tamarindstep/tamarindstep/core/retry"
	"github.com/tamarindstep/tamarindstep/internal/clock"
	"github.com/tamarindstep/tamarindstep/kernel"
	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/peer"
	"github.com/tamarindstep/tamarindstep/telemetry"
	"github.com/tamarindstep/tamarindstep/wire"
)

// ServiceName is the name that the service is found by.
const ServiceName = "scheduler"

// queueSize is how many events may wait for the core.
const queueSize = 4096

// Decision is the core's answer for a request: either a backend server or a
// refusal.
type Decision struct {
	Dispatched bool
	Backend    model.BackendID
	Waited     time.Duration
	Refusal    core.Refusal
	RetryAfter time.Duration
	// Holds is how long the reason of a refusal is expected to hold for others of the account and route.
	Holds time.Duration

	Basis prompt.Basis // what decided, where the policy decides by prompt
	// CopyFrom is the backend server to copy parts of the prompt from, 0 for none.
	CopyFrom model.BackendID
	Copied   int // tokens
}

// told is an event for the core, and when it was told.
type told struct {
	event core.Event
	at    model.Time
}

// Service drives the core.
type Service struct {
	self    member.Member
	log     zerolog.Logger
	metrics *telemetry.Metrics
	events  chan told
	ask     chan func(*core.Core)
	clock   *clock.Clock
	began   time.Duration // by the clock
	peers   *peer.Service

	mu        sync.Mutex
	nextID    core.RequestID
	waiters   map[core.RequestID]chan Decision
	asked     map[core.RequestID]model.Time // of those whose try was asked for, since when
	observers []Observer

	turnedAway turnedAway

	reached   atomic.Int64 // when the store was last reached by a router that watches it, as a model.Time
	suspected atomic.Pointer[map[model.AccountID]bool]

	retries    retry.Limits
	cold       cold.Limits
	loadsBytes float64
	hallHomes  bool
	lag        lag

	until  context.Context
	cancel context.CancelFunc
	begun  bool
	ended  chan struct{}
}

// LimitRetries sets the fleet's retry budget; it must be done before the start.
func (s *Service) LimitRetries(limits retry.Limits) { s.retries = limits }

// LimitCold sets how far above its rate a backend server may be sent to that is slow from
// its start; it must be done before the start.
func (s *Service) LimitCold(limits cold.Limits) { s.cold = limits }

// HomesInHalls lets prompts that share parts have a home in each data hall, and not one in the
// fleet; it must be said before the start.
func (s *Service) HomesInHalls() { s.hallHomes = true }

// LimitLoads sets the bytes a second that each router is told of the others' requests; it
// must be done before the start.
func (s *Service) LimitLoads(bytesPerSecond float64) { s.loadsBytes = bytesPerSecond }

// New returns the service of a router.
func New(self member.Member, log zerolog.Logger, metrics *telemetry.Metrics) *Service {
	return &Service{
		self:    self,
		log:     log,
		metrics: metrics,
		events:  make(chan told, queueSize),
		ask:     make(chan func(*core.Core)),
		clock:   clock.System,
		began:   clock.System.Now(),
		waiters: map[core.RequestID]chan Decision{},
		asked:   map[core.RequestID]model.Time{},
		ended:   make(chan struct{}),

		loadsBytes: core.DefaultLoadsBytes,
		cold:       cold.Limits{Overshoot: 1},
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Needs implements kernel.Service.
func (s *Service) Needs() []string { return []string{peer.ServiceName} }

// Start implements kernel.Service.
func (s *Service) Start(ctx context.Context, k *kernel.Kernel) error {
	peers, err := kernel.Lookup[*peer.Service](k, peer.ServiceName)
	if err != nil {
		return err
	}
	s.peers = peers
	s.until, s.cancel = context.WithCancel(context.WithoutCancel(ctx))
	peers.OnDatagram(func(d *wire.Datagram) { s.Tell(core.Receive{Datagram: d}) })
	return nil
}

// Begin implements kernel.Beginner. The core takes its first step once all that observe it are there: what it says then, as
// that this router watches the store, it says once. A router that was started beside busy processes now and then
// followed the store no more, and heard of no evacuation for a minute and longer.
func (s *Service) Begin() {
	s.begun = true
	go s.run(s.until)
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.peers.OnDatagram(nil)
	s.cancel()
	if !s.begun {
		close(s.ended)
	}
	<-s.ended
	return nil
}

var _ kernel.Beginner = (*Service)(nil)

// Tell gives the core an event.
func (s *Service) Tell(e core.Event) {
	select {
	case s.events <- told{e, s.now()}:
	case <-s.ended:
	}
}

// Behind tells whether this process can't keep up: events wait, or what is due is
// late.
func (s *Service) Behind() bool {
	return len(s.events) > behindFrom || s.lag.behind()
}

// Late returns how late this process comes to what is due, in the mean.
func (s *Service) Late() time.Duration { return time.Duration(s.lag.mean.Load()) }

// behindFrom is how many events wait when the process counts as behind.
const behindFrom = 200

// StoreUnheard returns how long ago a router that watches the store has reached it, as far as this router knows: what the
// operators have written since may not be known here.
func (s *Service) StoreUnheard() time.Duration { return s.now() - model.Time(s.reached.Load()) }

// Look runs a function on the core, between two events, and waits for it. The
// function must only read.
func (s *Service) Look(look func(*core.Core)) {
	done := make(chan struct{})
	select {
	case s.ask <- func(c *core.Core) { look(c); close(done) }:
		<-done
	case <-s.ended:
	}
}

// Configure puts a configuration in force.
func (s *Service) Configure(c *config.InForce) {
	s.Tell(core.Configure{Config: c.Core})
}

// now is the time since the service was made, in which the machine may have slept.
func (s *Service) now() model.Time { return s.clock.Since(s.began) }

// noteSleep notes that the machine was suspended. By the core's time all that it believes is older by as long
// already; the other services are told what becomes of theirs.
func (s *Service) noteSleep() {
	slept := s.clock.Look()
	if slept == 0 {
		return
	}
	s.log.Warn().Dur("slept_ms", slept).Msg("the machine was suspended")
	s.eachObserver(func(o Observer) {
		if o.Slept != nil {
			o.Slept(slept)
		}
	})
}

func (s *Service) run(ctx context.Context) {
	defer close(s.ended)
	c := core.New(s.now(), s.self, rand.Uint64())
	c.LimitRetries(s.retries)
	c.LimitLoads(s.loadsBytes)
	c.LimitCold(s.cold)
	if s.hallHomes {
		c.HomesInHalls()
	}
	if s.tryIsAsked() {
		c.AskForTries()
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	due := s.now()
	for {
		select {
		case <-ctx.Done():
			return
		case t := <-s.events:
			s.noteSleep()
			s.noteLag(c, s.now()-t.at)
			s.metrics.Share.EventWait.Observe((s.now() - t.at).Seconds())
			s.step(c, t.event)
		case look := <-s.ask:
			look(c)
		case <-timer.C:
			s.noteSleep()
			s.noteLag(c, s.now()-due)
			s.step(c, core.Tick{})
		}
		due = max(c.Wake(), s.now())
		timer.Reset(due - s.now())
	}
}

// noteLag takes how late this process came to something, and tells the core where it is late.
func (s *Service) noteLag(c *core.Core, late time.Duration) {
	s.lag.note(late)
	if late > lateFrom || s.lag.behind() {
		c.Late(s.now())
	}
}

func (s *Service) step(c *core.Core, e core.Event) {
	began := time.Now()
	defer func() { s.metrics.Share.Step.Observe(time.Since(began).Seconds()) }()
	actions := c.Step(s.now(), e)
	s.metrics.Share.StepTime.Add(time.Since(began).Seconds())
	s.metrics.Share.Steps.Inc()
	s.reached.Store(int64(c.StoreReached()))
	for _, a := range actions {
		if _, changed := a.(core.MemberChanged); changed {
			s.metrics.Share.Members.Set(float64(c.Live()))
		}
		s.act(a)
	}
}

func (s *Service) act(a core.Action) {
	switch a := a.(type) {
	case core.Dispatch:
		s.decide(a.ID, Decision{
			Dispatched: true, Backend: a.Backend, Waited: a.Waited,
			Basis:    a.Basis,
			CopyFrom: a.CopyFrom, Copied: a.Copied,
		})
	case core.Refuse:
		s.decide(a.ID, Decision{Refusal: a.Reason, RetryAfter: a.RetryAfter, Waited: a.Waited, Basis: a.Basis, Holds: a.Holds})
	case core.Send:
		s.send(a)
	case core.Watch:
		s.metrics.Share.Owned.Set(float64(len(a.Backends)))
		s.eachObserver(func(o Observer) {
			if o.Loads != nil {
				o.Loads(a.Backends)
			}
		})
	case core.WatchStore:
		s.log.Info().Bool("watch", a.Watch).Bool("chosen", a.Chosen).Dur("unreached_ms", a.Unreached).Msg("watching the store changed")
		s.eachObserver(func(o Observer) {
			if o.Store != nil {
				o.Store(a.Watch)
			}
		})
	case core.StoreReturned:
		s.log.Info().Dur("silent_ms", a.Silent).Msg("the store answers again")
		s.signal(func(o Observer) func() { return o.Returned })
	case core.ContactStore:
		s.signal(func(o Observer) func() { return o.Contact })
	case core.GenerationSeen:
		s.eachObserver(func(o Observer) {
			if o.Generation != nil {
				o.Generation(a)
			}
		})
	case core.Suspected:
		s.setSuspected(a.Accounts)
	case core.HeldChanged:
		s.noteHeld(a)
	case core.AskTry:
		s.askTry(a)
	case core.Tried:
		s.log.Info().Stringer("fingerprint", a.Fingerprint).Int("ends", a.Ends).Msg("held-back request tried")
	case core.MemberChanged:
		s.logChange(a.Change)
	case core.RelayChanged:
		s.log.Info().Str("from", a.From).Str("to", a.To).Int("unconfirmed", a.Unconfirmed).Msg("relay changed")
	case core.LoadsOverdue:
		s.logOverdue(a)
	case core.OverdueCounted:
		s.metrics.Share.Overdue.Set(float64(a.Routers))
	}
}

// logOverdue notes that a router's load reports don't arrive, or do again.
func (s *Service) logOverdue(a core.LoadsOverdue) {
	message := "load reports overdue"
	if a.Again {
		message = "load reports arrive again"
	}
	s.log.Info().Str("of", a.Router).Dur("silent_ms", a.Silent).Uint64("sequence", a.Sequence).
		Str("relay", a.Relay).Dur("relay_heard_ms", a.Relayed).
		Int("dropped", a.Dropped).Str("because", a.Because).Int("overdue", a.Overdue).Msg(message)
}

// send sends a datagram, and counts it where it leaves the data hall.
func (s *Service) send(a core.Send) {
	bytes := s.peers.Send(a.Address, a.Datagram)
	if a.Far {
		s.metrics.Halls.Bytes.WithLabelValues(telemetry.HallControl).Add(float64(bytes))
	}
}

// logChange notes a change of a router's status. Those that are new are counted only: at
// the start of a fleet each router learns of all others.
func (s *Service) logChange(change member.Change) {
	if change.New {
		return
	}
	s.log.Info().Str("of", change.Name).Stringer("status", change.Status).
		Bool("restarted", change.Restarted).Msg("router changed")
}

func (s *Service) decide(id core.RequestID, d Decision) {
	s.mu.Lock()
	waiter := s.waiters[id]
	if at, asked := s.asked[id]; asked {
		d.Waited = s.now() - at // for the store, and then for its turn
		delete(s.asked, id)
	}
	if !d.Dispatched {
		delete(s.waiters, id)
	}
	s.mu.Unlock()
	if waiter != nil {
		waiter <- d
	}
}
