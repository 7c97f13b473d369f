package core

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/policy"
	"github.com/tamarindstep/tamarindstep/policy/fleetfair"
	"github.com/tamarindstep/tamarindstep/policy/leastloaded"
	"github.com/tamarindstep/tamarindstep/policy/staticsplit"
)

// The benchmarks run the core in virtual time, all with the same seeded traffic, and print a table. Run them with
// make bench.

// benchSeeds are the seeds of the traffic; every result is the mean or the worst over them.
var benchSeeds = []uint64{1, 2, 3}

const (
	benchLength = 600 * time.Second
	benchDepth  = 60
	warmUp      = 10 * time.Second
)

// system is a configuration whose decisions are measured.
type system struct {
	name   string
	policy *policy.Policy
	halls  []string
}

func settledAtEnd() *policy.Policy {
	p := *fleetfair.Policy
	p.Name = "settled at the end"
	p.ChargeExpected = true
	return &p
}

func wholeRest() *policy.Policy {
	p := *fleetfair.Policy
	p.Name = "whole rest"
	p.LookAhead = math.Inf(1)
	return &p
}

var systems = []system{
	{"central", fleetfair.Policy, nineRouterHalls[:1]},
	{"central, whole rest", wholeRest(), nineRouterHalls[:1]},
	{"central, settled at the end", settledAtEnd(), nineRouterHalls[:1]},
	{"fleet-fair", fleetfair.Policy, nineRouterHalls},
	{"static-split", staticsplit.Policy, nineRouterHalls},
	{"least-loaded", leastloaded.Policy, nineRouterHalls},
}

// figures are the results of one run.
type figures struct {
	gap, mean, during, after float64 // tokens
	busy                     float64 // fraction of the slots in use while requests wait
	bytes                    float64 // a second, of the busiest router
	step                     time.Duration
	perRequest               time.Duration
}

// measure runs a fleet with every account backlogged. A fault, if any, begins at 120 s and is over by 240 s.
func measure(s system, seed uint64, length time.Duration, fault func(*fleet)) figures {
	f := newFleet(seed, nineRouterConfig(s.policy), s.halls)
	backlog(f, seed, benchDepth)
	if fault != nil {
		f.after(120*time.Second, func() { fault(f) })
	}
	var out figures
	began := time.Now()
	f.runUntil(warmUp)
	m := newGapMeter(f)
	used, could := 0, 0
	for f.time.Now() < length {
		f.runUntil(f.time.Now() + 500*time.Millisecond)
		gap := m.sample()
		switch {
		case f.time.Now() > 120*time.Second && f.time.Now() <= 240*time.Second:
			out.during = max(out.during, gap)
		case f.time.Now() > 300*time.Second:
			out.after = max(out.after, gap)
		}
		for id, e := range f.engines {
			if !e.leaving {
				used += min(e.running, f.config.Backends[id].Slots)
				could += f.config.Backends[id].Slots
			}
		}
	}
	spent := time.Since(began)
	out.gap, out.mean = m.worst, m.mean()
	out.busy = float64(used) / float64(could)
	for _, n := range f.routers {
		out.bytes = max(out.bytes, float64(n.bytes)/f.time.Now().Seconds())
	}
	out.step = spent / time.Duration(f.steps)
	out.perRequest = spent / time.Duration(f.nextID)
	return out
}

// overSeeds runs a measurement for each seed and returns the results.
func overSeeds(run func(seed uint64) figures) (all []figures) {
	for _, seed := range benchSeeds {
		all = append(all, run(seed))
	}
	return all
}

func column(all []figures, of func(figures) float64) (mean, worst float64) {
	for _, f := range all {
		mean += of(f) / float64(len(all))
		worst = max(worst, of(f))
	}
	return mean, worst
}

func BenchmarkSharing(b *testing.B) {
	for range b.N {
		fmt.Printf("%-30s %10s %10s %8s %8s %9s %9s %9s\n",
			"system, 600 s", "gap mean", "gap worst", "busy", "B/s max", "ns/step", "us/req", "")
		for _, s := range systems {
			all := overSeeds(func(seed uint64) figures { return measure(s, seed, benchLength, nil) })
			mean, worst := column(all, func(f figures) float64 { return f.gap })
			busy, _ := column(all, func(f figures) float64 { return f.busy })
			_, bytes := column(all, func(f figures) float64 { return f.bytes })
			step, _ := column(all, func(f figures) float64 { return float64(f.step) })
			req, _ := column(all, func(f figures) float64 { return float64(f.perRequest) / 1e3 })
			fmt.Printf("%-30s %10.0f %10.0f %8.4f %8.0f %9.0f %9.0f\n", s.name, mean, worst, busy, bytes, step, req)
		}
	}
}

