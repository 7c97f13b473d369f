package core

import (
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/core/member"
	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/policy/fleetfair"
	"github.com/tamarindstep/tamarindstep/policy/promptaffinity"
	"github.com/tamarindstep/tamarindstep/wire"
)

// restarted returns the configuration with another run of a backend server.
func restarted(config *Config, name string, before, after uint64) *Config {
	next := *config
	next.Catalog++
	next.Backends = maps.Clone(config.Backends)
	old := model.Incarnation{Name: name, Born: before}.Backend()
	b := next.Backends[old]
	delete(next.Backends, old)
	b.Born = after
	next.Backends[model.Incarnation{Name: name, Born: after}.Backend()] = b
	return &next
}

// TestARunKnowsNothingOfTheOneBefore guards against prompts being taken for read by a backend server that has started again
// under its name.
func TestARunKnowsNothingOfTheOneBefore(t *testing.T) {
	is := is.New(t)
	config := todaysConfig(promptaffinity.Policy)
	only := sortedKeys(config.Backends)[0]
	one := *config
	one.Backends = map[model.BackendID]Backend{only: config.Backends[only]}
	c := New(0, member.Member{Name: "router-1", Boot: 1}, 1)
	account := model.Account(accountNames(1)[0])
	last := RequestID(0)
	unread := func(now model.Time) int {
		last++
		arrive := Arrive{
			ID: last, Account: account, Pool: one.Backends[only].Pool, Wait: time.Second,
			Prompt: model.Prompt{Tokens: 1000, Hint: 10, Parts: []model.Part{{ID: 5, Tokens: 900}, {ID: 6, Tokens: 100}}},
		}
		for _, a := range c.Step(now, arrive) {
			if d, ok := a.(Dispatch); ok {
				c.Step(now+time.Second, Began{ID: last})
				c.Step(now+2*time.Second, Finish{ID: last, Ending: Done})
				return d.Basis.Unread
			}
		}
		return -1
	}
	c.Step(0, Configure{Config: &one})
	is.Equal(unread(time.Second), 1000)
	is.Equal(unread(10*time.Second), 0)
	next := restarted(&one, one.Backends[only].Name, 0, 50)
	c.Step(20*time.Second, Configure{Config: next})
	is.Equal(unread(21*time.Second), 1000)
	is.Equal(unread(30*time.Second), 0)
	c.Step(40*time.Second, Configure{Config: restarted(next, one.Backends[only].Name, 50, 40)}) // its clock was set back
	is.Equal(unread(41*time.Second), 1000)
}

// TestLateReportsOfARunDontCountForTheNext lets a router that hasn't heard of a restart send to the run before, and tell
// the others: none reckons it to the new run.
func TestLateReportsOfARunDontCountForTheNext(t *testing.T) {
	is := is.New(t)
	f := loadedFleet(9, 60_000)
	late := f.nodes[3]
	before := f.sendOne(late)
	name := f.config.Backends[before].Name
	f.runUntil(f.time.Now() + time.Second)
	is.Equal(f.knowing(before), 9)
	next := restarted(f.config, name, 0, 50)
	after := model.Incarnation{Name: name, Born: 50}.Backend()
	for _, n := range f.nodes {
		if n != late {
			f.step(n, Configure{Config: next})
		}
	}
	f.runUntil(f.time.Now() + 2*time.Second)
	is.Equal(f.knowing(after), 0)
	is.Equal(f.knowing(before), 1) // at the one that hasn't heard
	for range 20 {
		f.sendOne(late)
	}
	f.runUntil(f.time.Now() + 2*time.Second)
	is.Equal(f.knowing(after), 0)
	f.step(late, Configure{Config: next})
	is.Equal(f.knowing(before), 0)
}

func TestOperatorsAreShownWhichRunItIs(t *testing.T) {
	is := is.New(t)
	config := todaysConfig(fleetfair.Policy)
	name := config.Backends[sortedKeys(config.Backends)[0]].Name
	f := newFleet(1, restarted(config, name, 0, 50), todaysHalls)
	f.runUntil(3 * time.Second)
	shown := map[string]uint64{}
	for _, n := range f.nodes {
		out := &wire.StatusResponse{}
		n.core.View(out)
		for _, b := range out.Backends {
			shown[b.Name] = b.BornMs
		}
	}
	is.Equal(len(shown), len(config.Backends))
	is.Equal(shown[name], uint64(50))
}
