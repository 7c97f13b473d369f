package emulator

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/policy/policies"
)

// hotStart is a fleet whose engines have read nothing, before accounts two of which send
// eight times their usual from the first moment: the largest from everywhere, the second
// through one router.
func hotStart(seed uint64) Experiment {
	e := Default(policies.Find("prompt-affinity"))
	e.Routers, e.Engines, e.Halls = 24, 36, 4
	e.TokensPerSecond = 32_000 * float64(e.Engines)
	e.WarmUp, e.Length, e.Seed = 0, 8*time.Second, seed
	e.Load.Accounts, e.Load.Factor = 30, 2
	e.Load.Hot, e.Load.HotFactor, e.Load.HotAtOnce = 2, 8, true
	e.Load.AtOneRouter = []int{1}
	e.Load.Kinds = slices.Clone(e.Load.Kinds)
	for i := range e.Load.Kinds {
		e.Load.Kinds[i].Things *= 16
	}
	return e
}

// The bytes a second that routers are told of each other's requests: on the users' platform
// (deploy/system.toml), and what the target size leaves for it.
const (
	deployedBytes = 100_000
	targetsBytes  = core.DefaultLoadsBytes
)

// heavy is half as much again from everybody as hotStart, so that engines that have read
// nothing can't serve the small accounts either.
const heavy = 1.5

// nobodyStarves wants each account that waits all through to get half of what it asked for,
// or of what the best served one got, in every six seconds of four runs.
func nobodyStarves(t *testing.T, load, bytes float64) {
	t.Helper()
	is := is.New(t)
	for seed := range uint64(4) {
		e := hotStart(seed + 1)
		e.Load.Factor *= load
		e.LoadsBytes = bytes
		r := Run(e)
		t.Logf("seed %d, %.0f bytes a second: least part %.2f, worth %.2f", seed+1, bytes, r.LeastPart, r.Worth)
		is.True(r.LeastPart >= 0.5)
	}
}

// TestNobodyStarvesAtAColdStart is of an account at one router that was refused for lack of
// room while the other routers went on sending.
func TestNobodyStarvesAtAColdStart(t *testing.T) {
	nobodyStarves(t, 1, targetsBytes)
	nobodyStarves(t, 1, deployedBytes)
}

func TestNobodyStarvesUnderHeavyLoad(t *testing.T) { nobodyStarves(t, heavy, deployedBytes) }

// TestNobodyStarvesWithinTheTargetsBytes is the same where load reports get old, as they
// must wait for their bytes.
func TestNobodyStarvesWithinTheTargetsBytes(t *testing.T) { nobodyStarves(t, heavy, targetsBytes) }

// busyRouter is how many requests a second the busiest router has the processor for, of some 130
// that come to it from the account it alone serves.
const busyRouter = 20

// TestNobodyStarvesBehindABusyRouter tells an incident. Seen: over six seconds one account got 0.46
// of what the best served one got, though it asked for 14 times as much as it got. How it came about:
// all its callers reached one router, one of the small ones. Cause: that router sent what its processor
// is enough for and refused the rest by its header, while the other account, sent by all 295 routers,
// went on beginning what idled, most of it beyond its own share; nothing bounded that by what the
// account behind the busy router could get. Proof: that router's processor was at its limit all the
// while, and the next busiest at half of its own. In a run of the like with every decision logged the
// router sent 140 requests a second within the share, refused 25 for want of room and 1,500 by their
// header, and with more than three times the places for requests that wait it sent fewer.
func TestNobodyStarvesBehindABusyRouter(t *testing.T) {
	is := is.New(t)
	least := 1.0
	for seed := range uint64(4) {
		e := hotStart(seed + 1)
		e.LoadsBytes = deployedBytes
		e.Decides = busyRouter
		r := Run(e)
		t.Logf("seed %d: least part %.2f, worth %.3f", seed+1, r.LeastPart, r.Worth)
		least = min(least, r.LeastPart)
	}
	is.True(least >= 0.5)
}

func TestLeastPartComparesSecondBySecond(t *testing.T) {
	is := is.New(t)
	load := Load{Kinds: []Kind{{Objective: time.Second}}, Accounts: 2}
	s := newService(load)
	serve := func(second, account, asked, got int, late bool) {
		now := time.Duration(second) * time.Second
		for n := range asked {
			c := &call{account: account, first: time.Millisecond}
			c.prompt.Tokens = 1000
			s.ask(now, c)
			if n < got {
				s.begin(now, c)
			}
			if late {
				s.wait(now, c)
			}
		}
	}
	for second := range fairWindow + 1 {
		serve(second, 0, 30, 20, false)
		serve(second, 1, 10, 4, true)
	}
	// It might have had 10 in each of six seconds, less its three largest.
	is.Equal(s.leastPart(), 24.0/57)
	s = newService(load)
	for second := range fairWindow + 1 {
		serve(second, 0, 30, 20, false)
		serve(second, 1, 10, 4, second != 3) // all served in time in one second
	}
	is.Equal(s.leastPart(), 1.0)
}
