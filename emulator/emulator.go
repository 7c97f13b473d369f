// Package emulator runs the decisions of a whole fleet of routers, the real
// package core, before emulated engines and callers, under virtual time. The
// same experiment gives the same figures at every run.
//
// An engine is its batch, the reading of prompts between the tokens of others,
// and the memory of parts that gives way to newer ones. What routers tell each
// other takes the time of the link. Left out are connections, the platform's
// store, and faults other than overload: the fleet is listed from the start and
// its configuration doesn't change.
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

// Experiment is what is run.
type Experiment struct {
	Policy  *policy.Policy
	Routers int
	Engines int
	Halls   int
	Engine  Engine
	Load    Load
	// TokensPerSecond is what the engines are said to make, 0 for not said.
	TokensPerSecond float64
	// LoadsBytes is what a router is told of the others' requests in bytes a second, 0 for
	// core.DefaultLoadsBytes.
	LoadsBytes float64
	// Decides is how many requests a second the processor of a router is enough for, 0 for no
	// bound; what comes beyond that is refused by its header.
	Decides    float64
	Link       time.Duration // one way between two routers
	CallerLink time.Duration // one way between a caller and a router
	WarmUp     time.Duration // before requests count
	Length     time.Duration
	Seed       uint64
}

// Default is a fleet of the size the users have today.
func Default(p *policy.Policy) Experiment {
	return Experiment{
		Policy: p, Routers: 9, Engines: 9, Halls: 3, Engine: DefaultEngine, Load: DefaultLoad,
		TokensPerSecond: 290_000, Link: 500 * time.Microsecond, CallerLink: time.Millisecond,
		WarmUp: 5 * time.Second, Length: 30 * time.Second, Seed: 1,
	}
}

const (
	poolName = "assistant"
	// settle is how long the routers have to find each other.
	settle = 5 * time.Second
	// callerPatience is the part of its deadline for which a refused caller
	// waits at the most before it comes back.
	callerPatience = 3
)

// node is one router.
type node struct {
	name   string
	core   *core.Core
	wakeAt model.Time
	calls  map[core.RequestID]*call
	nextID core.RequestID
	spare  processor
}

// world is an experiment under way.
type world struct {
	Experiment
	time    eventqueue.Queue
	source  *source
	random  *rand.Rand
	nodes   []*node
	byName  map[string]*node
	engines map[model.BackendID]*engine
	calls   []*call
	bytes   int64
	service *service
}

// Run runs an experiment and returns its figures.
func Run(e Experiment) Result {
	random := rand.New(rand.NewPCG(e.Seed, 1))
	w := &world{
		Experiment: e, random: random, source: newSource(e.Load, random),
		byName: map[string]*node{}, engines: map[model.BackendID]*engine{},
		service: newService(e.Load),
	}
	w.build()
	w.time.Run(settle)
	for kind := range e.Load.Kinds {
		for account := range e.Load.Accounts {
			w.planNext(kind, account)
		}
	}
	w.time.Run(settle + e.WarmUp + e.Length)
	return w.result()
}

// build starts the routers and the engines.
func (w *world) build() {
	config := w.config()
	var listed []member.Listed
	for i := range w.Routers {
		listed = append(listed, member.Listed{Name: fmt.Sprintf("router-%d", i), Address: fmt.Sprintf("router-%d", i), DataHall: w.hall(i)})
	}
	for i, l := range listed {
		self := member.Member{Name: l.Name, Address: l.Address, DataHall: l.DataHall, Boot: uint64(i + 1)}
		n := &node{name: l.Name, spare: processor{rate: w.Decides}, core: core.New(0, self, w.Seed+uint64(i)), calls: map[core.RequestID]*call{}}
		if w.LoadsBytes > 0 {
			n.core.LimitLoads(w.LoadsBytes)
		}
		w.nodes = append(w.nodes, n)
		w.byName[n.name] = n
	}
	for _, n := range w.nodes {
		w.step(n, core.Configure{Config: config})
		w.step(n, core.Routers{Listed: listed})
	}
}

func (w *world) hall(i int) string { return fmt.Sprintf("hall-%d", i%max(w.Halls, 1)) }

func (w *world) config() *core.Config {
	out := &core.Config{
		Generation: 1, Policy: w.Policy, TokensPerSecond: w.TokensPerSecond,
		Accounts: map[model.AccountID]core.Account{}, Backends: map[model.BackendID]core.Backend{},
		Pools: map[model.PoolID]core.Pool{
			model.Pool(poolName): {Name: poolName, FollowLoad: true, MemoryTokens: w.Engine.Memory},
		},
	}
	for i := range w.Load.Accounts {
		out.Accounts[model.Account(accountName(i))] = core.Account{Name: accountName(i), Weight: 1}
	}
	for i := range w.Engines {
		name := fmt.Sprintf("engine-%d", i)
		out.Backends[model.Backend(name)] = core.Backend{
			Name: name, Pool: model.Pool(poolName), DataHall: w.hall(i), Slots: w.Engine.Slots,
		}
		w.engines[model.Backend(name)] = newEngine(w.Engine, &w.time)
	}
	return out
}

func accountName(i int) string { return fmt.Sprintf("account-%d", i) }

// step gives a router an event and carries out what it decides.
func (w *world) step(n *node, e core.Event) {
	for _, a := range n.core.Step(w.time.Now(), e) {
		w.act(n, a)
	}
	w.planWake(n)
}

func (w *world) planWake(n *node) {
	wake := n.core.Wake()
	if n.wakeAt > w.time.Now() && n.wakeAt <= wake {
		return
	}
	n.wakeAt = wake
	w.time.At(wake, func() {
		if n.wakeAt == wake {
			w.step(n, core.Tick{})
		}
	})
}

func (w *world) act(n *node, a core.Action) {
	switch a := a.(type) {
	case core.Send:
		w.send(a)
	case core.Dispatch:
		w.dispatch(n, a)
	case core.Refuse:
		w.refused(n, a)
	}
}

func (w *world) send(a core.Send) {
	to := w.byName[a.To]
	d := proto.Clone(a.Datagram).(*wire.Datagram)
	w.bytes += int64(proto.Size(d))
	w.time.At(w.time.Now()+w.Link, func() { w.step(to, core.Receive{Datagram: d}) })
}
