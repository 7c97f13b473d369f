// Package emulator runs the real decision code of a fleet of routers (package core) with emulated engines and callers
// under virtual time. The same experiment always gives the same results.
//
// An engine is modeled by its batch, prefill interleaved with token generation, and a prefix cache with LRU eviction.
// Messages between routers are delayed by the network latency. Connections, the platform's store, and faults other
// than overload are not modeled: the list of routers is complete from the start and the configuration doesn't change.
package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/core/member"
	"github.com/tamarindstep/tamarindstep/internal/eventqueue"
	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/policy"
	"github.com/tamarindstep/tamarindstep/wire"
)

// Experiment holds the parameters of a run.
type Experiment struct {
	Policy    *policy.Policy
	Routers   int
	Engines   int
	DataHalls int
	Engine    Engine
	Load      Load
	// TokensPerSecond is the configured capacity of the engines, 0 for none.
	TokensPerSecond float64
	// LoadReportBytesPerSecond limits the load reports that a router receives from the others, 0 for
	// core.DefaultLoadsBytes.
	LoadReportBytesPerSecond float64
	// DecisionsPerSecond is the rate of requests that a router can process, 0 for no limit; requests beyond it are
	// refused by their header.
	DecisionsPerSecond float64
	RouterLatency      time.Duration // one way, between two routers
	CallerLatency      time.Duration // one way, between a caller and a router
	WarmUp             time.Duration // requests sent before its end are not counted
	Length             time.Duration
	Seed               uint64
}

// Default returns an experiment with a fleet of the size of the current deployment.
func Default(p *policy.Policy) Experiment {
	return Experiment{
		Policy: p, Routers: 9, Engines: 9, DataHalls: 3, Engine: DefaultEngine, Load: DefaultLoad,
		TokensPerSecond: 290_000, RouterLatency: 500 * time.Microsecond, CallerLatency: time.Millisecond,
		WarmUp: 5 * time.Second, Length: 30 * time.Second, Seed: 1,
	}
}

const (
	poolName = "assistant"
	// discoveryPeriod is the time given to the routers to discover each other.
	discoveryPeriod = 5 * time.Second
	// retryDelayDivisor limits the retry delay of a refused caller: it is at most the time left until the deadline
	// divided by this.
	retryDelayDivisor = 3
)

// router is one emulated router.
type router struct {
	name      string
	core      *core.Core
	wakeAt    model.Time
	calls     map[core.RequestID]*call
	nextID    core.RequestID
	processor tokenBucket
}

// simulation is a running experiment.
type simulation struct {
	Experiment
	clock         eventqueue.Queue
	generator     *generator
	random        *rand.Rand
	routers       []*router
	routersByName map[string]*router
	engines       map[model.BackendID]*engine
	calls         []*call
	sentBytes     int64
	recorder      *serviceRecorder
}

// Run runs an experiment and returns its results.
func Run(e Experiment) Result {
	random := rand.New(rand.NewPCG(e.Seed, 1))
	s := &simulation{
		Experiment: e, random: random, generator: newGenerator(e.Load, random),
		routersByName: map[string]*router{}, engines: map[model.BackendID]*engine{},
		recorder: newServiceRecorder(e.Load),
	}
	s.build()
	s.clock.Run(discoveryPeriod)
	for kind := range e.Load.Kinds {
		for account := range e.Load.Accounts {
			s.scheduleNext(kind, account)
		}
	}
	s.clock.Run(discoveryPeriod + e.WarmUp + e.Length)
	return s.result()
}

// build starts the routers and the engines.
func (s *simulation) build() {
	config := s.config()
	var listed []member.Listed
	for i := range s.Routers {
		listed = append(listed, member.Listed{Name: fmt.Sprintf("router-%d", i), Address: fmt.Sprintf("router-%d", i), DataHall: s.dataHall(i)})
	}
	for i, l := range listed {
		self := member.Member{Name: l.Name, Address: l.Address, DataHall: l.DataHall, Boot: uint64(i + 1)}
		r := &router{name: l.Name, processor: tokenBucket{rate: s.DecisionsPerSecond}, core: core.New(0, self, s.Seed+uint64(i)), calls: map[core.RequestID]*call{}}
		if s.LoadReportBytesPerSecond > 0 {
			r.core.LimitLoads(s.LoadReportBytesPerSecond)
		}
		s.routers = append(s.routers, r)
		s.routersByName[r.name] = r
	}
	for _, r := range s.routers {
		s.step(r, core.Configure{Config: config})
		s.step(r, core.Routers{Listed: listed})
	}
}

func (s *simulation) dataHall(i int) string { return fmt.Sprintf("hall-%d", i%max(s.DataHalls, 1)) }

func (s *simulation) config() *core.Config {
	out := &core.Config{
		Generation: 1, Policy: s.Policy, TokensPerSecond: s.TokensPerSecond,
		Accounts: map[model.AccountID]core.Account{}, Backends: map[model.BackendID]core.Backend{},
		Pools: map[model.PoolID]core.Pool{
			model.Pool(poolName): {Name: poolName, FollowLoad: true, MemoryTokens: s.Engine.MemoryTokens},
		},
	}
	for i := range s.Load.Accounts {
		out.Accounts[model.Account(accountName(i))] = core.Account{Name: accountName(i), Weight: 1}
	}
	for i := range s.Engines {
		name := fmt.Sprintf("engine-%d", i)
		out.Backends[model.Backend(name)] = core.Backend{
			Name: name, Pool: model.Pool(poolName), DataHall: s.dataHall(i), Slots: s.Engine.Slots,
		}
		s.engines[model.Backend(name)] = newEngine(s.Engine, &s.clock)
	}
	return out
}

func accountName(i int) string { return fmt.Sprintf("account-%d", i) }

// step passes an event to a router and executes the resulting actions.
func (s *simulation) step(r *router, e core.Event) {
	for _, a := range r.core.Step(s.clock.Now(), e) {
		s.execute(r, a)
	}
	s.scheduleWake(r)
}

func (s *simulation) scheduleWake(r *router) {
	wake := r.core.Wake()
	if r.wakeAt > s.clock.Now() && r.wakeAt <= wake {
		return
	}
	r.wakeAt = wake
	s.clock.At(wake, func() {
		if r.wakeAt == wake {
			s.step(r, core.Tick{})
		}
	})
}

func (s *simulation) execute(r *router, a core.Action) {
	switch a := a.(type) {
	case core.Send:
		s.send(a)
	case core.Dispatch:
		s.dispatch(r, a)
	case core.Refuse:
		s.handleRefusal(r, a)
	}
}

func (s *simulation) send(a core.Send) {
	to := s.routersByName[a.To]
	d := proto.Clone(a.Datagram).(*wire.Datagram)
	s.sentBytes += int64(proto.Size(d))
	s.clock.At(s.clock.Now()+s.RouterLatency, func() { s.step(to, core.Receive{Datagram: d}) })
}
