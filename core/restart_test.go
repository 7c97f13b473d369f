package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/policy/promptaffinity"
	"github.com/tamarindstep/tamarindstep/wire"
)

// submitPrompt sends a request that is decided by its prompt.
func (f *fleet) submitPrompt(n *testRouter, account model.AccountID, tokens, output int) {
	f.nextID++
	id := f.nextID
	f.jobs[id] = &job{id: id, account: account, pool: model.Pool(assistant), output: float64(output), node: n, arrived: f.time.Now()}
	f.step(n, Arrive{
		ID: id, Account: account, Pool: model.Pool(assistant), Wait: time.Second,
		Prompt: model.Prompt{Tokens: tokens, Hint: output},
	})
}

// TestRestartedRouterCountsOnlyTheWindow restarts a router that gets requests before it receives the state of the
// fleet. What an account got since the fleet's start must not count for the current window of four seconds: the account
// would be refused as if it had used it all just now.
func TestRestartedRouterCountsOnlyTheWindow(t *testing.T) {
	const (
		tokens   = 1000
		output   = 20
		every    = 20 * time.Millisecond
		inWindow = 4 * float64(time.Second/every) * (tokens + 2*output)
	)
	is := is.New(t)
	f := newFleet(1, nineRouterConfig(promptaffinity.Policy), nineRouterHalls)
	account := model.Account(accountNames(1)[0])
	restarted := f.routers[4]
	for i := range 1500 {
		now := time.Duration(i) * every
		f.runUntil(now)
		switch now {
		case 24 * time.Second:
			f.kill(restarted)
		case 25 * time.Second:
			f.start(restarted)
		}
		n := f.routers[i%len(f.routers)]
		if now >= 25*time.Second {
			n = restarted
		}
		if !n.down {
			f.submitPrompt(n, account, tokens, output)
		}
		if now >= 25*time.Second {
			is.True(restarted.core.prompt.Usage(account).Requested < 1.2*inWindow)
		}
	}
	is.True(restarted.core.prompt.Usage(account).Requested > 0.8*inWindow)
}

// TestMovedRouterIsFoundAtOnce guards against a fleet that keeps sending to the earlier address of a router that was
// restarted at another one, and considers it dead.
func TestMovedRouterIsFoundAtOnce(t *testing.T) {
	t.Parallel()
	for _, routers := range []int{9, 59, 295} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) { checkMovedRouter(t, routers) })
	}
}

func checkMovedRouter(t *testing.T, routers int) {
	is := is.New(t)
	f := loadedFleet(routers, 9000)
	moved := f.routers[4]
	f.kill(moved)
	moved.moves++
	f.start(moved)
	f.runUntil(f.time.Now() + 8*time.Second) // before the VM list is read again
	for _, n := range f.routers {
		if n != moved {
			is.Equal(n.core.members.Get(moved.name).Address, moved.address())
			is.Equal(n.core.members.Get(moved.name).Status, wire.Status_STATUS_ALIVE)
			is.Equal(moved.core.members.Get(n.name).Status, wire.Status_STATUS_ALIVE)
		}
	}
}
