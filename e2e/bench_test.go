package e2e

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tamarindstep/tamarindstep/internal/standin"
)

// benchRuns is the number of measurements of each time.
const benchRuns = 7

func printTimes(what string, times []time.Duration) {
	slices.Sort(times)
	fmt.Printf("%-52s median %8.0f ms, worst %8.0f ms, %d runs\n", what,
		times[len(times)/2].Seconds()*1e3, times[len(times)-1].Seconds()*1e3, len(times))
}

// generationOf returns the configuration generation in force, from a router's metrics; "" if they can't be read.
func generationOf(r *router) string {
	resp, err := http.Get("http://" + r.admin + "/metrics")
	if err != nil {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	text, _ := io.ReadAll(resp.Body)
	_, rest, _ := strings.Cut(string(text), "\ntamarindstep_generation ")
	value, _, _ := strings.Cut(rest, "\n")
	return value
}

// timeApply applies a configuration and returns the time until it is in force at all routers.
func (f *fleet) timeApply(queue int) time.Duration {
	file := f.write("bench.yaml", f.configuration(fmt.Sprintf("    limits: {queue: %d}\n", queue)))
	began := time.Now()
	code, out := f.ctl(f.routers[0], "apply", file, "-o", "json")
	if code != 0 {
		f.t.Fatal(out)
	}
	_, rest, _ := strings.Cut(out, `"generation": `)
	generation, _, _ := strings.Cut(rest, ",")
	for _, r := range f.routers {
		f.await(r.name, func() bool { return generationOf(r) == generation })
	}
	return time.Since(began)
}

func BenchmarkApply(b *testing.B) {
	f := newFleet(b, 9)
	for range b.N {
		var times []time.Duration
		for i := range benchRuns {
			times = append(times, f.timeApply(100+i))
		}
		printTimes("apply until in force at nine routers", times)
	}
	cut := f.routers[8]
	cut.noStore = true
	f.kill(cut)
	f.start(cut)
	f.awaitReady(cut)
	for range b.N {
		var times []time.Duration
		for i := range benchRuns {
			times = append(times, f.timeApply(200+i))
		}
		printTimes("the same, one router cut off from the store", times)
	}
}

func BenchmarkClaims(b *testing.B) {
	f := newFleet(b, 3)
	for range b.N {
		const length = 5 * time.Second
		before := f.store.Calls()
		var done, failed atomic.Int64
		var mu sync.Mutex
		var times []time.Duration
		end := time.Now().Add(length)
		concurrently(200, func(w int) {
			for i := 0; time.Now().Before(end); i++ {
				key := fmt.Sprintf("claims-%d-%d", w, i)
				began := time.Now()
				a := f.call(f.routers[w%3], "/services/entries/waivers", `{}`, "Idempotency-Key", key, "X-Request-Id", key)
				if a.status != http.StatusOK {
					failed.Add(1)
					continue
				}
				done.Add(1)
				mu.Lock()
				times = append(times, time.Since(began))
				mu.Unlock()
			}
		})
		after := f.store.Calls()
		fmt.Printf("claims: %.0f/s, %d failed; store writes %.1f/s, reads %.1f/s\n",
			float64(done.Load())/length.Seconds(), failed.Load(),
			float64(after.Writes-before.Writes)/length.Seconds(), float64(after.Reads-before.Reads)/length.Seconds())
		printTimes("keyed request, 200 at once", times)
	}
}

func BenchmarkLeaving(b *testing.B) {
	f := newFleet(b, 3)
	for range b.N {
		var times []time.Duration
		for run := range benchRuns {
			times = append(times, f.timeLeaving(run))
			f.service.SetFaults(standin.Faults{})
			f.await("the server's return", func() bool {
				return f.call(f.routers[0], "/services/entries/waivers", `{}`, "Tamarindstep-Wait", "1s").status == http.StatusOK
			})
		}
		printTimes("own report of leaving until the last new request", times)
	}
}

// timeLeaving makes the service report that it is leaving while it is under load, and returns the time from then until
// the last request that was sent to it.
func (f *fleet) timeLeaving(run int) time.Duration {
	began := time.Now()
	f.service.SetFaults(standin.Faults{Leaving: true})
	end := began.Add(4 * time.Second)
	var last atomic.Int64
	concurrently(6, func(w int) {
		for i := 0; time.Now().Before(end); i++ {
			id := fmt.Sprintf("leave-%d-%d-%d", run, w, i)
			sent := time.Now()
			a := f.call(f.routers[w%3], "/services/entries/waivers", `{}`, "X-Request-Id", id, "Tamarindstep-Wait", "200ms")
			if a.status == http.StatusOK {
				last.Store(max(last.Load(), int64(sent.Sub(began))))
			}
		}
	})
	return time.Duration(last.Load())
}
