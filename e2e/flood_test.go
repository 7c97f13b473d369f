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
	floodFor     = 12 * time.Second
	// floodEngines are enough that none of them is what the flood waits for.
	floodEngines = 10
	// busyLoops share the router's only processor with it, so that it has a tenth.
	busyLoops = 9
)

// longestEventWait is how long the router's decisions may come late, in seconds: callers need one within a quarter of their
// objective, which is 800 ms here. It is the first bound of the histogram from there on.
const longestEventWait = 0.256

// TestPlatformFloodedRouterGoesOnDeciding is of a router that is short of processor time, and that made no decision for up to three
// seconds while it went on accepting connections and refusing what came on them.
func TestPlatformFloodedRouterGoesOnDeciding(t *testing.T) {
	var w *world
	onProcessor(t, 0, func() {
		w = newWorld(t, 1, "--processor", "0.1")
		for range busyLoops {
			loop(t)
		}
	})
	for i := range floodEngines {
		w.engines = append(w.engines, w.backend(fmt.Sprintf("engine-more-%d", i), "engines"))
	}
	w.behave(w.engines, users.Behaviour{Events: streamEvents, Gap: streamGap})
	served := flood(w)
	late, all := above(t, metricsOf(t, w.routers[0]), "tamarindstep_core_event_wait_seconds", longestEventWait)
	t.Logf("%d requests served; %.0f of %.0f events waited for over %v s", served, late, all, longestEventWait)
	w.is.True(served > 0)
	w.is.Equal(late, 0.0)
}

// onProcessor runs a function whose new processes run on one processor only.
func onProcessor(t *testing.T, n int, do func()) {
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
func loop(t *testing.T) {
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

// flood lets all callers ask, and returns how many requests were served.
func flood(w *world) int64 {
	var callers sync.WaitGroup
	var last, served atomic.Int64
	until := time.Now().Add(floodFor)
	body := strings.Repeat("x", streamBody)
	for range floodCallers {
		callers.Go(func() {
			for time.Now().Before(until) {
				r := users.Request{Method: "POST", Path: "/chat/1", Key: callerKey, ID: fmt.Sprintf("flood-%d", last.Add(1)), Body: body}
				if users.Call(w.routers[0].callers, r).Status == 200 {
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
func above(t *testing.T, metrics, name string, bound float64) (late, all float64) {
	t.Helper()
	value := func(key string) float64 {
		_, rest, ok := strings.Cut(metrics, name+key+" ")
		if !ok {
			t.Fatal("no metric " + name + key)
		}
		text, _, _ := strings.Cut(rest, "\n")
		n, err := strconv.ParseFloat(text, 64)
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	all = value("_count")
	return all - value(fmt.Sprintf("_bucket{le=\"%g\"}", bound)), all
}
