package e2e

import (
	"fmt"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/tamarindstep/tamarindstep/internal/standin/users"
)

const (
	// floodCallers make a connection for each request, floodPause after the answer before, for floodFor.
	floodCallers = 1200
	floodPause   = 20 * time.Millisecond
	floodTime    = 12 * time.Second
	// floodEngines are enough that none of them is what the flood waits for.
	floodEngines = 10
	// busyLoops share the router's only processor with it, so that it has a tenth.
	busyLoops = 9
)

// longestEventWait is how long the router's decisions may come late, in seconds: callers need one within a quarter of their
// objective, which is 800 ms here. It is the first bound of the histogram from there on.
const maxEventWait = 0.256

// TestPlatformFloodedRouterGoesOnDeciding is of a router that is short of processor time, and that made no decision for up to three
// seconds while it went on accepting connections and refusing what came on them.
func TestPlatformEventLoopIsNotDelayedUnderOverload(t *testing.T) {
	p := newThrottledPlatform(t, floodEngines, users.Behaviour{Events: streamEvents, Gap: streamGap})
	served := flood(p, floodCallers, floodTime)
	late, all := countAbove(t, metricsOf(t, p.routers[0]), "tamarindstep_core_event_wait_seconds", maxEventWait)
	t.Logf("%d requests served; %.0f of %.0f events waited for over %v s", served, late, all, maxEventWait)
	p.is.True(served > 0)
	p.is.Equal(late, 0.0)
}

// shortOfProcessor starts one router, which has a tenth of a processor, before so many engines beside the usual ones.
func newThrottledPlatform(t *testing.T, engines int, behaviour users.Behaviour) *platform {
	t.Helper()
	var p *platform
	runPinned(t, 0, func() {
		p = newPlatform(t, 1, "--processor", "0.1")
		for range busyLoops {
			startBusyLoop(t)
		}
	})
	for i := range engines {
		p.engines = append(p.engines, p.backend(fmt.Sprintf("engine-more-%d", i), "engines"))
	}
	p.behave(p.engines, behaviour)
	return p
}

const (
	// shortEvents is the length of what the crowd's callers get, and shortEngines have places for many times what the router can serve.
	shortEvents  = 8
	shortEngines = 60
	// crowdFor is how long the crowd asks.
	overloadTime = 8 * time.Second
	// countedWithin is how soon the router's counters tell of what it has done.
	counterDelay = 2 * time.Second
	// ordinaryPart is the part of what is refused that may cost what a connection that is served costs: refusing is to take no
	// more than a quarter of a router's processor, of which it took three quarters.
	maxOrdinaryShare = 0.25
)

// TestPlatformCrowdIsRefusedAtTheDoor is of an account all of whose callers reached one small router, and that got less than half of
// what the best served one did: taking each new connection and refusing what came on it left no processor to the streams of the others.
func TestPlatformOverloadIsRefusedCheaply(t *testing.T) {
	p := newThrottledPlatform(t, shortEngines, users.Behaviour{Events: shortEvents, Gap: streamGap})
	served := flood(p, floodCallers, overloadTime)
	time.Sleep(counterDelay)
	metrics := metricsOf(t, p.routers[0])
	ordinary := metricValue(t, metrics, `tamarindstep_callers_work_total{kind="refused_new"}`)
	sent := metricValue(t, metrics, `tamarindstep_callers_work_total{kind="sent"}`)
	refused := metricValue(t, metrics, `tamarindstep_refusals_total{code="queue-full"}`)
	t.Logf("%d served; %.0f requests sent, %.0f refused by their header, %.0f of them on connections that were taken for them", served, sent, refused, ordinary)
	p.is.True(served > 0)
	p.is.True(refused > sent)
	p.is.True(ordinary <= maxOrdinaryShare*refused)
}

// onProcessor runs a function whose new processes run on one processor only.
func runPinned(t *testing.T, n int, do func()) {
	t.Helper()
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var before, only unix.CPUSet
	if err := unix.SchedGetaffinity(0, &before); err != nil {
		t.Fatal(err)
	}
	only.Set(n)
	if err := unix.SchedSetaffinity(0, &only); err != nil {
		t.Fatal(err)
	}
	do()
	if err := unix.SchedSetaffinity(0, &before); err != nil {
		t.Fatal(err)
	}
}

// loop starts a process that uses whatever it gets of a processor.
func startBusyLoop(t *testing.T) {
	t.Helper()
	c := exec.Command("sh", "-c", "while :; do :; done")
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = c.Process.Kill()
		_ = c.Wait()
	})
}

// flood lets so many callers ask for so long, and returns how many requests were served.
func flood(p *platform, number int, duration time.Duration) int64 {
	var callers sync.WaitGroup
	var last, served atomic.Int64
	until := time.Now().Add(duration)
	body := strings.Repeat("x", streamBody)
	for range number {
		callers.Go(func() {
			for time.Now().Before(until) {
				r := users.Request{Method: "POST", Path: "/chat/1", Key: callerKey, ID: fmt.Sprintf("flood-%d", last.Add(1)), Body: body}
				if users.Call(p.routers[0].callers, r).Status == 200 {
					served.Add(1)
				}
				time.Sleep(floodPause)
			}
		})
	}
	callers.Wait()
	return served.Load()
}

// above returns how many values of a histogram are above one of its bounds, and how many there are.
func countAbove(t *testing.T, metrics, name string, bound float64) (late, all float64) {
	t.Helper()
	all = metricValue(t, metrics, name+"_count")
	return all - metricValue(t, metrics, fmt.Sprintf("%s_bucket{le=\"%g\"}", name, bound)), all
}

// metric returns the value of a metric by its name and labels.
func metricValue(t *testing.T, metrics, key string) float64 {
	t.Helper()
	_, rest, ok := strings.Cut(metrics, "\n"+key+" ")
	if !ok {
		t.Fatal("no metric " + key)
	}
	text, _, _ := strings.Cut(rest, "\n")
	n, err := strconv.ParseFloat(text, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}
