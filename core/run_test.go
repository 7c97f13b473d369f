package core

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/policy/fleetfair"
)

// smallConfig returns a configuration of three backend servers with four slots each and four client accounts, one of
// which has twice the weight.
func smallConfig() *Config {
	config := nineRouterConfig(fleetfair.Policy)
	clear(config.Backends)
	clear(config.Accounts)
	for i, hall := range []string{"a", "b", "c"} {
		name := fmt.Sprintf("runner-%d", i+1)
		config.Backends[model.Backend(name)] = Backend{Name: name, Pool: model.Pool(assistant), DataHall: hall, Slots: 4}
	}
	for i, name := range accountNames(4) {
		weight := 1.0
		if i == 0 {
			weight = 2
		}
		config.Accounts[model.Account(name)] = Account{Name: name, Weight: weight}
	}
	return config
}

// run is one random run: its routers, network, load and faults.
type run struct {
	t        *rapid.T
	fleet    *fleet
	meter    *gapMeter
	accounts []model.AccountID
	served   map[model.AccountID]model.Time // last dispatch
	ended    map[RequestID]int
	load     bool
	longest  int // maximum output of a request, in tokens
	shortest int // minimum output of a request, in tokens
}

func newRun(t *rapid.T) *run {
	routers := rapid.IntRange(2, 6).Draw(t, "routers")
	var halls []string
	for i := range routers {
		halls = append(halls, string(rune('a'+i%3)))
	}
	f := newFleet(rapid.Uint64Range(1, 1<<40).Draw(t, "seed"), smallConfig(), halls)
	f.delay = time.Duration(rapid.IntRange(100, 4000).Draw(t, "delay")) * time.Microsecond
	f.loss = float64(rapid.IntRange(0, 10).Draw(t, "loss")) / 100
	r := &run{t: t, fleet: f, served: map[model.AccountID]model.Time{}, ended: map[RequestID]int{}, load: true}
	r.shortest = 5
	r.longest = rapid.IntRange(60, 400).Draw(t, "longest")
	f.dispatched = func(j *job) { r.served[j.account] = f.time.Now() }
	r.meter = newGapMeter(f)
	for _, name := range accountNames(4) {
		r.accounts = append(r.accounts, model.Account(name))
	}
	again := func(j *job) {
		r.ended[j.id]++
		if r.load {
			r.submit(j.account)
		}
	}
	f.onFinish, f.onRefuse = again, again
	for i, id := range r.accounts {
		for range 60 + 30*i*i {
			r.submit(id)
		}
	}
	return r
}

// submit sends a request of an account to one of its routers: the first account uses all, the others one or two. The
// last account's requests are the longest, and it has by far the most of them.
func (r *run) submit(id model.AccountID) {
	n := len(r.fleet.routers)
	at := int(id) % n
	if id == r.accounts[0] {
		at = r.fleet.random.IntN(n)
	} else if r.fleet.random.IntN(3) == 0 {
		at = (at + 1) % n
	}
	for range n {
		if !r.fleet.routers[at].down {
			break
		}
		at = (at + 1) % n
	}
	class := model.Class(r.fleet.random.IntN(2))
	most := r.longest / 3
	if id == r.accounts[3] {
		most = r.longest
	}
	output := float64(r.shortest + r.fleet.random.IntN(max(most-r.shortest, 1)))
	input := float64(1 + r.fleet.random.IntN(mostInput))
	r.fleet.submit(r.fleet.routers[at], id, model.Pool(assistant), class, input, output, time.Hour)
}

// injectFaults injects random faults one after the other, and ends each of them.
func (r *run) injectFaults() {
	for i := range rapid.IntRange(1, 4).Draw(r.t, "troubles") {
		kind := rapid.SampledFrom([]string{"cut", "restart", "pause", "loss"}).Draw(r.t, fmt.Sprint("trouble", i))
		node := r.fleet.routers[rapid.IntRange(0, len(r.fleet.routers)-1).Draw(r.t, fmt.Sprint("node", i))]
		lasts := time.Duration(rapid.IntRange(100, 8000).Draw(r.t, fmt.Sprint("lasts", i))) * time.Millisecond
		r.injectFault(kind, node, lasts)
	}
}

func (r *run) injectFault(kind string, n *testRouter, lasts time.Duration) {
	f := r.fleet
	switch kind {
	case "cut":
		f.cut = func(a, b *testRouter) bool { return (a.hall == n.hall) != (b.hall == n.hall) }
		f.runUntil(f.time.Now() + lasts)
		f.cut = nil
	case "restart":
		f.kill(n)
		f.runUntil(f.time.Now() + lasts)
		f.start(n)
	case "pause":
		n.paused = true
		f.runUntil(f.time.Now() + lasts)
		f.resume(n)
	case "loss":
		was := f.loss
		f.loss = 0.5
		f.runUntil(f.time.Now() + lasts)
		f.loss = was
	}
	r.refill()
}

// refill replaces the requests that were lost with a killed router.
func (r *run) refill() {
	for _, id := range r.accounts {
		for r.fleet.waiting(id) < 10 {
			r.submit(id)
		}
	}
}

func (r *run) advance(d time.Duration) { r.fleet.runUntil(r.fleet.time.Now() + d) }

// gapBound is the bound on the gap between accounts of weight 1, in tokens, that docs/DESIGN.md derives, for the small
// configuration. The slots include those by which interactive requests may exceed a backend server's.
func (r *run) gapBound() float64 {
	const slots = smallSlots + smallRunners*max(smallSlots/smallRunners/overcommitDivisor, 1)
	loop := 1.0 // seconds until service is recorded everywhere, with losses
	capacity := slots * r.fleet.rate
	largest := float64(r.longest + mostInput)
	return slots*(largest+fleetfair.Policy.LookAhead) + 2*capacity*loop
}

func (r *run) running() int {
	sum := 0
	for _, e := range r.fleet.engines {
		sum += e.running
	}
	return sum
}

// drainAll runs until all requests have ended.
func (r *run) drainAll() {
	for range 600 {
		r.advance(time.Second)
		if len(r.fleet.jobs) == 0 {
			return
		}
	}
	r.t.Fatalf("%d requests haven't ended", len(r.fleet.jobs))
}
