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
	// floodCallers open a connection for each request, floodPause after the previous answer, for floodTime.
	floodCallers = 1200
	floodPause   = 20 * time.Millisecond
	floodTime    = 12 * time.Second
	// floodEngines is large enough that the engines don't limit the rate.
	floodEngines = 10
	// busyLoops is the number of processes that share the router's only processor and leave it a tenth.
	busyLoops = 9
)

// maxEventWait is the longest wait of an event of the router's event loop, in seconds: callers need a decision within a
// quarter of their latency objective, which is 800 ms here. It is the histogram's first bucket bound above that.
const maxEventWait = 0.256

// TestPlatformEventLoopIsNotDelayedUnderOverload guards against starvation of the event loop: a router short of processor
// time made no decision for up to three seconds, while it accepted connections and refused the requests on them.
func TestPlatformEventLoopIsNotDelayedUnderOverload(t *testing.T) {
	p := newThrottledPlatform(t, floodEngines, users.Behaviour{Events: streamEvents, Gap: streamGap})
	served := flood(p, floodCallers, floodTime)
	late, all := countAbove(t, metricsOf(t, p.routers[0]), "tamarindstep_core_event_wait_seconds", maxEventWait)
	t.Logf("%d requests served; %.0f of %.0f events waited more than %v s", served, late, all, maxEventWait)
	if late > 0 {
		t.Log(linesOf("event waited for the decisions", p.routers[0].logFile))
	}
	p.is.True(served > 0)
	p.is.Equal(late, 0.0)
}

// newThrottledPlatform starts one router with a tenth of a processor, and a number of engines in addition to the usual ones.
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
	// shortEvents is the number of events of a stream, and shortEngines the number of engines, whose slots suffice for
	// many times the rate that the router can serve.
	shortEvents  = 8
	shortEngines = 60
	// overloadTime is the length of the overload.
	overloadTime = 8 * time.Second
	// counterDelay is the longest delay of the router's counters.
	counterDelay = 2 * time.Second
	// maxOrdinaryShare is the largest share of refusals that may cost as much as a served request, on connections set up as
	// ordinary ones: refusals may take a quarter of a router's processor time; without a limit they took three quarters.
	maxOrdinaryShare = 0.25
)

// TestPlatformOverloadIsRefusedCheaply guards against refusals that use up a small router's processor: all callers of one
// account reached it, and setting up each new connection to refuse its request left no processor time for the streams. The
// account got less than half of what the best served one did.
func TestPlatformOverloadIsRefusedCheaply(t *testing.T) {
	p := newThrottledPlatform(t, shortEngines, users.Behaviour{Events: shortEvents, Gap: streamGap})
	served := flood(p, floodCallers, overloadTime)
	time.Sleep(counterDelay)
	metrics := metricsOf(t, p.routers[0])
	ordinary := metricValue(t, metrics, `tamarindstep_callers_work_total{kind="refused_new"}`)
	sent := metricValue(t, metrics, `tamarindstep_callers_work_total{kind="sent"}`)
	refused := metricValue(t, metrics, `tamarindstep_refusals_total{code="queue-full"}`)
	t.Logf("%d served; %.0f requests sent, %.0f refused by their header, %.0f of them on connections set up as ordinary ones", served, sent, refused, ordinary)
	p.is.True(served > 0)
	p.is.True(refused > sent)
	p.is.True(ordinary <= maxOrdinaryShare*refused)
}

// runPinned runs a function so that the processes that it starts run only on the given processor.
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

// startBusyLoop starts a process that uses all processor time that it gets.
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

// flood runs a number of callers for a time, and returns how many requests were served.
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

// countAbove returns how many values of a histogram are above one of its bucket bounds, and their total number.
func countAbove(t *testing.T, metrics, name string, bound float64) (late, all float64) {
	t.Helper()
	all = metricValue(t, metrics, name+"_count")
	return all - metricValue(t, metrics, fmt.Sprintf("%s_bucket{le=\"%g\"}", name, bound)), all
}

// metricValue returns the value of a metric by its name and labels.
func metricValue(t *testing.T, metrics, key string) float64 {
	t.Helper()
	_, rest, ok := strings.Cut(metrics, "\n"+key+" ")
	if !ok {
		t.Fatal("no such metric: " + key)
	}
	text, _, _ := strings.Cut(rest, "\n")
	n, err := strconv.ParseFloat(text, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}
