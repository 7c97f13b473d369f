package prompt

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/model"
)

const (
	hallEngines = 36
	halls       = 3
)

// hallMachine returns a router in a data hall, with engines spread over all data halls.
func hallMachine(hall int, seed uint64, hallHomes bool) *Machine {
	c := testConfig(0)
	c.TokensPerSecond = hallEngines * 33_334
	c.HallHomes = hallHomes
	for i := range hallEngines {
		name := fmt.Sprintf("engine-%d", i)
		c.Backends[model.Backend(name)] = Backend{Name: name, Pool: pool, Near: i%halls == hall, Hall: fmt.Sprint(i % halls), Slots: 64}
	}
	m := New(0, rand.New(rand.NewPCG(seed, 2)))
	m.Configure(0, c)
	return m
}

// farFraction returns the fraction of a router's requests that leave its data hall, and the backend server of each.
func farFraction(t *testing.T, m *Machine, prompts int) (far float64, homes []model.BackendID) {
	t.Helper()
	now := time.Duration(0)
	for prompt := range uint64(prompts) {
		id := model.RequestID(prompt + 1)
		m.Arrive(now, newRequest(id, 1, prompt, 1000))
		d := onlyDispatch(t, m)
		if !m.servers[d.Backend].Near {
			far++
		}
		homes = append(homes, d.Backend)
		m.RecordBegin(now+100*time.Millisecond, id)
		m.Finish(now+200*time.Millisecond, id, Done, 50)
		now += time.Second
	}
	return far / float64(prompts), homes
}

// TestHallHomesAvoidCrossHallDispatch sends prompts with shared parts to idle engines: with a home in each data hall,
// no request leaves it, and the routers of a data hall still choose alike.
func TestHallHomesAvoidCrossHallDispatch(t *testing.T) {
	is := is.New(t)
	far, _ := farFraction(t, hallMachine(0, 1, false), 60)
	is.True(far > 0.5)
	far, one := farFraction(t, hallMachine(0, 1, true), 60)
	is.Equal(far, 0.0)
	_, other := farFraction(t, hallMachine(0, 2, true), 60)
	is.Equal(one, other)
}

// TestFullHallOverflowsToRemoteHomes fills the engines of a data hall: its routers dispatch what does not fit there
// to the homes that the routers of other data halls choose.
func TestFullHallOverflowsToRemoteHomes(t *testing.T) {
	is := is.New(t)
	m := hallMachine(0, 1, true)
	for _, s := range m.servers {
		if s.Near {
			s.addRemote(0, 100_000)
		}
	}
	homes := map[model.BackendID]bool{}
	for hall := 1; hall < halls; hall++ {
		o := hallMachine(hall, 3, true)
		o.Arrive(0, newRequest(1, 1, 7, 1000))
		homes[onlyDispatch(t, o).Backend] = true
	}
	m.Arrive(0, newRequest(1, 1, 7, 1000))
	is.True(homes[onlyDispatch(t, m).Backend])
}
