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

// hallMachine returns a router of a data hall, before engines that are spread over all halls.
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

// sends returns the part of a router's requests about so many things that leave its data hall, and where each went.
func sends(t *testing.T, m *Machine, things int) (far float64, homes []model.BackendID) {
	t.Helper()
	now := time.Duration(0)
	for thing := range uint64(things) {
		id := model.RequestID(thing + 1)
		m.Arrive(now, ask(id, 1, thing, 1000))
		d := dispatched(t, m)
		if !m.servers[d.Backend].Near {
			far++
		}
		homes = append(homes, d.Backend)
		m.Began(now+100*time.Millisecond, id)
		m.Finish(now+200*time.Millisecond, id, Done, 50)
		now += time.Second
	}
	return far / float64(things), homes
}

// TestHomesInTheHallKeepRequestsThere asks idle engines for prompts with shared parts: with a home
// in each data hall nothing leaves it, and the routers of a hall still choose alike.
func TestHomesInTheHallKeepRequestsThere(t *testing.T) {
	is := is.New(t)
	far, _ := sends(t, hallMachine(0, 1, false), 60)
	is.True(far > 0.5)
	far, one := sends(t, hallMachine(0, 1, true), 60)
	is.Equal(far, 0.0)
	_, other := sends(t, hallMachine(0, 2, true), 60)
	is.Equal(one, other)
}

// TestFullHallSendsToTheOthersHomes fills the engines of a data hall: its routers send what they can't serve there
// to where the other halls' own routers would.
func TestFullHallSendsToTheOthersHomes(t *testing.T) {
	is := is.New(t)
	m := hallMachine(0, 1, true)
	for _, s := range m.servers {
		if s.Near {
			s.sentElsewhere(0, 100_000)
		}
	}
	homes := map[model.BackendID]bool{}
	for hall := 1; hall < halls; hall++ {
		o := hallMachine(hall, 3, true)
		o.Arrive(0, ask(1, 1, 7, 1000))
		homes[dispatched(t, o).Backend] = true
	}
	m.Arrive(0, ask(1, 1, 7, 1000))
	is.True(homes[dispatched(t, m).Backend])
}
