package core

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/tamarindstep/tamarindstep/core/prompt"
	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/policy/promptaffinity"
	"github.com/tamarindstep/tamarindstep/wire"
)

// loadedFleet returns a fleet of so many routers that decide by prompt and know each
// other.
func loadedFleet(routers int, bytesPerSecond float64) *fleet {
	var halls []string
	for i := range routers {
		halls = append(halls, fmt.Sprintf("hall-%d", i%3))
	}
	f := newFleet(1, todaysConfig(promptaffinity.Policy), halls)
	for _, n := range f.nodes {
		n.core.LimitLoads(bytesPerSecond)
	}
	f.runUntil(10 * time.Second)
	return f
}

// knowing returns how many routers know of a request that runs at a backend server.
func (f *fleet) knowing(id model.BackendID) int {
	out := 0
	for _, n := range f.nodes {
		if n.core.prompt.Running(id) > 0 {
			out++
		}
	}
	return out
}

// sendOne lets a router send a request, and returns where it was sent.
func (f *fleet) sendOne(n *node) model.BackendID {
	var to model.BackendID
	f.dispatched = func(j *job) { to = j.backend }
	f.submitPrompt(n, model.Account(accountNames(1)[0]), 1000, 1000)
	return to
}

// TestLoadsReachEveryRouterInTwoHops lets one router of 59 send a request: all others
// know of it when two exchanges have passed. The first hop is a message to each neighbour,
// and no router is told by more than a row and a column.
func TestLoadsReachEveryRouterInTwoHops(t *testing.T) {
	is := is.New(t)
	f := loadedFleet(59, 60_000)
	to := f.sendOne(f.nodes[20])
	told, first := 0, 0
	f.tamper = func(d *wire.Datagram) *wire.Datagram {
		if slices.ContainsFunc(d.Loads, func(l *wire.Loads) bool { return len(l.Backends) > 0 }) {
			told++
			if d.From == f.nodes[20].name {
				first++
			}
		}
		return d
	}
	f.runUntil(f.time.Now() + 2*loadsEvery + 20*time.Millisecond)
	is.Equal(f.knowing(to), 59)
	is.True(first <= 2*8) // its row and its column, of rows of eight
	is.True(told < 2*59)  // each is told once, some by two
}

// TestAmountsOutliveDeadRouters kills the routers through which the ledger's tree leads.
// What an account asks for right after that is known at all others within two exchanges:
// an account that gets ahead meanwhile would else not be held back for seconds.
func TestAmountsOutliveDeadRouters(t *testing.T) {
	is := is.New(t)
	f := loadedFleet(59, 60_000)
	account := model.Account(accountNames(1)[0])
	f.sendOne(f.nodes[20])
	f.runUntil(f.time.Now() + time.Second)
	for _, m := range f.nodes[20].core.members.Running()[:3] {
		if m.Name != f.nodes[20].name {
			f.kill(f.byName[m.Name])
		}
	}
	before := f.nodes[20].core.prompt.Amounts(account).Asked
	for range 20 {
		f.sendOne(f.nodes[20])
	}
	asked := f.nodes[20].core.prompt.Amounts(account).Asked
	is.True(asked > before)
	f.runUntil(f.time.Now() + 2*loadsEvery + 20*time.Millisecond)
	know := 0
	for _, n := range f.nodes {
		if !n.down && n.core.prompt.Amounts(account).Asked > 0.9*asked {
			know++
		}
	}
	is.True(know > 40) // all but what the dead ones should have handed on
}

// TestTurnedAwayCountsAsAsked refuses requests before the core is asked: what the account
// wanted must be known at the other routers all the same. It would else seem to be content
// with what it gets, and the others' shares would be worked out without it.
func TestTurnedAwayCountsAsAsked(t *testing.T) {
	is := is.New(t)
	f := loadedFleet(9, 60_000)
	account := model.Account(accountNames(1)[0])
	turned := TurnedAway{Account: account, Pool: model.Pool(assistant), Prompt: model.Prompt{Tokens: 1000, Hint: 100}}
	for range 50 {
		f.step(f.nodes[3], turned)
	}
	f.runUntil(f.time.Now() + 2*loadsEvery + 20*time.Millisecond)
	for _, n := range f.nodes {
		is.Equal(n.core.prompt.Amounts(account), prompt.Amounts{Asked: 50 * 1200})
		is.True(n.core.prompt.Idle())
	}
}

// TestLostWordIsSaidAgain loses all that routers tell each other for a while: what is
// told once more when it has settled makes up for it.
func TestLostWordIsSaidAgain(t *testing.T) {
	is := is.New(t)
	f := loadedFleet(9, 60_000)
	f.tamper = func(d *wire.Datagram) *wire.Datagram {
		d.Loads = nil
		return d
	}
	to := f.sendOne(f.nodes[4])
	f.runUntil(f.time.Now() + 300*time.Millisecond)
	is.Equal(f.knowing(to), 1)
	f.tamper = nil
	f.runUntil(f.time.Now() + loadsRepeat)
	is.Equal(f.knowing(to), 9)
}

// TestLoadsKeepToTheirBytes lets each router of 40 send often: what is told stays
// within the bytes allowed.
func TestLoadsKeepToTheirBytes(t *testing.T) {
	const allowed = 9000
	is := is.New(t)
	f := loadedFleet(40, allowed)
	sent := map[string]float64{}
	f.tamper = func(d *wire.Datagram) *wire.Datagram {
		if len(d.Loads) > 0 {
			sent[d.From] += datagramOverhead
		}
		for _, l := range d.Loads {
			sent[d.From] += float64(proto.Size(l))
		}
		return d
	}
	const seconds = 10
	begin := f.time.Now()
	for i := range seconds * 200 {
		f.runUntil(begin + time.Duration(i)*5*time.Millisecond)
		f.submitPrompt(f.nodes[i%len(f.nodes)], model.Account(accountNames(1)[0]), 1000, 20)
	}
	is.Equal(len(sent), 40)
	for _, bytes := range sent {
		is.True(bytes > allowed*seconds/3)
		is.True(bytes < allowed*seconds*1.5) // one exchange may go beyond
	}
}