// faults are the faults measured in a fleet of nine routers.
var faults = []struct {
	name string
	do   func(*fleet)
}{
	{"none (the store out all the time)", nil},
	{"a router killed, back after 30 s", func(f *fleet) {
		n := f.routers[1]
		f.kill(n)
		f.after(30*time.Second, func() { f.start(n) })
	}},
	{"the fleet cut in two for 30 s", func(f *fleet) {
		f.cut = func(a, b *testRouter) bool { return (a.hall == "a") != (b.hall == "a") }
		f.after(30*time.Second, func() { f.cut = nil })
	}},
	{"all routers restarted one by one", func(f *fleet) {
		for i, n := range f.routers {
			f.after(time.Duration(i)*10*time.Second, func() { f.kill(n) })
			f.after(time.Duration(i)*10*time.Second+5*time.Second, func() { f.start(n) })
		}
	}},
	{"a backend server leaves", func(f *fleet) {
		id := sortedKeys(f.engines)[0]
		f.engines[id].leaving = true
	}},
}

// keepBacklogged replaces the requests that were lost with killed routers.
func keepBacklogged(f *fleet, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 99))
	var refill func()
	refill = func() {
		for _, name := range accountNames(10) {
			l := &closedLoad{fleet: f, random: random, account: model.Account(name), batch: 1, mean: 300, spread: 1}
			for r := range f.routers {
				l.routers = append(l.routers, r)
			}
			for f.waiting(l.account) < benchDepth/2 {
				l.submit()
			}
		}
		f.after(time.Second, refill)
	}
	refill()
}

// measureFault measures a fleet-fair fleet under a fault.
func measureFault(seed uint64, fault func(*fleet)) figures {
	return measure(systems[3], seed, benchLength, func(f *fleet) {
		keepBacklogged(f, seed)
		if fault != nil {
			fault(f)
		}
	})
}

func BenchmarkFaults(b *testing.B) {
	for range b.N {
		fmt.Printf("%-36s %12s %12s %12s %8s\n", "fleet-fair, 600 s", "gap worst", "during", "after 300 s", "busy")
		for _, fault := range faults {
			all := overSeeds(func(seed uint64) figures { return measureFault(seed, fault.do) })
			_, gap := column(all, func(f figures) float64 { return f.gap })
			_, during := column(all, func(f figures) float64 { return f.during })
			_, after := column(all, func(f figures) float64 { return f.after })
			busy, _ := column(all, func(f figures) float64 { return f.busy })
			fmt.Printf("%-36s %12.0f %12.0f %12.0f %8.4f\n", fault.name, gap, during, after, busy)
		}
	}
}

