// Package scheduler runs the decision core with real time, real datagrams
// and real requests. It makes no decisions itself.
package scheduler

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/core/cold"
	"github.com/tamarindstep/tamarindstep/core/member"
	"github.com/tamarindstep/tamarindstep/core/prompt"
	"github.com/tamarindstep/tamarindstep/core/retry"
	"github.com/tamarindstep/tamarindstep/core/streams"
	"github.com/tamarindstep/tamarindstep/internal/clock"
	"github.com/tamarindstep/tamarindstep/kernel"
	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/peer"
	"github.com/tamarindstep/tamarindstep/telemetry"
	"github.com/tamarindstep/tamarindstep/wire"
)

// ServiceName is the name that the service is registered under.
const ServiceName = "scheduler"

// queueSize is the number of events that may be queued for the core.
const queueSize = 4096

// Decision is the core's decision on a request: either a backend server or a
// refusal.
type Decision struct {
	Dispatched bool
	Backend    model.BackendID
	Waited     time.Duration
	Refusal    core.Refusal
	RetryAfter time.Duration
	// ValidFor is how long the reason for a refusal is expected to apply to other requests of the account and route.
	ValidFor time.Duration

	Basis prompt.Basis // reason for the decision, if the policy decides by prompt
	// Lookup is what was learned of a stream that can't be resumed as nobody knows its lineage.
	Lookup core.StreamLookup
	// CopyFrom is the backend server to copy parts of the prompt from, 0 for none.
	CopyFrom model.BackendID
	Copied   int // tokens
	// Lineage is that of the backend server. LineageFrom is where the lineage of a resumed stream is from, "" if none is
	// resumed, and LineageAge the age of that record or how long other routers took to answer.
	Lineage     model.Lineage
	LineageFrom streams.Source
	LineageAge  time.Duration
}

// queuedEvent is an event for the core, and when it was queued.
type queuedEvent struct {
	event    core.Event
	queuedAt model.Time
}

// Service runs the core.
type Service struct {
	self    member.Member
	log     zerolog.Logger
	metrics *telemetry.Metrics
	events  chan queuedEvent
	// configurations is handled before events.
	configurations *configurationSlot
	reads          chan func(*core.Core)
	clock          *clock.Clock
	epoch          time.Duration // clock reading at time 0 of the core
	peers          *peer.Service

	mu           sync.Mutex
	nextID       core.RequestID
	waiters      map[core.RequestID]chan Decision
	tryRequested map[core.RequestID]model.Time // when a try was requested
	resumed      map[core.RequestID]core.StreamBound
	observers    []Observer

	unread unreadBatch

	storeContact      atomic.Pointer[core.StoreContact] // nil before the first step
	suspectedAccounts atomic.Pointer[map[model.AccountID]bool]

	retries     retry.Limits
	cold        cold.Limits
	loadsBytes  float64
	homePerHall bool
	lag         lag
	delays      delayLog

	ctx     context.Context
	cancel  context.CancelFunc
	running bool
	done    chan struct{}
}

// LimitRetries sets the fleet's retry budget. It must be called before Start.
func (s *Service) LimitRetries(limits retry.Limits) { s.retries = limits }

// LimitCold sets how far above its rate a backend server that is still slow after its start
// may be loaded. It must be called before Start.
func (s *Service) LimitCold(limits cold.Limits) { s.cold = limits }

// SetHomePerHall gives prompts that share parts a home in each data hall, instead of one in the
// fleet. It must be called before Start.
func (s *Service) SetHomePerHall() { s.homePerHall = true }

// LimitLoads sets the bandwidth, in bytes per second, of the load reports sent to each router.
// It must be called before Start.
func (s *Service) LimitLoads(bytesPerSecond float64) { s.loadsBytes = bytesPerSecond }

