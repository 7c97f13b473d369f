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

// noticing is a machine before some backend servers that speak of themselves.
type noticing struct {
	*Machine
	book   *notice.Book
	config Config
	last   model.RequestID
}

func newNoticing(servers int, engine bool) *noticing {
	n := &noticing{
		Machine: New(0, rand.New(rand.NewPCG(1, 2))), book: notice.New(),
		config: Config{Pools: map[model.PoolID]Pool{pool: {Engine: engine}}, Backends: map[model.BackendID]Backend{}},
	}
	for i := range servers {
		n.config.Backends[model.BackendID(i+1)] = Backend{Name: fmt.Sprint("server-", i+1), Pool: pool, Near: true, Slots: 8}
	}
	n.Heed(n.book)
	n.Configure(0, n.config)
	return n
}

// ask lets a request come, and returns what becomes of it within the time that one may wait.
func (n *noticing) ask(now model.Time) Action {
	n.last++
	prompt := model.Prompt{Tokens: 100, Parts: []model.Part{{ID: uint64(n.last), Tokens: 60}, {ID: uint64(n.last) << 32, Tokens: 40}}}
	n.Arrive(now, Request{ID: n.last, Pool: pool, Prompt: prompt, Objective: 300 * time.Millisecond, Wait: time.Second})
	for until := now + 300*time.Millisecond; ; now += recheck {
		if taken := n.Take(); len(taken) > 0 {
			return taken[0]
		}
		if now > until {
			return nil
		}
		n.Tick(now + recheck)
	}
}

// askMany returns which backend servers get so many requests, each of which ends at once.
func (n *noticing) askMany(now model.Time, many int) map[model.BackendID]int {
	got := map[model.BackendID]int{}
	for range many {
		d := n.ask(now).(Dispatch)
		got[d.Backend]++
		n.Finish(now, d.ID, Done, 0)
	}
	return got
}

func TestServersThatWantNothingGetNothing(t *testing.T) {
	for _, engine := range []bool{false, true} {
		t.Run(fmt.Sprint("engine: ", engine), func(t *testing.T) {
			is := is.New(t)
			n := newNoticing(4, engine)
			n.book.Take(time.Second, 1, notice.Notice{Leaving: true})
			n.book.Take(time.Second, 2, notice.Notice{Rest: 3 * time.Second})
			got := n.askMany(2*time.Second, 200)
			is.Equal(got[1]+got[2], 0)
			is.True(got[3] > 0 && got[4] > 0)
			// A configuration that comes, one that lacks them and one that has them again change nothing.
			without := n.config
			without.Backends = map[model.BackendID]Backend{3: n.config.Backends[3], 4: n.config.Backends[4]}
			n.Configure(2*time.Second, without)
			n.Configure(2*time.Second, n.config)
			got = n.askMany(3*time.Second, 200)
			is.Equal(got[1]+got[2], 0)
			got = n.askMany(4*time.Second, 400)
			is.Equal(got[1], 0)
			is.True(got[2] > 40) // it has rested, and has its part
		})
	}
}

func TestRequestsAreRefusedAtOnceWhereAllRest(t *testing.T) {
	for _, engine := range []bool{false, true} {
		t.Run(fmt.Sprint("engine: ", engine), func(t *testing.T) {
			is := is.New(t)
			n := newNoticing(3, engine)
			n.book.Take(0, 1, notice.Notice{Leaving: true})
			n.book.Take(0, 2, notice.Notice{Rest: 5 * time.Second})
			n.book.Take(0, 3, notice.Notice{Rest: 3 * time.Second})
			soonest, latest := time.Hour, time.Duration(0)
			for range 100 {
				r := n.ask(time.Second).(Refuse)
				is.Equal(r.Reason, Resting)
				is.Equal(r.Waited, time.Duration(0))
				soonest, latest = min(soonest, r.RetryAfter), max(latest, r.RetryAfter)
			}
			is.True(soonest >= 2*time.Second) // when the first has rested
			is.True(latest <= 2*time.Second+maxRestSpread+restSpread)
			is.True(latest-soonest > restSpread/2) // and not all at once
		})
	}
}

// TestAShortRestIsWaitedFor lets a request come shortly before the only backend server has rested, and another while a
// second one can't be reached for a moment: both wait as they would for that.
func TestAShortRestIsWaitedFor(t *testing.T) {
	is := is.New(t)
	n := newNoticing(1, true)
	n.book.Take(0, 1, notice.Notice{Rest: 3 * time.Second})
	d, sent := n.ask(2900 * time.Millisecond).(Dispatch)
	is.True(sent)
	is.True(d.Waited >= 100*time.Millisecond && d.Waited < 150*time.Millisecond)

	n = newNoticing(2, true)
	n.book.Take(0, 1, notice.Notice{Rest: 30 * time.Second})
	d = n.ask(time.Second).(Dispatch)
	is.Equal(d.Backend, model.BackendID(2))
	n.Finish(time.Second, d.ID, Rejected, 0) // left out for a moment
	d, sent = n.ask(time.Second).(Dispatch)
	is.True(sent)
	is.True(d.Waited >= rejectedPause)
}

// TestRestedServersFillUpWithoutACrowd lets all backend servers of a plain service ask for rest at once, as many routers
// send to them. Its callers come back when they are told. Few requests reach a server that rests, and a second
// after the rest the servers do as much as before, and few find a queue full.
func TestRestedServersFillUpWithoutACrowd(t *testing.T) {
	for _, routers := range []int{9, 64} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			is := is.New(t)
			w := newServiceWorld(routers, 4)
			const capacity = 4 * serviceSlots * float64(time.Second/serviceWork)
			const rest = 3 * time.Second
			w.returns = true
			w.ask(0.7*capacity, 20*time.Second)
			w.time.Run(5 * time.Second)
			w.restAll(rest)
			w.time.Run(8 * time.Second)
			most := 0
			for _, n := range w.disturbed {
				most = max(most, n)
			}
			t.Logf("%d routers: %d requests refused at once; %d at the most from one router reached one server that rested", routers, w.refused, most)
			is.True(most <= 2)
			before, turned := w.inTime, w.turned
			w.time.Run(9 * time.Second)
			before, turned = w.inTime-before, w.turned-turned
			t.Logf("answered in time in the first second: %d of %.0f asked; turned away %d", before, 0.7*capacity, turned)
			is.True(float64(before) >= 0.7*0.8*capacity)
			is.True(turned <= before/4) // 403 of 287 and 352 of 308 where all come back within half a second
		})
	}
}