// openLoad is an open-loop load: an account sends requests at a rate that doesn't depend on their outcome.
func openLoad(f *fleet, seed uint64, account int, perSecond float64, waits *[]time.Duration) {
	random := rand.New(rand.NewPCG(seed, uint64(account)+500))
	l := &closedLoad{
		fleet: f, random: random, account: model.Account(accountNames(10)[account]),
		mean: 100, spread: 0.7,
	}
	for r := range f.routers {
		if account < 3 || r == account%len(f.routers) || r == (account*4)%len(f.routers) {
			l.routers = append(l.routers, r)
		}
	}
	var next func()
	next = func() {
		l.submit()
		f.after(time.Duration(random.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	next()
	before := f.dispatched
	f.dispatched = func(j *job) {
		if before != nil {
			before(j)
		}
		if waits != nil && j.account == l.account && f.time.Now() > warmUp {
			*waits = append(*waits, j.waited)
		}
	}
}

func percentile(waits []time.Duration, p float64) time.Duration {
	if len(waits) == 0 {
		return 0
	}
	slices.Sort(waits)
	return waits[int(p*float64(len(waits)-1))]
}

// equalRate is a tenth of the capacity of 72 slots at 50 tokens a second, in requests of 100 tokens a second.
const equalRate = 3.6

// floodWaits returns the waiting times of the interactive requests of nine accounts, with or without a tenth account
// that sends 50 times equalRate.
func floodWaits(s system, flood bool) (waits []time.Duration) {
	for _, seed := range benchSeeds {
		config := nineRouterConfig(s.policy)
		for id, a := range config.Accounts {
			a.Limits.Queue = 50
			config.Accounts[id] = a
		}
		f := newFleet(seed, config, s.halls)
		for account := 1; account < 10; account++ {
			openLoad(f, seed, account, equalRate*0.6, &waits)
		}
		if flood {
			openLoad(f, seed, 0, equalRate*50, nil)
		}
		f.runUntil(300 * time.Second)
	}
	return waits
}

func BenchmarkFlood(b *testing.B) {
	for range b.N {
		fmt.Printf("%-16s %-8s %12s %12s %10s\n", "system, 300 s", "flood", "median ms", "99 of 100 ms", "requests")
		for _, s := range []system{systems[0], systems[3], systems[4], systems[5]} {
			for _, flood := range []bool{false, true} {
				waits := floodWaits(s, flood)
				fmt.Printf("%-16s %-8v %12.1f %12.1f %10d\n", s.name, flood,
					percentile(waits, 0.5).Seconds()*1e3, percentile(waits, 0.99).Seconds()*1e3, len(waits))
			}
		}
	}
}

// fleetSize is a size of a fleet whose cost is measured.
type fleetSize struct {
	routers, accounts, backlogged, backends int
	rate                                    float64 // requests a second and router
}

// config returns the configuration and the routers' data halls for a size.
func (s fleetSize) config() (*Config, []string) {
	config := nineRouterConfig(fleetfair.Policy)
	clear(config.Backends)
	clear(config.Accounts)
	var halls []string
	for i := range s.routers {
		halls = append(halls, fmt.Sprint("hall-", i%max(s.routers/40, 1)))
	}
	for i := range s.backends * s.routers {
		name := fmt.Sprintf("runner-%d", i)
		config.Backends[model.Backend(name)] = Backend{Name: name, Pool: model.Pool(assistant), DataHall: halls[i%len(halls)], Slots: 8}
	}
	for _, name := range accountNames(s.accounts) {
		config.Accounts[model.Account(name)] = Account{Name: name, Weight: 1}
	}
	return config, halls
}

// load submits a backlog of requests that don't end, and lets short ones arrive.
func (s fleetSize) load(f *fleet) {
	random := rand.New(rand.NewPCG(1, 1))
	names := accountNames(s.accounts)
	submit := func(n *testRouter, class model.Class, output float64) {
		account := model.Account(names[random.IntN(s.backlogged)])
		f.submit(n, account, model.Pool(assistant), class, 50, output, time.Hour)
	}
	for _, n := range f.routers {
		for range 4 * s.backends {
			submit(n, model.Batch, 1e7)
		}
	}
	f.runUntil(3 * time.Second)
	if s.rate == 0 {
		return
	}
	var arrive func()
	arrive = func() {
		submit(f.routers[random.IntN(len(f.routers))], model.Interactive, 20)
		f.after(time.Duration(random.ExpFloat64()/s.rate/float64(s.routers)*1e9), arrive)
	}
	arrive()
}

// sent returns the number of bytes sent by the routers: in total, the most by one router, and by part of the datagram.
func (f *fleet) sent() (all, most int64, parts map[string]int64) {
	parts = map[string]int64{}
	for _, n := range f.routers {
		all += n.bytes
		most = max(most, n.bytes)
		for k, v := range n.parts {
			parts[k] += v
		}
	}
	return all, most, parts
}

// run measures the cost of a router at a size.
func (s fleetSize) run() {
	const length = 5 * time.Second
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	config, halls := s.config()
	f := newFleet(1, config, halls)
	s.load(f)
	for _, n := range f.routers {
		n.bytes = 0
		clear(n.parts)
	}
	began := time.Now()
	f.runUntil(f.time.Now() + length)
	spent := time.Since(began)
	all, most, parts := f.sent()
	runtime.GC()
	runtime.ReadMemStats(&after)
	share := length.Seconds() * float64(s.routers)
	each := func(bytes int64) float64 { return float64(bytes) / share }
	fmt.Printf("%7d %8d %10d %8d %7.0f | %8.0f %8.0f %8.2f %9.3f | %7.0f %7.0f %7.0f %7.0f %7.0f\n",
		s.routers, s.accounts, s.backlogged, s.backends, s.rate,
		each(all), float64(most)/length.Seconds(),
		float64(after.HeapAlloc-before.HeapAlloc)/float64(s.routers)/1e6, spent.Seconds()/share*100,
		each(parts["report"]), each(parts["grants"]), each(parts["up"]), each(parts["down"]), each(parts["heads"]+parts["rumours"]))
	runtime.KeepAlive(f)
}

// BenchmarkSlopes measures the cost of a router by the size of the fleet. Processor time and memory include the test's
// link and load.
func BenchmarkSlopes(b *testing.B) {
	for range b.N {
		fmt.Printf("%7s %8s %10s %8s %7s | %8s %8s %8s %9s | %7s %7s %7s %7s %7s\n", "routers", "accounts", "backlogged",
			"backends", "req/s", "B/s", "B/s max", "MB", "core %", "report", "grants", "up", "down", "heads")
		sizes := []fleetSize{
			{9, 10, 10, 2, 2}, {18, 10, 10, 2, 2}, {40, 10, 10, 2, 2}, {80, 10, 10, 2, 2}, {160, 10, 10, 2, 2}, {520, 10, 10, 2, 2},
			{40, 10, 10, 1, 2}, {40, 10, 10, 4, 2}, {40, 10, 10, 8, 2}, {40, 10, 10, 15, 2},
			{40, 40, 10, 2, 2}, {40, 160, 10, 2, 2}, {40, 570, 10, 2, 2},
			{40, 570, 20, 2, 2}, {40, 570, 40, 2, 2}, {40, 570, 57, 2, 2},
			{40, 10, 10, 2, 0}, {40, 10, 10, 2, 8}, {40, 10, 10, 2, 32}, {40, 10, 10, 15, 100},
		}
		for _, s := range sizes {
			s.run()
		}
	}
}
