package core

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/policy"
	"github.com/tamarindstep/tamarindstep/policy/fleetfair"
)

// nineRouterHalls are the data halls of a fleet of nine routers.
var nineRouterHalls = []string{"a", "a", "a", "b", "b", "b", "c", "c", "c"}

const assistant = "assistant"

// nineRouterConfig returns a configuration of nine runners with eight slots each and ten accounts.
func nineRouterConfig(p *policy.Policy) *Config {
	config := &Config{
		Generation: 1,
		Policy:     p,
		Accounts:   map[model.AccountID]Account{},
		Pools:      map[model.PoolID]Pool{model.Pool(assistant): {Name: assistant, FollowLoad: true, ExpectedOutput: 300}},
		Backends:   map[model.BackendID]Backend{},
	}
	for i := range 9 {
		name := fmt.Sprintf("runner-%d", i+1)
		config.Backends[model.Backend(name)] = Backend{
			Name: name, Pool: model.Pool(assistant), DataHall: nineRouterHalls[i], Slots: 8,
		}
	}
	for _, name := range accountNames(10) {
		config.Accounts[model.Account(name)] = Account{Name: name, Weight: 1}
	}
	return config
}

func accountNames(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("account-%02d", i+1))
	}
	return out
}

// closedLoad is a closed-loop load of one account: it keeps a constant number of requests in the fleet, spread unevenly
// over the routers.
type closedLoad struct {
	fleet   *fleet
	random  *rand.Rand
	account model.AccountID
	routers []int // indices; a repeated one gets more of the load
	batch   float64
	mean    float64 // of the output, tokens
	spread  float64 // standard deviation of its logarithm
}

func (l *closedLoad) output() float64 {
	mu := math.Log(l.mean) - l.spread*l.spread/2
	return math.Ceil(min(math.Exp(mu+l.spread*l.random.NormFloat64()), 8192))
}

func (l *closedLoad) submit() {
	n := l.fleet.routers[l.routers[l.random.IntN(len(l.routers))]%len(l.fleet.routers)]
	for n.down {
		n = l.fleet.routers[l.random.IntN(len(l.fleet.routers))]
	}
	class := model.Interactive
	if l.random.Float64() < l.batch {
		class = model.Batch
	}
	input := float64(20 + l.random.IntN(200))
	l.fleet.submit(n, l.account, model.Pool(assistant), class, input, l.output(), time.Hour)
}

// backlog keeps all accounts backlogged with depth requests each.
func backlog(f *fleet, seed uint64, depth int) {
	loads := map[model.AccountID]*closedLoad{}
	for i, name := range accountNames(10) {
		l := &closedLoad{
			fleet: f, random: rand.New(rand.NewPCG(seed, uint64(i)+100)), account: model.Account(name),
			batch: 1, mean: 300, spread: 1,
		}
		// The first accounts are large and use all routers; the others use one or two.
		for r := range len(f.routers) {
			if i < 3 || r == i%len(f.routers) || r == (i*4)%len(f.routers) {
				l.routers = append(l.routers, r)
			}
		}
		loads[l.account] = l
		for range depth {
			l.submit()
		}
	}
	f.onFinish = func(j *job) { loads[j.account].submit() }
	f.onRefuse = f.onFinish
}

// gap returns the difference between the greatest and the least service since the given amounts, in tokens.
func (f *fleet) gap(since map[model.AccountID]float64) float64 {
	least, most := math.Inf(1), math.Inf(-1)
	for id := range f.config.Accounts {
		s := f.service[id] - since[id]
		least, most = min(least, s), max(most, s)
	}
	return most - least
}

func TestFleetSharesFairly(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(1, nineRouterConfig(fleetfair.Policy), nineRouterHalls)
	backlog(f, 1, 60)
	worst, bytes := 0.0, int64(0)
	busy, samples := 0, 0
	for s := 1; s <= 300; s++ {
		f.runUntil(time.Duration(s) * time.Second)
		if s > 10 {
			worst = max(worst, f.gap(nil))
			samples++
			for _, e := range f.engines {
				busy += e.running
			}
		}
	}
	for _, n := range f.routers {
		bytes = max(bytes, n.bytes)
	}
	total := 0.0
	for _, s := range f.service {
		total += s
	}
	t.Logf("gap %.0f total %.0f busy %.4f bytes/s %d steps %d", worst, total, float64(busy)/float64(samples*72), bytes/300, f.steps)
	is.True(worst < 20000)
}
