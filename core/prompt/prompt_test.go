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

// testConfig is a pool of engines that read 50,000 tokens a second each.
func testConfig(engines int) Config {
	c := Config{
		Pools:           map[model.PoolID]Pool{pool: {Engine: true, Memory: 500_000}},
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

// ask returns a request whose prompt begins with a shared part.
func ask(id model.RequestID, account model.AccountID, thing uint64, own int) Request {
	return Request{
		ID: id, Account: account, Pool: pool, Objective: 800 * time.Millisecond, Wait: 10 * time.Second,
		Prompt: model.Prompt{Tokens: 10_000 + own, Hint: 50, Parts: []model.Part{{ID: thing, Tokens: 10_000}, {ID: uint64(id) + 1<<40, Tokens: own}}},
	}
}

// dispatched returns where the only request that was decided on went.
func dispatched(t *testing.T, m *Machine) Dispatch {
	t.Helper()
	actions := m.Take()
	if len(actions) != 1 {
		t.Fatalf("%d actions: %v", len(actions), actions)
	}
	d, ok := actions[0].(Dispatch)
	if !ok {
		t.Fatalf("not dispatched: %+v", actions[0])
	}
	return d
}

func TestPromptsGoWhereTheyWereRead(t *testing.T) {
	is := is.New(t)
	m := newMachine(4)
	m.Arrive(0, ask(1, 1, 7, 1000))
	first := dispatched(t, m)
	is.Equal(first.Basis.Unread, 11_000)
	m.Began(300*time.Millisecond, 1)
	m.Finish(time.Second, 1, Done, 50)
	m.Arrive(2*time.Second, ask(2, 1, 7, 1000))
	second := dispatched(t, m)
	is.Equal(second.Backend, first.Backend)
	is.Equal(second.Basis.Unread, 1000) // only its own part
}

// TestRoutersChooseAlike asks routers that know nothing of each other.
func TestRoutersChooseAlike(t *testing.T) {
	is := is.New(t)
	for thing := range uint64(20) {
		var chosen []model.BackendID
		for seed := range uint64(3) {
			m := New(0, rand.New(rand.NewPCG(seed, 2)))
			m.Configure(0, testConfig(9))
			m.Arrive(0, ask(1, 1, thing, 500))
			chosen = append(chosen, dispatched(t, m).Backend)
		}
		is.Equal(chosen[0], chosen[1])
		is.Equal(chosen[1], chosen[2])
	}
}

func TestPlacementsOfOthersAreKnown(t *testing.T) {
	is := is.New(t)
	a, b := newMachine(9), newMachine(9)
	a.Arrive(0, ask(1, 1, 7, 1000))
	sent := dispatched(t, a)
	report, _ := a.ReportLoads()
	report.Sequence = 1
	is.True(b.TakeLoadReport(0, "a", 1, report))
	b.Arrive(time.Second, ask(1, 1, 7, 1000))
	got := dispatched(t, b)
	is.Equal(got.Backend, sent.Backend)
	is.Equal(got.Basis.Unread, 1000)
	again, _ := a.ReportLoads()
	is.Equal(len(again.Placements), 0) // told once
}

func TestWhatIsReadPushesOutWhatIsNotUsed(t *testing.T) {
	is := is.New(t)
	m := newMachine(1)
	now := time.Duration(0)
	m.Arrive(now, ask(1, 1, 7, 1000))
	dispatched(t, m)
	for i := range 60 {
		now += time.Second
		id := model.RequestID(i + 2)
		m.Finish(now, id-1, Done, 50)
		m.Arrive(now, ask(id, 1, uint64(100+i), 1000))
		dispatched(t, m)
	}
	m.Finish(now, 61, Done, 50)
	m.Arrive(now+time.Second, ask(100, 1, 7, 1000))
	is.Equal(dispatched(t, m).Basis.Unread, 11_000) // 660,000 tokens have been read since
}

func TestLateAnswerHoldsTheEstimateBack(t *testing.T) {
	is := is.New(t)
	m := newMachine(2)
	m.Arrive(0, ask(1, 1, 7, 1000))
	first := dispatched(t, m)
	// By its rate it has long been read, but its answer hasn't begun.
	m.Arrive(2*time.Second, ask(2, 1, 7, 1000))
	second := dispatched(t, m)
	is.True(second.Backend != first.Backend || second.Basis.Backlog > 0)
}

func TestFailingServerIsLeftOutAndTriedAgain(t *testing.T) {
	is := is.New(t)
	m := newMachine(2)
	now := time.Duration(0)
	bad := model.Backend("engine-0")
	hits := 0
	for id := model.RequestID(1); id <= 400; id++ {
		now += 50 * time.Millisecond
		m.Arrive(now, ask(id, 1, uint64(id), 100))
		d := dispatched(t, m)
		ending := Done
		if d.Backend == bad {
			hits++
			ending = Failed
		} else {
			m.Began(now, id)
		}
		m.Finish(now, id, ending, 10)
	}
	is.True(hits < 40) // of 400: a trial now and then
	is.True(hits > 3)  // but it is tried
}

// TestKeptPartsAreCopied lets the backend server that keeps a prompt's shared part
// be full: another copies it instead of reading it anew.
func TestKeptPartsAreCopied(t *testing.T) {
	is := is.New(t)
	m := newMachine(2)
	c := testConfig(2)
	c.Pools[pool] = Pool{Engine: true, Memory: 500_000, CopyRate: 400_000}
	m.Configure(0, c)
	m.Arrive(0, ask(1, 1, 7, 1000))
	holder := dispatched(t, m).Backend
	m.Began(250*time.Millisecond, 1)
	for id := model.RequestID(2); id < 10; id++ {
		m.Arrive(time.Second, ask(id, 1, 7, 6000))
		d := dispatched(t, m)
		if d.Backend == holder {
			is.Equal(d.CopyFrom, model.BackendID(0))
			continue
		}
		is.Equal(d.CopyFrom, holder)
		is.Equal(d.Copied, 10_000)
		is.Equal(d.Basis.Unread, 6000) // its own part alone
		return
	}
	t.Fatal("none went to the other one")
}

// TestNothingIsCopiedWhereEnginesCannot is the same before engines that can't.
func TestNothingIsCopiedWhereEnginesCannot(t *testing.T) {
	is := is.New(t)
	m := newMachine(2)
	for id := model.RequestID(1); id < 10; id++ {
		m.Arrive(0, ask(id, 1, 7, 1000))
		for _, a := range m.Take() {
			if d, ok := a.(Dispatch); ok {
				is.Equal(d.CopyFrom, model.BackendID(0))
			}
		}
	}
}

// TestSilenceTellsAgainstAServer lets callers leave after long silence, and others
// at once.
func TestSilenceTellsAgainstAServer(t *testing.T) {
	is := is.New(t)
	m := newMachine(1)
	s := m.servers[model.Backend("engine-0")]
	m.Arrive(0, ask(1, 1, 1, 100))
	dispatched(t, m)
	m.Finish(100*time.Millisecond, 1, Left, 0)
	is.Equal(s.health.failures, 0.0)
	m.Arrive(time.Second, ask(2, 1, 1, 100))
	dispatched(t, m)
	m.Finish(4*time.Second, 2, Left, 0)
	is.True(s.health.failures > 0)
}

// TestOneFailureInAHundredChangesNothing lets few requests fail everywhere.
func TestOneFailureInAHundredChangesNothing(t *testing.T) {
	is := is.New(t)
	h := health{}
	random := rand.New(rand.NewPCG(1, 1))
	for i := range 1000 {
		ending := Done
		if i%100 == 50 {
			ending = Failed
		}
		h.finished(model.Time(i), ending, random)
		is.True(!h.out(model.Time(i)))
	}
}

func TestLeavingServerGetsNothing(t *testing.T) {
	is := is.New(t)
	m := newMachine(2)
	c := testConfig(2)
	left := model.Backend("engine-0")
	b := c.Backends[left]
	b.Leaving = true
	c.Backends[left] = b
	m.Configure(0, c)
	for id := model.RequestID(1); id <= 20; id++ {
		m.Arrive(time.Duration(id)*time.Second, ask(id, 1, uint64(id), 100))
		is.True(dispatched(t, m).Backend != left)
		m.Finish(time.Duration(id)*time.Second, id, Done, 1)
	}
	delete(c.Backends, left)
	delete(c.Backends, model.Backend("engine-1"))
	m.Configure(time.Minute, c)
	m.Arrive(time.Minute, ask(50, 1, 1, 100))
	is.Equal(len(m.Take()), 0) // it waits a little for one
	m.Tick(time.Minute + time.Second)
	r, ok := m.Take()[0].(Refuse)
	is.True(ok)
	is.Equal(r.Reason, NoBackend)
}

func TestServersTriedBeforeAreLeftOut(t *testing.T) {
	is := is.New(t)
	m := newMachine(2)
	r := ask(1, 1, 7, 100)
	r.Except = []model.BackendID{model.Backend("engine-0")}
	m.Arrive(0, r)
	is.Equal(dispatched(t, m).Backend, model.Backend("engine-1"))
}

func TestRefusedEarlyEnoughToComeBack(t *testing.T) {
	is := is.New(t)
	m := newMachine(1)
	now := time.Duration(0)
	for id := model.RequestID(1); id <= 30; id++ {
		m.Arrive(now, ask(id, 1, uint64(id), 100))
	}
	refusals := 0
	for now < 900*time.Millisecond {
		now += 10 * time.Millisecond
		m.Tick(now)
		for _, a := range m.Take() {
			if r, ok := a.(Refuse); ok {
				refusals++
				is.True(r.Waited <= 210*time.Millisecond) // about a quarter of the objective
				is.True(r.RetryAfter > 0)
			}
		}
	}
	is.True(refusals > 20)
}

// drawn is a machine under drawn events, with what is known of each request:
// true once it was sent.
type drawn struct {
	*rapid.T
	m    *Machine
	now  time.Duration
	open map[model.RequestID]bool
	next model.RequestID
}

// settle takes the actions: a request is sent once, and refused only before.
func (d *drawn) settle() {
	for _, a := range d.m.Take() {
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

func (d *drawn) which() model.RequestID {
	return model.RequestID(rapid.IntRange(0, int(d.next)).Draw(d.T, "which"))
}

func (d *drawn) arrive() {
	d.next++
	d.open[d.next] = false
	account := model.AccountID(rapid.IntRange(1, 4).Draw(d.T, "account"))
	thing := uint64(rapid.IntRange(1, 5).Draw(d.T, "thing"))
	d.m.Arrive(d.now, ask(d.next, account, thing, rapid.IntRange(1, 60_000).Draw(d.T, "own")))
}

func (d *drawn) finish() {
	id := d.which()
	d.m.Finish(d.now, id, Ending(rapid.IntRange(0, int(NotSent)).Draw(d.T, "ending")), 20)
	d.settle()
	delete(d.open, id)
}

// TestNothingIsLost draws events in any order: each request is decided on once,
// and nothing of it remains when it has ended.
func TestNothingIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &drawn{T: t, m: newMachine(rapid.IntRange(0, 3).Draw(t, "engines")), open: map[model.RequestID]bool{}}
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			d.now += time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				d.arrive()
			case 2:
				d.m.Began(d.now, d.which())
			case 3:
				d.finish()
			case 4:
				d.m.Tick(d.now)
			}
			d.settle()
		}
		for id := range d.open {
			d.m.Finish(d.now, id, Left, 0)
		}
		if !d.m.Idle() || len(d.m.waiting) > 0 {
			t.Fatal("something is left")
		}
		for _, s := range d.m.servers {
			if len(s.flights) > 0 || s.sent < s.read {
				t.Fatalf("%d flights, %v sent and %v read", len(s.flights), s.sent, s.read)
			}
		}
	})
}

func BenchmarkDecide(b *testing.B) {
	m := newMachine(9)
	now := time.Duration(0)
	id := model.RequestID(0)
	for b.Loop() {
		id++
		now += 10 * time.Millisecond
		m.Arrive(now, ask(id, model.AccountID(id%16), uint64(id%55), 1000))
		m.Take()
		m.Began(now, id)
		m.Finish(now, id, Done, 50)
	}
}

// TestSlownessFades lets a backend server answer many times later than expected, and then
// be left alone: after a while it is expected to be as fast as the others, and so tried.
func TestSlownessFades(t *testing.T) {
	is := is.New(t)
	m := newMachine(1)
	s := m.servers[m.order[0]]
	for range 50 {
		s.health.began(4*slowFrom, slowFrom)
	}
	is.True(s.health.slowness() > 3)
	m.Sample(0)
	m.Sample(2 * time.Second)
	is.True(s.health.slowness() > 3) // not so soon
	m.Sample(2*time.Second + 4*slowKept)
	is.True(s.health.slowness() < 1.5)
}
