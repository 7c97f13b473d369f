package prompt

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/model"
)

const coldBound = 14

// coldConfig returns a pool of engines with a bound on requests while they are cold, after applying change to each.
func coldConfig(engines int, change func(i int, b *Backend)) Config {
	c := testConfig(engines)
	c.Pools[pool] = Pool{Engine: true, CacheTokens: 500_000, ColdBound: coldBound, ColdFor: 3 * time.Second}
	for i := range engines {
		id := model.Backend(fmt.Sprintf("engine-%d", i))
		b := c.Backends[id]
		b.Hall = fmt.Sprintf("hall-%d", i%2)
		change(i, &b)
		c.Backends[id] = b
	}
	return c
}

func setCold(_ int, b *Backend) { b.Cold = true }

func setWarm(int, *Backend) {}

// newFleet returns the machines of routers that have each other's names and the same engines.
func newFleet(routers int, now model.Time, c Config) []*Machine {
	var names []string
	for i := range routers {
		names = append(names, fmt.Sprintf("router-%d", i))
	}
	var out []*Machine
	for i, name := range names {
		m := New(now, rand.New(rand.NewPCG(uint64(i), 2)))
		m.Configure(now, c)
		m.SetRouterNames(name, names, true)
		out = append(out, m)
	}
	return out
}

// shortRequest returns a request whose prompt is prefilled in a few milliseconds.
func shortRequest(id model.RequestID) Request {
	r := newRequest(id, 1, uint64(id), 100)
	r.Prompt.Tokens = 200
	r.Prompt.Parts[0].Tokens = 100
	return r
}

// flood sends a request to each router every 10 ms, and returns when requests were dispatched to each engine.
func flood(fleet []*Machine, start, duration model.Time) map[model.BackendID][]model.Time {
	sent := map[model.BackendID][]model.Time{}
	id := model.RequestID(start) // prompts not sent before
	for now := start; now < start+duration; now += 10 * time.Millisecond {
		for _, m := range fleet {
			id++
			m.Sample(now)
			m.Arrive(now, shortRequest(id))
			m.Tick(now)
			for _, a := range m.TakeActions() {
				if d, ok := a.(Dispatch); ok {
					sent[d.Backend] = append(sent[d.Backend], now)
					m.Finish(now, d.ID, Done, 10)
				}
			}
		}
	}
	return sent
}

// maxPerSecond returns the most requests that any engine received in a second.
func maxPerSecond(sent map[model.BackendID][]model.Time) int {
	out := 0
	for _, times := range sent {
		first := 0
		for i, at := range times {
			for times[first] <= at-time.Second {
				first++
			}
			out = max(out, i-first+1)
		}
	}
	return out
}

// TestColdRequestBound floods routers while all engines are cold, and again when they no longer are.
func TestColdRequestBound(t *testing.T) {
	is := is.New(t)
	cold := coldConfig(4, setCold)
	fleet := newFleet(6, 0, cold)
	is.Equal(len(flood(fleet, 0, coldStartupDelay)), 0) // routers wait for each other's names
	sent := flood(fleet, coldStartupDelay+time.Second, 3*time.Second)
	is.Equal(len(sent), 4) // all engines are used
	is.True(maxPerSecond(sent) <= coldBound)
	is.True(maxPerSecond(sent) >= coldBound/2)
	for _, m := range fleet {
		m.Configure(7*time.Second, coldConfig(4, setWarm))
	}
	is.True(maxPerSecond(flood(fleet, 7*time.Second, time.Second)) > coldBound)
}

// TestColdAnnouncementExpires leaves the engines' announcements in place, as if the store were unavailable.
func TestColdAnnouncementExpires(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(6, 0, coldConfig(4, setCold))
	is.True(maxPerSecond(flood(fleet, 8*time.Second, 900*time.Millisecond)) <= coldBound)
	is.True(maxPerSecond(flood(fleet, 10*time.Second, time.Second)) > coldBound)
}

