package prompt

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/tamarindstep/tamarindstep/model"
)

const pool = model.PoolID(1)

// testConfig returns a pool of engines that prefill 50,000 tokens a second each.
func testConfig(engines int) Config {
	c := Config{
		Pools:           map[model.PoolID]Pool{pool: {Engine: true, CacheTokens: 500_000}},
		Backends:        map[model.BackendID]Backend{},
		TokensPerSecond: float64(engines) * 33_334,
	}
	for i := range engines {
		name := fmt.Sprintf("engine-%d", i)
		c.Backends[model.Backend(name)] = Backend{Name: name, Pool: pool, Near: true, Slots: 64}
	}
	return c
}

func newMachine(engines int) *Machine {
	m := New(0, rand.New(rand.NewPCG(1, 2)))
	m.Configure(0, testConfig(engines))
	return m
}

// newRequest returns a request whose prompt begins with a shared part.
func newRequest(id model.RequestID, account model.AccountID, shared uint64, unshared int) Request {
	return Request{
		ID: id, Account: account, Pool: pool, Objective: 800 * time.Millisecond, Wait: 10 * time.Second,
		Prompt: model.Prompt{Tokens: 10_000 + unshared, Hint: 50, Parts: []model.Part{{ID: shared, Tokens: 10_000}, {ID: uint64(id) + 1<<40, Tokens: unshared}}},
	}
}

// onlyDispatch returns the dispatch that must be the only action.
func onlyDispatch(t *testing.T, m *Machine) Dispatch {
	t.Helper()
	actions := m.TakeActions()
	if len(actions) != 1 {
		t.Fatalf("got %d actions, want 1: %v", len(actions), actions)
	}
	d, ok := actions[0].(Dispatch)
	if !ok {
		t.Fatalf("action is not a dispatch: %+v", actions[0])
	}
	return d
}

func TestDispatchPrefersCachedPrompt(t *testing.T) {
	is := is.New(t)
	m := newMachine(4)
	m.Arrive(0, newRequest(1, 1, 7, 1000))
	first := onlyDispatch(t, m)
	is.Equal(first.Basis.PrefillTokens, 11_000)
	m.RecordBegin(300*time.Millisecond, 1)
	m.Finish(time.Second, 1, Done, 50)
	m.Arrive(2*time.Second, newRequest(2, 1, 7, 1000))
	second := onlyDispatch(t, m)
	is.Equal(second.Backend, first.Backend)
	is.Equal(second.Basis.PrefillTokens, 1000) // only its unshared part
}

// TestRoutersAgreeOnHome uses routers that have received no placements.
func TestRoutersAgreeOnHome(t *testing.T) {
	is := is.New(t)
	for thing := range uint64(20) {
		var chosen []model.BackendID
		for seed := range uint64(3) {
			m := New(0, rand.New(rand.NewPCG(seed, 2)))
			m.Configure(0, testConfig(9))
			m.Arrive(0, newRequest(1, 1, thing, 500))
			chosen = append(chosen, onlyDispatch(t, m).Backend)
		}
		is.Equal(chosen[0], chosen[1])
		is.Equal(chosen[1], chosen[2])
	}
}

func TestRemotePlacementsAreUsed(t *testing.T) {
	is := is.New(t)
	a, b := newMachine(9), newMachine(9)
	a.Arrive(0, newRequest(1, 1, 7, 1000))
	sent := onlyDispatch(t, a)
	report, _ := a.ReportLoads()
	report.Sequence = 1
	is.True(b.ApplyLoadReport(0, "a", 1, report))
	b.Arrive(time.Second, newRequest(1, 1, 7, 1000))
	got := onlyDispatch(t, b)
	is.Equal(got.Backend, sent.Backend)
	is.Equal(got.Basis.PrefillTokens, 1000)
	again, _ := a.ReportLoads()
	is.Equal(len(again.Placements), 0) // reported only once
}

func TestUnusedPartsAreEvicted(t *testing.T) {
	is := is.New(t)
	m := newMachine(1)
	now := time.Duration(0)
	m.Arrive(now, newRequest(1, 1, 7, 1000))
	onlyDispatch(t, m)
	for i := range 60 {
		now += time.Second
		id := model.RequestID(i + 2)
		m.Finish(now, id-1, Done, 50)
		m.Arrive(now, newRequest(id, 1, uint64(100+i), 1000))
		onlyDispatch(t, m)
	}
	m.Finish(now, 61, Done, 50)
	m.Arrive(now+time.Second, newRequest(100, 1, 7, 1000))
	is.Equal(onlyDispatch(t, m).Basis.PrefillTokens, 11_000) // 660,000 tokens have been prefilled since
}

func TestLateAnswerLimitsPrefillEstimate(t *testing.T) {
	is := is.New(t)
	m := newMachine(2)
	m.Arrive(0, newRequest(1, 1, 7, 1000))
	first := onlyDispatch(t, m)
	// At its rate the engine has finished the prefill, but the answer has not begun.
	m.Arrive(2*time.Second, newRequest(2, 1, 7, 1000))
	second := onlyDispatch(t, m)
	is.True(second.Backend != first.Backend || second.Basis.Backlog > 0)
}

