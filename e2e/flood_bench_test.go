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
	// busyLoops share the router's only processor with it, so that it has a fifth.
	busyLoops = 4
)

// BenchmarkPlatformFlood floods a router that has a fifth of one processor, and reports how late its decisions
// come: what callers need is one within a quarter of the shortest objective.
func BenchmarkPlatformFlood(b *testing.B) {
	for range b.N {
		var w *world
		onProcessor(b, 0, func() {
			w = newWorld(b, 1, "--processor", "0.19")
			for range busyLoops {
				loop(b)
			}
		})
		for i := range floodEngines {
			w.engines = append(w.engines, w.backend(fmt.Sprintf("engine-more-%d", i), "engines"))
		}
		w.behave(w.engines, users.Behaviour{Events: streamEvents, Gap: streamGap})
		served := flood(w)
		text := metricsOf(b, w.routers[0])
		b.ReportMetric(largestBucket(b, text, "tamarindstep_core_event_wait_seconds"), "s-longest-wait")
		b.ReportMetric(largestBucket(b, text, "tamarindstep_core_step_duration_seconds"), "s-longest-step")
		b.ReportMetric(float64(served), "served")
	}
}

// onProcessor runs a function whose new processes run on one processor only.
func onProcessor(b *testing.B, n int, do func()) {
	b.Helper()
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var before, only unix.CPUSet
	if err := unix.SchedGetaffinity(0, &before); err != nil {
		b.Fatal(err)
	}
	only.Set(n)
	if err := unix.SchedSetaffinity(0, &only); err != nil {
		b.Fatal(err)
	}
	do()
	if err := unix.SchedSetaffinity(0, &before); err != nil {
		b.Fatal(err)
	}
}

// loop starts a process that uses whatever it gets of a processor.
func loop(b *testing.B) {
	b.Helper()
	c := exec.Command("sh", "-c", "while :; do :; done")
	if err := c.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
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

// largestBucket returns the bound of the bucket that holds a histogram's largest values.
func largestBucket(b *testing.B, metrics, name string) float64 {
	b.Helper()
	var largest, before float64
	for line := range strings.Lines(metrics) {
		rest, ok := strings.CutPrefix(line, name+`_bucket{le="`)
		if !ok {
			continue
		}
		bound, count, _ := strings.Cut(strings.TrimSpace(rest), `"} `)
		n, err := strconv.ParseFloat(count, 64)
		if err != nil {
			b.Fatal(err)
		}
		at, err := strconv.ParseFloat(bound, 64)
		if err != nil {
			b.Fatal(err)
		}
		if n > before {
			largest, before = at, n
		}
	}
	return largest
}