// TestNoColdDispatchWithoutRouterList has routers that have not received the list of routers.
func TestNoColdDispatchWithoutRouterList(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(6, 0, coldConfig(4, setCold))
	for _, m := range fleet {
		m.SetRouterNames(m.coldAssignment.self, []string{m.coldAssignment.self}, false)
	}
	is.Equal(len(flood(fleet, 3*time.Second, time.Second)), 0)
}

// TestNoDispatchToEvacuatedHall evacuates one of two data halls, ends the evacuation and evacuates both.
func TestNoDispatchToEvacuatedHall(t *testing.T) {
	is := is.New(t)
	evacuate := func(halls ...string) Config {
		return coldConfig(4, func(_ int, b *Backend) {
			for _, hall := range halls {
				b.Evacuated = b.Evacuated || b.Hall == hall
			}
		})
	}
	hall1 := []model.BackendID{model.Backend("engine-1"), model.Backend("engine-3")}
	fleet := newFleet(6, 0, evacuate("hall-1"))
	sent := flood(fleet, 3*time.Second, time.Second)
	is.Equal(len(sent), 2)
	for _, id := range hall1 {
		is.Equal(len(sent[id]), 0)
	}
	is.Equal(fleet[0].usableFraction, 0.5)
	for _, m := range fleet {
		m.Configure(4*time.Second, evacuate())
	}
	sent = flood(fleet, 4*time.Second, 2*time.Second)
	for _, id := range hall1 {
		is.True(len(sent[id]) > 0)
		is.True(maxPerSecond(map[model.BackendID][]model.Time{id: sent[id]}) <= coldBound) // they may have become cold
	}
	for _, m := range fleet {
		m.Configure(8*time.Second, evacuate("hall-0", "hall-1"))
	}
	m := fleet[0]
	m.Arrive(8*time.Second, newRequest(1<<40, 1, 1, 100))
	refusal := m.TakeActions()[0].(Refuse)
	is.Equal(refusal.Reason, NoBackend)
	is.Equal(refusal.Waited, time.Duration(0)) // waiting would be pointless
}

// TestNoDispatchToEvacuatedService has all backend servers of a plain service in one data hall.
func TestNoDispatchToEvacuatedService(t *testing.T) {
	is := is.New(t)
	m := newMachine(1)
	c := Config{
		Pools:    map[model.PoolID]Pool{pool: {}},
		Backends: map[model.BackendID]Backend{1: {Name: "one", Pool: pool, Hall: "hall-0", Slots: 4, Evacuated: true}},
	}
	m.Configure(0, c)
	m.Arrive(0, Request{ID: 1, Pool: pool, Objective: time.Second, Wait: time.Second})
	is.Equal(m.TakeActions()[0].(Refuse).Reason, NoBackend)
	c.Backends[1] = Backend{Name: "one", Pool: pool, Hall: "hall-0", Slots: 4}
	m.Configure(time.Second, c)
	m.Arrive(time.Second, Request{ID: 2, Pool: pool, Objective: time.Second, Wait: time.Second})
	is.Equal(onlyDispatch(t, m).Backend, model.BackendID(1))
}

// TestCopyFromEvacuatedHall has a prompt cached only in an evacuated data hall.
func TestCopyFromEvacuatedHall(t *testing.T) {
	is := is.New(t)
	c := coldConfig(2, setWarm)
	p := c.Pools[pool]
	p.CopyRate = 1e6
	c.Pools[pool] = p
	m := New(0, rand.New(rand.NewPCG(1, 2)))
	m.Configure(0, c)
	m.Arrive(0, newRequest(1, 1, 7, 1000))
	first := onlyDispatch(t, m)
	m.RecordBegin(300*time.Millisecond, 1)
	m.Finish(time.Second, 1, Done, 50)
	evacuated := c.Backends[first.Backend]
	evacuated.Evacuated = true
	c.Backends[first.Backend] = evacuated
	m.Configure(time.Second, c)
	m.Arrive(2*time.Second, newRequest(2, 1, 7, 1000))
	second := onlyDispatch(t, m)
	is.True(second.Backend != first.Backend)
	is.Equal(second.CopyFrom, first.Backend)
}