func TestFailingServerIsExcludedAndRetried(t *testing.T) {
	is := is.New(t)
	m := newMachine(2)
	now := time.Duration(0)
	bad := model.Backend("engine-0")
	hits := 0
	for id := model.RequestID(1); id <= 400; id++ {
		now += 50 * time.Millisecond
		m.Arrive(now, newRequest(id, 1, uint64(id), 100))
		d := onlyDispatch(t, m)
		ending := Done
		if d.Backend == bad {
			hits++
			ending = Failed
		} else {
			m.RecordBegin(now, id)
		}
		m.Finish(now, id, ending, 10)
	}
	is.True(hits < 40) // of 400: occasional trials
	is.True(hits > 3)  // but it is retried
}

// TestCachedPartsAreCopied fills the backend server that caches a prompt's shared part: another copies it instead of
// prefilling it again.
func TestCachedPartsAreCopied(t *testing.T) {
	is := is.New(t)
	m := newMachine(2)
	c := testConfig(2)
	c.Pools[pool] = Pool{Engine: true, CacheTokens: 500_000, CopyRate: 400_000}
	m.Configure(0, c)
	m.Arrive(0, newRequest(1, 1, 7, 1000))
	holder := onlyDispatch(t, m).Backend
	m.RecordBegin(250*time.Millisecond, 1)
	for id := model.RequestID(2); id < 10; id++ {
		m.Arrive(time.Second, newRequest(id, 1, 7, 6000))
		d := onlyDispatch(t, m)
		if d.Backend == holder {
			is.Equal(d.CopyFrom, model.BackendID(0))
			continue
		}
		is.Equal(d.CopyFrom, holder)
		is.Equal(d.Copied, 10_000)
		is.Equal(d.Basis.PrefillTokens, 6000) // only its unshared part
		return
	}
	t.Fatal("no request was dispatched to the other backend server")
}

// TestNoCopyWithoutCopyRate does the same with engines that do not support copies.
func TestNoCopyWithoutCopyRate(t *testing.T) {
	is := is.New(t)
	m := newMachine(2)
	for id := model.RequestID(1); id < 10; id++ {
		m.Arrive(0, newRequest(id, 1, 7, 1000))
		for _, a := range m.TakeActions() {
			if d, ok := a.(Dispatch); ok {
				is.Equal(d.CopyFrom, model.BackendID(0))
			}
		}
	}
}

// TestCallerLeavingAfterSilenceIsFailure has one caller disconnect at once and another after a long silence.
func TestCallerLeavingAfterSilenceIsFailure(t *testing.T) {
	is := is.New(t)
	m := newMachine(1)
	s := m.servers[model.Backend("engine-0")]
	m.Arrive(0, newRequest(1, 1, 1, 100))
	onlyDispatch(t, m)
	m.Finish(100*time.Millisecond, 1, Disconnected, 0)
	is.Equal(s.health.failures, 0.0)
	m.Arrive(time.Second, newRequest(2, 1, 1, 100))
	onlyDispatch(t, m)
	m.Finish(4*time.Second, 2, Disconnected, 0)
	is.True(s.health.failures > 0)
}

// TestRareFailuresDoNotExclude has one request of 100 fail.
func TestRareFailuresDoNotExclude(t *testing.T) {
	is := is.New(t)
	h := health{}
	random := rand.New(rand.NewPCG(1, 1))
	for i := range 1000 {
		ending := Done
		if i%100 == 50 {
			ending = Failed
		}
		h.recordEnd(model.Time(i), ending, random)
		is.True(!h.excluded(model.Time(i)))
	}
}

func TestNoDispatchToLeavingServer(t *testing.T) {
	is := is.New(t)
	m := newMachine(2)
	c := testConfig(2)
	left := model.Backend("engine-0")
	b := c.Backends[left]
	b.Leaving = true
	c.Backends[left] = b
	m.Configure(0, c)
	for id := model.RequestID(1); id <= 20; id++ {
		m.Arrive(time.Duration(id)*time.Second, newRequest(id, 1, uint64(id), 100))
		is.True(onlyDispatch(t, m).Backend != left)
		m.Finish(time.Duration(id)*time.Second, id, Done, 1)
	}
	delete(c.Backends, left)
	delete(c.Backends, model.Backend("engine-1"))
	m.Configure(time.Minute, c)
	m.Arrive(time.Minute, newRequest(50, 1, 1, 100))
	is.Equal(len(m.TakeActions()), 0) // it waits briefly for one
	m.Tick(time.Minute + time.Second)
	r, ok := m.TakeActions()[0].(Refuse)
	is.True(ok)
	is.Equal(r.Reason, NoBackend)
}