// New returns the scheduler of the router self.
func New(self member.Member, log zerolog.Logger, metrics *telemetry.Metrics) *Service {
	return &Service{
		self:           self,
		log:            log,
		metrics:        metrics,
		events:         make(chan queuedEvent, queueSize),
		configurations: newConfigurationSlot(),
		reads:          make(chan func(*core.Core)),
		clock:          clock.System,
		epoch:          clock.System.Now(),
		waiters:        map[core.RequestID]chan Decision{},
		tryRequested:   map[core.RequestID]model.Time{},
		resumed:        map[core.RequestID]core.StreamBound{},
		delays:         delayLog{log: log},
		done:           make(chan struct{}),

		loadsBytes: core.DefaultLoadsBytes,
		cold:       cold.Limits{Overshoot: 1},
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Dependencies implements kernel.Service.
func (s *Service) Dependencies() []string { return []string{peer.ServiceName} }

// Start implements kernel.Service.
func (s *Service) Start(ctx context.Context, k *kernel.Kernel) error {
	peers, err := kernel.Lookup[*peer.Service](k, peer.ServiceName)
	if err != nil {
		return err
	}
	s.peers = peers
	s.ctx, s.cancel = context.WithCancel(context.WithoutCancel(ctx))
	peers.OnDatagram(func(d *wire.Datagram) { s.Enqueue(core.Receive{Datagram: d}) })
	return nil
}

// AfterStart implements kernel.AfterStarter. The core takes its first step once all observers are registered: it sends
// the actions of that step, such as the request to watch the store, only once. With the step in Start, a router on a
// busy VM sometimes didn't watch the store, and didn't apply an evacuation for a minute or longer.
func (s *Service) AfterStart() {
	s.running = true
	go s.run(s.ctx)
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.peers.OnDatagram(nil)
	s.cancel()
	if !s.running {
		close(s.done)
	}
	<-s.done
	return nil
}

var _ kernel.AfterStarter = (*Service)(nil)

// Enqueue queues an event for the core. It blocks while the queue is full.
func (s *Service) Enqueue(e core.Event) {
	select {
	case s.events <- queuedEvent{e, s.now()}:
	case <-s.done:
	}
}

// Overloaded reports whether this process is overloaded: many events are queued, or its
// mean lag is large.
func (s *Service) Overloaded() bool {
	return len(s.events) > behindQueue || s.lag.behind()
}

// MeanLag returns the mean delay with which this process handles timers and events.
func (s *Service) MeanLag() time.Duration { return time.Duration(s.lag.mean.Load()) }

// behindQueue is the number of queued events above which the process counts as behind.
const behindQueue = 200

// SinceStoreReached returns the time since a router that watches the store last reached it, according to the reports
// received. Later writes of the operators may not have been received.
func (s *Service) SinceStoreReached() time.Duration {
	if contact := s.storeContact.Load(); contact != nil {
		return contact.Age(s.now())
	}
	return s.now()
}

// SinceStoreOutage returns the time since the end of the last outage of the store, 0 during one, according to the reports
// received. The result is false if there was none.
func (s *Service) SinceStoreOutage() (time.Duration, bool) {
	if contact := s.storeContact.Load(); contact != nil {
		return contact.SinceOutage(s.now())
	}
	return 0, false
}

// recordStoreContact makes the core's contact with the store readable for other goroutines.
func (s *Service) recordStoreContact(contact core.StoreContact) {
	if before := s.storeContact.Load(); before == nil || *before != contact {
		s.storeContact.Store(&contact)
	}
}

// Inspect calls a function with the core, between two events, and waits for its return. The
// function must only read.
func (s *Service) Inspect(read func(*core.Core)) {
	done := make(chan struct{})
	select {
	case s.reads <- func(c *core.Core) { read(c); close(done) }:
		<-done
	case <-s.done:
	}
}

// now returns the time since New, including times at which the VM was suspended.
func (s *Service) now() model.Time { return s.clock.Since(s.epoch) }

// checkSuspension checks whether the VM was suspended, and notifies the observers. The core's time includes
// the suspension already; the other services adjust their own.
func (s *Service) checkSuspension() {
	slept := s.clock.Refresh()
	if slept == 0 {
		return
	}
	s.log.Warn().Dur("slept_ms", slept).Msg("the machine was suspended")
	s.eachObserver(func(o Observer) {
		if o.Suspended != nil {
			o.Suspended(slept)
		}
	})
}

func (s *Service) run(ctx context.Context) {
	defer close(s.done)
	c := core.New(s.now(), s.self, rand.Uint64())
	c.LimitRetries(s.retries)
	c.LimitLoads(s.loadsBytes)
	c.LimitCold(s.cold)
	if s.homePerHall {
		c.AssignHomesPerDataHall()
	}
	if s.hasTryObserver() {
		c.RequireTryGrants()
	}
	if s.hasRegistryObserver() {
		c.UseRegistry()
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	due := s.now()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-s.events:
			s.checkSuspension()
			s.recordPause(c, due)
			s.handleEvent(c, e)
		case <-s.configurations.filled:
			s.checkSuspension()
			s.recordPause(c, due)
			s.configure(c)
		case read := <-s.reads:
			read(c)
		case <-timer.C:
			s.checkSuspension()
			s.recordPause(c, due)
			s.recordLag(c, s.now()-due)
			s.step(c, core.Tick{})
		}
		due = max(c.Wake(), s.now())
		timer.Reset(due - s.now())
	}
}

// handleEvent handles an event from the queue, after the configuration in the slot.
func (s *Service) handleEvent(c *core.Core, e queuedEvent) {
	s.configure(c)
	s.handle(c, e)
}

// configure hands the core the configuration in the slot, if there is one.
func (s *Service) configure(c *core.Core) {
	if e, ok := s.configurations.take(); ok {
		s.handle(c, e)
	}
}

// handle records how long an event has waited, and hands it to the core.
func (s *Service) handle(c *core.Core, e queuedEvent) {
	s.recordLag(c, s.now()-e.queuedAt)
	s.metrics.Scheduler.EventWait.Observe((s.now() - e.queuedAt).Seconds())
	s.delays.recordWait(s.now(), e.queuedAt, e.event, len(s.events))
	s.step(c, e.event)
}

// pauseThreshold is how late a step must be to count as a pause of the process: less than the time by which other routers
// may know of new backend servers earlier (streams.SettlePeriod less streams.MaxListAge).
const pauseThreshold = 500 * time.Millisecond

// recordPause reports to the core if the process was paused: the step that was due at the given time comes late, whatever
// event is handled first.
func (s *Service) recordPause(c *core.Core, due model.Time) {
	if now := s.now(); now-due > pauseThreshold {
		c.RecordPause(now)
	}
}

// recordLag records the delay of a timer or event, and reports to the core if the process is late.
func (s *Service) recordLag(c *core.Core, late time.Duration) {
	s.lag.record(late)
	if late > lateThreshold || s.lag.behind() {
		c.RecordDelay(s.now())
	}
}

func (s *Service) step(c *core.Core, e core.Event) {
	start := time.Now()
	began := s.now()
	defer func() {
		s.delays.recordStep(began, s.now())
		s.metrics.Scheduler.Step.Observe(time.Since(start).Seconds())
	}()
	actions := c.Step(s.now(), e)
	s.metrics.Scheduler.StepTime.Add(time.Since(start).Seconds())
	s.metrics.Scheduler.Steps.Inc()
	s.recordStoreContact(c.StoreContact())
	for _, a := range actions {
		if _, changed := a.(core.MemberChanged); changed {
			s.metrics.Scheduler.Members.Set(float64(c.Live()))
		}
		s.act(a)
	}
}

func (s *Service) act(a core.Action) {
	switch a := a.(type) {
	case core.Dispatch:
		s.deliver(a.ID, Decision{
			Dispatched: true, Backend: a.Backend, Waited: a.Waited,
			Basis:    a.Basis,
			CopyFrom: a.CopyFrom, Copied: a.Copied, Lineage: a.Lineage,
		})
	case core.StreamBound:
		s.recordResumed(a)
	case core.Refuse:
		s.countUnresumed(a.Reason)
		s.deliver(a.ID, Decision{Refusal: a.Reason, RetryAfter: a.RetryAfter, Waited: a.Waited, Basis: a.Basis, ValidFor: a.ValidFor, Lookup: a.Lookup})
	case core.Send:
		s.send(a)
	case core.Watch:
		s.metrics.Scheduler.OwnedBackends.Set(float64(len(a.Backends)))
		s.eachObserver(func(o Observer) {
			if o.PollLoads != nil {
				o.PollLoads(a.Backends)
			}
		})
	case core.WatchStore:
		s.log.Info().Bool("watch", a.Watch).Bool("chosen", a.Chosen).Dur("unreached_ms", a.Unreached).Msg("watching the store changed")
		s.eachObserver(func(o Observer) {
			if o.WatchStore != nil {
				o.WatchStore(a.Watch)
			}
		})
	case core.StoreReturned:
		s.log.Info().Dur("silent_ms", a.Silent).Msg("the store answers again")
		s.notify(func(o Observer) func() { return o.StoreRecovered })
	case core.ContactStore:
		s.notify(func(o Observer) func() { return o.ContactStore })
	case core.NewerVersionSeen:
		s.eachObserver(func(o Observer) {
			if o.NewerVersion != nil {
				o.NewerVersion(a)
			}
		})
	case core.SuspectedAccounts:
		s.setSuspected(a.Accounts)
	case core.HeldChanged:
		s.reportHeld(a)
	case core.RequestTry:
		s.requestTry(a)
	case core.SyncRegistry:
		s.syncRegistry(a)
	case core.StoreStreams:
		s.storeStreams(a)
	case core.Tried:
		s.log.Info().Stringer("fingerprint", a.Fingerprint).Int("ends", a.Ends).Msg("held-back request tried")
	case core.MemberChanged:
		s.logMember(a.Change)
	case core.RelayChanged:
		s.log.Info().Str("from", a.From).Str("to", a.To).Int("unconfirmed", a.Unconfirmed).Msg("relay changed")
	case core.LoadsOverdue:
		s.logOverdue(a)
	case core.OverdueCounted:
		s.metrics.Scheduler.OverdueReports.Set(float64(a.Routers))
	}
}

// logOverdue logs that a router's load reports are overdue, or arrive again.
func (s *Service) logOverdue(a core.LoadsOverdue) {
	message := "load reports overdue"
	if a.Resumed {
		message = "load reports arrive again"
	}
	s.log.Info().Str("of", a.Router).Dur("silent_ms", a.Silence).Uint64("sequence", a.Sequence).
		Str("relay", a.Relay).Dur("relay_heard_ms", a.RelaySilence).
		Int("dropped", a.Dropped).Str("because", a.Reason).Int("overdue", a.Overdue).Msg(message)
}

// send sends a datagram, and counts its bytes if the receiver is in another data hall.
func (s *Service) send(a core.Send) {
	bytes := s.peers.Send(a.Address, a.Datagram)
	if a.OtherDataHall {
		s.metrics.Halls.Bytes.WithLabelValues(telemetry.HallControl).Add(float64(bytes))
	}
}

// logMember logs a change of a router's status. New routers aren't logged: when a fleet starts,
// each router adds all others.
func (s *Service) logMember(change member.Change) {
	if change.New {
		return
	}
	s.log.Info().Str("of", change.Name).Stringer("status", change.Status).
		Bool("restarted", change.Restarted).Msg("router changed")
}

// recordResumed keeps where the lineage of a resumed stream is from until the decision on its request.
func (s *Service) recordResumed(a core.StreamBound) {
	s.metrics.Scheduler.ResumedStreams.WithLabelValues(string(a.Source)).Inc()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiters[a.ID] != nil {
		s.resumed[a.ID] = a
	}
}

// countUnresumed counts a stream that couldn't be resumed.
func (s *Service) countUnresumed(why core.Refusal) {
	if why == core.UnknownStream || why == core.VersionRetired {
		s.metrics.Scheduler.ResumedStreams.WithLabelValues(string(why)).Inc()
	}
}

func (s *Service) deliver(id core.RequestID, d Decision) {
	s.mu.Lock()
	waiter := s.waiters[id]
	if at, requested := s.tryRequested[id]; requested {
		d.Waited = s.now() - at // for the store's answer, and then for a decision
		delete(s.tryRequested, id)
	}
	if bound, resumed := s.resumed[id]; resumed {
		d.LineageFrom, d.LineageAge = bound.Source, bound.Age
		delete(s.resumed, id)
	}
	if !d.Dispatched {
		delete(s.waiters, id)
	}
	s.mu.Unlock()
	if waiter != nil {
		waiter <- d
	}
}
