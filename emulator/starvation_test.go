package emulator

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/policy/policies"
)

// coldStartOverload returns an experiment with empty prefix caches in which two accounts send eight times their
// normal load from the start: the largest through all routers, the second through a single one.
func coldStartOverload(seed uint64) Experiment {
	e := Default(policies.Find("prompt-affinity"))
	e.Routers, e.Engines, e.DataHalls = 24, 36, 4
	e.TokensPerSecond = 32_000 * float64(e.Engines)
	e.WarmUp, e.Length, e.Seed = 0, 8*time.Second, seed
	e.Load.Accounts, e.Load.Factor = 30, 2
	e.Load.HotAccounts, e.Load.HotFactor, e.Load.AlwaysHot = 2, 8, true
	e.Load.SingleRouterAccounts = []int{1}
	e.Load.Kinds = slices.Clone(e.Load.Kinds)
	for i := range e.Load.Kinds {
		e.Load.Kinds[i].SharedPrefixes *= 16
	}
	return e
}

// Limits of the load reports, in bytes per second: the one of the deployment (deploy/system.toml), and the one for
// the target size.
const (
	deployedBytesPerSecond = 100_000
	targetBytesPerSecond   = core.DefaultLoadsBytes
)

// heavyLoadFactor raises the load of coldStartOverload for all accounts, so that engines with empty caches can't
// serve the small accounts either.
const heavyLoadFactor = 1.5

// checkServiceRatios requires that each account that is backlogged for six seconds is served at least half of what it
// requested or of what the best served account got, in four runs.
func checkServiceRatios(t *testing.T, loadFactor, bytesPerSecond float64) {
	t.Helper()
	is := is.New(t)
	for seed := range uint64(4) {
		e := coldStartOverload(seed + 1)
		e.Load.Factor *= loadFactor
		e.LoadReportBytesPerSecond = bytesPerSecond
		r := Run(e)
		t.Logf("seed %d, %.0f B/s: minimum service ratio %.2f, worth %.2f", seed+1, bytesPerSecond, r.MinServiceRatio, r.Worth)
		is.True(r.MinServiceRatio >= 0.5)
	}
}

// TestNoStarvationAtColdStart guards against refusing an account at a single router for lack of room while other
// routers continue to dispatch.
func TestNoStarvationAtColdStart(t *testing.T) {
	checkServiceRatios(t, 1, targetBytesPerSecond)
	checkServiceRatios(t, 1, deployedBytesPerSecond)
}

func TestNoStarvationUnderHeavyLoad(t *testing.T) {
	checkServiceRatios(t, heavyLoadFactor, deployedBytesPerSecond)
}

// TestNoStarvationWithinTargetBandwidth repeats the check with a limit that delays load reports until they are out of
// date.
func TestNoStarvationWithinTargetBandwidth(t *testing.T) {
	checkServiceRatios(t, heavyLoadFactor, targetBytesPerSecond)
}

// busyRouterDecisions is the rate of requests that a router can process; the busiest router receives some 130 per
// second from the account that it alone serves.
const busyRouterDecisions = 20

// TestNobodyStarvesBehindABusyRouter guards against starvation of an account whose callers all connect to one small
// router. The router dispatched what its processor could handle and refused the rest by header; another account, sent
// by all 295 routers, continued to use idle capacity, mostly beyond its own share, and nothing limited that by what
// the first account could get. Over six seconds the first account got 0.46 of what the best served one got, though it
// requested 14 times what it got. The router's processor was at its limit throughout, and that of the next busiest at
// half of its own. In a similar run with all decisions logged, the router dispatched 140 requests per second within
// the share, refused 25 for lack of room and 1,500 by header, and it dispatched fewer with more than three times the
// queue places.
func TestNobodyStarvesBehindABusyRouter(t *testing.T) {
	is := is.New(t)
	lowest := 1.0
	for seed := range uint64(4) {
		e := coldStartOverload(seed + 1)
		e.LoadReportBytesPerSecond = deployedBytesPerSecond
		e.DecisionsPerSecond = busyRouterDecisions
		r := Run(e)
		t.Logf("seed %d: minimum service ratio %.2f, worth %.3f", seed+1, r.MinServiceRatio, r.Worth)
		lowest = min(lowest, r.MinServiceRatio)
	}
	is.True(lowest >= 0.5)
}

func TestMinServiceRatioComparesEachSecond(t *testing.T) {
	is := is.New(t)
	load := Load{Kinds: []Kind{{Objective: time.Second}}, Accounts: 2}
	s := newServiceRecorder(load)
	serve := func(second, account, requested, served int, late bool) {
		now := time.Duration(second) * time.Second
		for n := range requested {
			c := &call{account: account, firstToken: time.Millisecond}
			c.prompt.Tokens = 1000
			s.recordAttempt(now, c)
			if n < served {
				s.recordStart(now, c)
			}
			if late {
				s.recordBacklog(now, c)
			}
		}
	}
	for second := range fairnessWindow + 1 {
		serve(second, 0, 30, 20, false)
		serve(second, 1, 10, 4, true)
	}
	// Attainable were 10 in each of six seconds, less the three largest.
	is.Equal(s.minServiceRatio(), 24.0/57)
	s = newServiceRecorder(load)
	for second := range fairnessWindow + 1 {
		serve(second, 0, 30, 20, false)
		serve(second, 1, 10, 4, second != 3) // all served in time in one second
	}
	is.Equal(s.minServiceRatio(), 1.0)
}