func TestExceptedServersAreSkipped(t *testing.T) {
	is := is.New(t)
	m := newMachine(2)
	r := newRequest(1, 1, 7, 100)
	r.Exclude = []model.BackendID{model.Backend("engine-0")}
	m.Arrive(0, r)
	is.Equal(onlyDispatch(t, m).Backend, model.Backend("engine-1"))
}

func TestRefusalLeavesTimeToRetry(t *testing.T) {
	is := is.New(t)
	m := newMachine(1)
	now := time.Duration(0)
	for id := model.RequestID(1); id <= 30; id++ {
		m.Arrive(now, newRequest(id, 1, uint64(id), 100))
	}
	refusals := 0
	for now < 900*time.Millisecond {
		now += 10 * time.Millisecond
		m.Tick(now)
		for _, a := range m.TakeActions() {
			if r, ok := a.(Refuse); ok {
				refusals++
				is.True(r.Waited <= 210*time.Millisecond) // about a quarter of the objective
				is.True(r.RetryAfter > 0)
			}
		}
	}
	is.True(refusals > 20)
}

// randomMachine is a machine that receives random events, with the open requests: true once dispatched.
type randomMachine struct {
	*rapid.T
	m    *Machine
	now  time.Duration
	open map[model.RequestID]bool
	next model.RequestID
}

// takeActions checks the actions: a request is dispatched once, and refused only before.
func (d *randomMachine) takeActions() {
	for _, a := range d.m.TakeActions() {
		switch a := a.(type) {
		case Dispatch:
			if sent, known := d.open[a.ID]; !known || sent {
				d.Fatalf("%+v", a)
			}
			d.open[a.ID] = true
		case Refuse:
			if sent, known := d.open[a.ID]; !known || sent {
				d.Fatalf("%+v", a)
			}
			delete(d.open, a.ID)
		}
	}
}

func (d *randomMachine) drawID() model.RequestID {
	return model.RequestID(rapid.IntRange(0, int(d.next)).Draw(d.T, "which"))
}

func (d *randomMachine) arrive() {
	d.next++
	d.open[d.next] = false
	account := model.AccountID(rapid.IntRange(1, 4).Draw(d.T, "account"))
	shared := uint64(rapid.IntRange(1, 5).Draw(d.T, "thing"))
	d.m.Arrive(d.now, newRequest(d.next, account, shared, rapid.IntRange(1, 60_000).Draw(d.T, "own")))
}

func (d *randomMachine) finish() {
	id := d.drawID()
	d.m.Finish(d.now, id, Ending(rapid.IntRange(0, int(NotSent)).Draw(d.T, "ending")), 20)
	d.takeActions()
	delete(d.open, id)
}

// TestEachRequestIsDecidedOnce generates events in any order: each request is dispatched or refused once, and no
// state of it remains when it has ended.
func TestEachRequestIsDecidedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &randomMachine{T: t, m: newMachine(rapid.IntRange(0, 3).Draw(t, "engines")), open: map[model.RequestID]bool{}}
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			d.now += time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				d.arrive()
			case 2:
				d.m.RecordBegin(d.now, d.drawID())
			case 3:
				d.finish()
			case 4:
				d.m.Tick(d.now)
			}
			d.takeActions()
		}
		for id := range d.open {
			d.m.Finish(d.now, id, Disconnected, 0)
		}
		if !d.m.Idle() || len(d.m.waiting) > 0 {
			t.Fatal("requests remain")
		}
		for _, s := range d.m.servers {
			if len(s.flights) > 0 || s.sentTokens < s.prefilledTokens {
				t.Fatalf("%d requests in flight, %v tokens sent and %v prefilled", len(s.flights), s.sentTokens, s.prefilledTokens)
			}
		}
	})
}

func BenchmarkDecide(b *testing.B) { benchmarkDecisions(b, newMachine(9)) }

// benchmarkDecisions measures a request from its arrival to its end.
func benchmarkDecisions(b *testing.B, m *Machine) {
	now := time.Duration(0)
	id := model.RequestID(0)
	for b.Loop() {
		id++
		now += 10 * time.Millisecond
		m.Arrive(now, newRequest(id, model.AccountID(id%16), uint64(id%55), 1000))
		m.TakeActions()
		m.RecordBegin(now, id)
		m.Finish(now, id, Done, 50)
	}
}

// TestSlownessDecays has a backend server answer much later than expected and then receive no requests: after a while
// it must be expected to be as fast as the others, so that it is retried.
func TestSlownessDecays(t *testing.T) {
	is := is.New(t)
	m := newMachine(1)
	s := m.servers[m.order[0]]
	for range 50 {
		s.health.recordBegin(4*minSlownessDelay, minSlownessDelay)
	}
	is.True(s.health.slowness() > 3)
	m.Sample(0)
	m.Sample(2 * time.Second)
	is.True(s.health.slowness() > 3) // not this soon
	m.Sample(2*time.Second + 4*slownessDecay)
	is.True(s.health.slowness() < 1.5)
}
