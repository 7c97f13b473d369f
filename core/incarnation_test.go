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

// restarted returns the configuration with another incarnation of a backend server.
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

// TestRestartedBackendServerHasNoCachedPrompts guards against prompts being considered cached by a backend server that
// has been restarted under the same name.
func TestRestartedBackendServerHasNoCachedPrompts(t *testing.T) {
	is := is.New(t)
	config := nineRouterConfig(promptaffinity.Policy)
	only := sortedKeys(config.Backends)[0]
	one := *config
	one.Backends = map[model.BackendID]Backend{only: config.Backends[only]}
	c := New(0, member.Member{Name: "router-1", Boot: 1}, 1)
	account := model.Account(accountNames(1)[0])
	last := RequestID(0)
	unreadTokens := func(now model.Time) int {
		last++
		arrive := Arrive{
			ID: last, Account: account, Pool: one.Backends[only].Pool, Wait: time.Second,
			Prompt: model.Prompt{Tokens: 1000, Hint: 10, Parts: []model.Part{{ID: 5, Tokens: 900}, {ID: 6, Tokens: 100}}},
		}
		for _, a := range c.Step(now, arrive) {
			if d, ok := a.(Dispatch); ok {
				c.Step(now+time.Second, Began{ID: last})
				c.Step(now+2*time.Second, Finish{ID: last, Ending: Done})
				return d.Basis.PrefillTokens
			}
		}
		return -1
	}
	c.Step(0, Configure{Config: &one})
	is.Equal(unreadTokens(time.Second), 1000)
	is.Equal(unreadTokens(10*time.Second), 0)
	next := restarted(&one, one.Backends[only].Name, 0, 50)
	c.Step(20*time.Second, Configure{Config: next})
	is.Equal(unreadTokens(21*time.Second), 1000)
	is.Equal(unreadTokens(30*time.Second), 0)
	c.Step(40*time.Second, Configure{Config: restarted(next, one.Backends[only].Name, 50, 40)}) // its clock was set back
	is.Equal(unreadTokens(41*time.Second), 1000)
}

// TestLateReportsDontCountForNextIncarnation makes a router that hasn't received a restart send to the earlier
// incarnation and report that to the others: none may count it for the new one.
func TestLateReportsDontCountForNextIncarnation(t *testing.T) {
	is := is.New(t)
	f := loadedFleet(9, 60_000)
	outdated := f.routers[3]
	before := f.sendOne(outdated)
	name := f.config.Backends[before].Name
	f.runUntil(f.time.Now() + time.Second)
	is.Equal(f.routersWithLoad(before), 9)
	next := restarted(f.config, name, 0, 50)
	after := model.Incarnation{Name: name, Born: 50}.Backend()
	for _, n := range f.routers {
		if n != outdated {
			f.step(n, Configure{Config: next})
		}
	}
	f.runUntil(f.time.Now() + 2*time.Second)
	is.Equal(f.routersWithLoad(after), 0)
	is.Equal(f.routersWithLoad(before), 1) // at the router with the earlier configuration
	for range 20 {
		f.sendOne(outdated)
	}
	f.runUntil(f.time.Now() + 2*time.Second)
	is.Equal(f.routersWithLoad(after), 0)
	f.step(outdated, Configure{Config: next})
	is.Equal(f.routersWithLoad(before), 0)
}

func TestStatusShowsIncarnation(t *testing.T) {
	is := is.New(t)
	config := nineRouterConfig(fleetfair.Policy)
	name := config.Backends[sortedKeys(config.Backends)[0]].Name
	f := newFleet(1, restarted(config, name, 0, 50), nineRouterHalls)
	f.runUntil(3 * time.Second)
	born := map[string]uint64{}
	for _, n := range f.routers {
		out := &wire.StatusResponse{}
		n.core.View(out)
		for _, b := range out.Backends {
			born[b.Name] = b.BornMs
		}
	}
	is.Equal(len(born), len(config.Backends))
	is.Equal(born[name], uint64(50))
}
