package prompt

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/core/notice"
	"github.com/tamarindstep/tamarindstep/model"
)

// noticeMachine is a machine whose backend servers send notices.
type noticeMachine struct {
	*Machine
	registry *notice.Registry
	config   Config
	lastID   model.RequestID
}

func newNoticeMachine(servers int, engine bool) *noticeMachine {
	n := &noticeMachine{
		Machine: New(0, rand.New(rand.NewPCG(1, 2))), registry: notice.New(),
		config: Config{Pools: map[model.PoolID]Pool{pool: {Engine: engine}}, Backends: map[model.BackendID]Backend{}},
	}
	for i := range servers {
		n.config.Backends[model.BackendID(i+1)] = Backend{Name: fmt.Sprint("server-", i+1), Pool: pool, Near: true, Slots: 8}
	}
	n.SetNotices(n.registry)
	n.Configure(0, n.config)
	return n
}

// arriveAndDecide sends a request and returns the action on it, nil if there is none within the time it may wait.
func (n *noticeMachine) arriveAndDecide(now model.Time) Action {
	n.lastID++
	prompt := model.Prompt{Tokens: 100, Parts: []model.Part{{ID: uint64(n.lastID), Tokens: 60}, {ID: uint64(n.lastID) << 32, Tokens: 40}}}
	n.Arrive(now, Request{ID: n.lastID, Pool: pool, Prompt: prompt, Objective: 300 * time.Millisecond, Wait: time.Second})
	for until := now + 300*time.Millisecond; ; now += passInterval {
		if actions := n.TakeActions(); len(actions) > 0 {
			return actions[0]
		}
		if now > until {
			return nil
		}
		n.Tick(now + passInterval)
	}
}

// arriveMany sends requests that end at once, and returns how many each backend server received.
func (n *noticeMachine) arriveMany(now model.Time, count int) map[model.BackendID]int {
	sent := map[model.BackendID]int{}
	for range count {
		d := n.arriveAndDecide(now).(Dispatch)
		sent[d.Backend]++
		n.Finish(now, d.ID, Done, 0)
	}
	return sent
}

func TestNoDispatchToRestingOrLeaving(t *testing.T) {
	for _, engine := range []bool{false, true} {
		t.Run(fmt.Sprint("engine: ", engine), func(t *testing.T) {
			is := is.New(t)
			n := newNoticeMachine(4, engine)
			n.registry.Record(time.Second, 1, notice.Notice{Leaving: true})
			n.registry.Record(time.Second, 2, notice.Notice{Rest: 3 * time.Second})
			got := n.arriveMany(2*time.Second, 200)
			is.Equal(got[1]+got[2], 0)
			is.True(got[3] > 0 && got[4] > 0)
			// Reloading the configuration, or removing and adding the backend servers again, must not change
			// anything.
			without := n.config
			without.Backends = map[model.BackendID]Backend{3: n.config.Backends[3], 4: n.config.Backends[4]}
			n.Configure(2*time.Second, without)
			n.Configure(2*time.Second, n.config)
			got = n.arriveMany(3*time.Second, 200)
			is.Equal(got[1]+got[2], 0)
			got = n.arriveMany(4*time.Second, 400)
			is.Equal(got[1], 0)
			is.True(got[2] > 40) // its rest has ended, and it receives its part
		})
	}
}

func TestRefusedAtOnceWhenAllRest(t *testing.T) {
	for _, engine := range []bool{false, true} {
		t.Run(fmt.Sprint("engine: ", engine), func(t *testing.T) {
			is := is.New(t)
			n := newNoticeMachine(3, engine)
			n.registry.Record(0, 1, notice.Notice{Leaving: true})
			n.registry.Record(0, 2, notice.Notice{Rest: 5 * time.Second})
			n.registry.Record(0, 3, notice.Notice{Rest: 3 * time.Second})
			soonest, latest := time.Hour, time.Duration(0)
			for range 100 {
				r := n.arriveAndDecide(time.Second).(Refuse)
				is.Equal(r.Reason, Resting)
				is.Equal(r.Waited, time.Duration(0))
				soonest, latest = min(soonest, r.RetryAfter), max(latest, r.RetryAfter)
			}
			is.True(soonest >= 2*time.Second) // when the first rest ends
			is.True(latest <= 2*time.Second+maxRetrySpread+retrySpread)
			is.True(latest-soonest > retrySpread/2) // and not all at once
		})
	}
}

// TestRequestWaitsForShortRest sends a request shortly before the only backend server ends its rest, and another
// while one rests and a second one is briefly excluded: both wait.
func TestRequestWaitsForShortRest(t *testing.T) {
	is := is.New(t)
	n := newNoticeMachine(1, true)
	n.registry.Record(0, 1, notice.Notice{Rest: 3 * time.Second})
	d, sent := n.arriveAndDecide(2900 * time.Millisecond).(Dispatch)
	is.True(sent)
	is.True(d.Waited >= 100*time.Millisecond && d.Waited < 150*time.Millisecond)

	n = newNoticeMachine(2, true)
	n.registry.Record(0, 1, notice.Notice{Rest: 30 * time.Second})
	d = n.arriveAndDecide(time.Second).(Dispatch)
	is.Equal(d.Backend, model.BackendID(2))
	n.Finish(time.Second, d.ID, Rejected, 0) // briefly excluded
	d, sent = n.arriveAndDecide(time.Second).(Dispatch)
	is.True(sent)
	is.True(d.Waited >= rejectedPause)
}

// TestRetriesAfterRestAreSpread has all backend servers of a plain service with many routers request a rest at once.
// Refused callers retry after RetryAfter. Few requests must reach a resting server, and in the second after the rest
// the servers must answer as many requests as before and reject few.
func TestRetriesAfterRestAreSpread(t *testing.T) {
	for _, routers := range []int{9, 64} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			is := is.New(t)
			w := newServiceSimulation(routers, 4)
			const capacity = 4 * serviceSlots * float64(time.Second/serviceWork)
			const rest = 3 * time.Second
			w.retryRefused = true
			w.sendRequests(0.7*capacity, 20*time.Second)
			w.clock.Run(5 * time.Second)
			w.restAll(rest)
			w.clock.Run(8 * time.Second)
			most := 0
			for _, n := range w.disturbed {
				most = max(most, n)
			}
			t.Logf("%d routers: %d requests refused at once; at most %d from one router reached one resting server", routers, w.refused, most)
			is.True(most <= 2)
			inTime, rejected := w.inTime, w.rejected
			w.clock.Run(9 * time.Second)
			inTime, rejected = w.inTime-inTime, w.rejected-rejected
			t.Logf("answered in time in the first second: %d of %.0f requests; rejected %d", inTime, 0.7*capacity, rejected)
			is.True(float64(inTime) >= 0.7*0.8*capacity)
			is.True(rejected <= inTime/4) // 403 of 287 and 352 of 308 if all retry within half a second
		})
	}
}
