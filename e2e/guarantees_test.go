package e2e

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/tamarindstep/tamarindstep/internal/standin"
)

// concurrently runs a function n times at once, and waits until all calls have returned.
func concurrently(n int, do func(i int)) {
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() { do(i) })
	}
	all.Wait()
}

func TestStoreUnavailableAfterStart(t *testing.T) {
	is := check(t)
	f := newFleet(t, 3)
	f.store.SetFaults(standin.Faults{Unavailable: true})
	for i, r := range f.routers {
		id := fmt.Sprint("out-", i)
		got, err := f.stream(r, id, 5)
		is.NoErr(checkStream(id, 5, got, err))
		keyed := f.call(r, "/services/entries/waivers", `{}`, "Idempotency-Key", id, "X-Request-Id", "keyed-"+id)
		is.Equal(keyed.code, "claim-unavailable")
		is.True(keyed.notRun())
		is.Equal(f.runs("keyed-"+id), 0)
		hint := f.call(r, "/services/entries/hints", `{}`, "Idempotency-Key", "h"+id, "X-Request-Id", "hint-"+id)
		is.Equal(hint.status, http.StatusOK)
	}
}

func TestWholeAnswers(t *testing.T) {
	is := check(t)
	f := newFleet(t, 3)
	const streams, tokens = 200, 30
	failures := make([]error, streams)
	concurrently(streams, func(i int) {
		id := fmt.Sprint("whole-", i)
		got, err := f.stream(f.routers[i%3], id, tokens)
		failures[i] = checkStream(id, tokens, got, err)
	})
	is.NoErr(errors.Join(failures...))
}

func TestBrokenAnswersAreVisible(t *testing.T) {
	is := check(t)
	f := newFleet(t, 2)
	for _, e := range f.engines {
		e.SetFaults(standin.Faults{AbortAfter: 5})
	}
	got, err := f.stream(f.routers[0], "broken", 20)
	is.True(errors.Is(err, io.ErrUnexpectedEOF)) // a broken stream, not a regular end
	is.Equal(len(got), 5)
	whole := f.call(f.routers[1], "/v1/completions", `{"model":"once","max_tokens":9,"prompt":"x"}`, "X-Request-Id", "broken-whole")
	is.Equal(whole.code, "backend-broke")
	is.Equal(whole.outcome, "unknown")
	is.Equal(f.runs("broken-whole"), 1)
}

// TestRefusedAfterSendingIsUnknown guards against a request that was sent, broke off, and is reported as not run when it
// is refused while it waits for a retry.
func TestRefusedAfterSendingIsUnknown(t *testing.T) {
	is := check(t)
	f := newFleet(t, 1)
	for _, e := range f.engines {
		e.SetFaults(standin.Faults{AbortAfter: 1})
	}
	// It breaks off after 1.2 s, when its waiting time is over.
	a := f.call(f.routers[0], "/v1/completions", `{"model":"chat","max_tokens":600,"prompt":"x"}`,
		"X-Request-Id", "sent-before", "Tamarindstep-Wait", "1s")
	is.True(f.runs("sent-before") > 0)
	is.Equal(a.outcome, "unknown")
}

func TestNotRunMeansNotRun(t *testing.T) {
	is := check(t)
	f := newFleet(t, 2)
	faults := []standin.Faults{{Reset: "accept"}, {Reset: "read"}, {Unavailable: true}, {}}
	notRun := 0
	for round, fault := range faults {
		f.service.SetFaults(fault)
		for _, e := range f.engines {
			e.SetFaults(fault)
		}
		concurrently(12, func(i int) {
			id := fmt.Sprintf("point-%d-%d", round, i)
			path, body := "/services/entries/waivers", `{}`
			if i%2 == 0 {
				path, body = "/v1/completions", `{"model":"once","max_tokens":3,"prompt":"x"}`
			}
			a := f.call(f.routers[i%2], path, body, "X-Request-Id", id, "Tamarindstep-Wait", "2s")
			switch {
			case a.err != nil:
				t.Errorf("%s: no answer: %v", id, a.err)
			case a.notRun() && f.runs(id) != 0:
				t.Errorf("%s: refused as not run, but run %d times", id, f.runs(id))
			case f.runs(id) > 1:
				t.Errorf("%s: run %d times", id, f.runs(id))
			}
		})
	}
	closed := f.call(f.routers[0], "/v1/completions", `{"model":"none","prompt":"x"}`)
	if closed.notRun() {
		notRun++
	}
	is.Equal(notRun, 1)
}

// TestAtMostOnce guards against requests with an idempotency key that run twice: each key is sent through all routers at
// once and again afterwards, while the store loses answers, one router is paused and another killed.
func TestAtMostOnce(t *testing.T) {
	is := check(t)
	f := newFleet(t, 3)
	f.store.SetFaults(standin.Faults{LoseAnswers: 10, DelayMS: 5})
	const keys = 24
	succeeded := make([]int, keys)
	var mu sync.Mutex
	send := func(i int) {
		key := i % keys
		id := fmt.Sprint("once-", key)
		a := f.call(f.routers[i%3], "/services/entries/waivers", `{}`, "X-Request-Id", id, "Idempotency-Key", id)
		if a.status == http.StatusOK {
			mu.Lock()
			succeeded[key]++
			mu.Unlock()
		}
	}
	var freezing sync.WaitGroup
	freezing.Go(func() {
		time.Sleep(20 * time.Millisecond)
		f.signal(f.routers[1], syscall.SIGSTOP)
		time.Sleep(1500 * time.Millisecond)
		f.signal(f.routers[1], syscall.SIGCONT)
		f.kill(f.routers[2])
	})
	concurrently(3*keys, send)
	freezing.Wait()
	concurrently(2*keys, func(i int) { send(3 * i); send(3*i + 1) })
	for key := range keys {
		id := fmt.Sprint("once-", key)
		is.True(f.runs(id) <= 1)              // it runs at most once
		is.True(succeeded[key] <= 1)          // it is answered at most once
		is.True(succeeded[key] <= f.runs(id)) // and only if it was run
	}
}

func TestPlannedStopBreaksNoStream(t *testing.T) {
	is := check(t)
	f := newFleet(t, 3)
	const streams, tokens = 60, 200
	failures := make([]error, streams)
	var begun sync.WaitGroup
	begun.Add(1)
	go func() {
		defer begun.Done()
		concurrently(streams, func(i int) {
			id := fmt.Sprint("stop-", i)
			got, err := f.stream(f.routers[0], id, tokens)
			failures[i] = checkStream(id, tokens, got, err)
		})
	}()
	f.await("half of the streams to start", func() bool {
		sum := 0
		for i := range streams {
			sum += f.runs(fmt.Sprint("stop-", i))
		}
		return sum >= streams/2
	})
	f.signal(f.routers[0], syscall.SIGTERM)
	begun.Wait()
	for i, err := range failures {
		if err != nil && !strings.Contains(err.Error(), "draining") {
			t.Errorf("stream %d: %v", i, err)
		}
	}
	is.NoErr(<-f.routers[0].exited) // exit code 0
}

// TestPlannedStopWithIdleCaller guards against an idle connection that delays a planned stop.
func TestPlannedStopWithIdleCaller(t *testing.T) {
	is := check(t)
	f := newFleet(t, 1)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: maxWait}
	resp, err := client.Post("http://"+f.routers[0].callers+"/v1/completions", "application/json", strings.NewReader("{}"))
	is.NoErr(err)
	_, _ = io.Copy(io.Discard, resp.Body)
	is.NoErr(resp.Body.Close())
	f.signal(f.routers[0], syscall.SIGTERM)
	is.NoErr(<-f.routers[0].exited) // exit code 0
}

// TestPlannedStopAnswersRequestsAtItsEnd guards against a request that is in flight at the end of the time for a stop being
// cut without an answer: its caller is told that it may have run.
func TestPlannedStopAnswersRequestsAtItsEnd(t *testing.T) {
	t.Setenv("TAMARINDSTEP_DRAIN_SECONDS", "2")
	is := check(t)
	f := newFleet(t, 1)
	f.service.SetFaults(standin.Faults{DelayMS: 20_000})
	answered := make(chan answer, 1)
	go func() {
		answered <- f.call(f.routers[0], "/services/entries/waivers", "{}", "X-Request-Id", "at-the-end")
	}()
	f.await("the run", func() bool { return f.runs("at-the-end") > 0 })
	f.signal(f.routers[0], syscall.SIGTERM)
	got := <-answered
	is.NoErr(got.err)
	is.Equal(got.status, 502)
	is.Equal(got.outcome, "unknown")
	is.NoErr(<-f.routers[0].exited) // exit code 0
}

// TestRollingReplacement guards against requests that fail while all routers are replaced one by one under load. As behind
// a load balancer, a caller tries the next router if one refuses a request as not run or doesn't accept the connection.
func TestRollingReplacement(t *testing.T) {
	f := newFleet(t, 3)
	f.underLoad(8, f.streamAnywhere, func() {
		for _, r := range f.routers {
			f.signal(r, syscall.SIGTERM)
			if err := <-r.exited; err != nil {
				t.Errorf("%s: %v", r.name, err)
			}
			f.start(r)
			f.awaitReady(r)
			f.await("all routers live and ready", func() bool { return f.allReadyAt(r) })
		}
	})
}

// TestPolicySwapsLoseNothing guards against requests that are lost when the routing policy is changed under load.
func TestPolicySwapsLoseNothing(t *testing.T) {
	is := check(t)
	f := newFleet(t, 3)
	f.underLoad(120, f.streamOnce, func() { // more callers than slots, so that some requests wait
		generation := uint64(1)
		for _, policy := range []string{"static-split", "least-loaded", "fleet-fair", "least-loaded", "static-split", "fleet-fair"} {
			file := f.write("policy.yaml", f.configuration("")+"policy: "+policy+"\n")
			code, out := f.ctl(f.routers[0], "apply", file)
			is.Equal(code, 0)
			if code != 0 {
				t.Log(out)
			}
			generation++
			f.awaitGeneration(generation)
			time.Sleep(300 * time.Millisecond) // serve some requests with the policy
		}
	})
}

// underLoad runs a function while a number of callers send streaming requests to all routers. Each request must get a
// complete answer.
func (f *fleet) underLoad(callers int, send func(first int, id string) error, do func()) {
	stop := make(chan struct{})
	var load sync.WaitGroup
	for w := range callers {
		load.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("load-%d-%d", w, i)
				if err := send(w, id); err != nil {
					f.t.Errorf("%s: %v", id, err)
				}
			}
		})
	}
	do()
	close(stop)
	load.Wait()
}

// streamOnce sends a streaming request to one router; a refusal is an error.
func (f *fleet) streamOnce(at int, id string) error {
	const tokens = 20
	got, err := f.stream(f.routers[at%len(f.routers)], id, tokens)
	return checkStream(id, tokens, got, err)
}

// streamAnywhere sends a streaming request to one router after another until one accepts it.
func (f *fleet) streamAnywhere(first int, id string) error {
	const tokens = 20
	var err error
	for i := range 60 {
		r := f.routers[(first+i)%len(f.routers)]
		var got []string
		got, err = f.stream(r, id, tokens)
		if err == nil {
			return checkStream(id, tokens, got, nil)
		}
		refused := strings.Contains(err.Error(), "not-run") || errors.Is(err, syscall.ECONNREFUSED)
		if !refused {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
	return err
}

func TestLeavingBackendGetsNothingNew(t *testing.T) {
	is := check(t)
	f := newFleet(t, 2)
	f.service.SetFaults(standin.Faults{Leaving: true})
	f.await("the report of leaving", func() bool {
		for _, b := range f.status(f.routers[0]).Backends {
			if b.Name == "entries-1" && b.Leaving {
				return true
			}
		}
		return false
	})
	for i, r := range f.routers {
		id := fmt.Sprint("leaving-", i)
		a := f.call(r, "/services/entries/waivers", `{}`, "X-Request-Id", id, "Tamarindstep-Wait", "1s")
		is.Equal(a.code, "wait-exceeded")
		is.True(a.notRun())
		is.Equal(f.runs(id), 0)
	}
}

func TestConfigurationNeverReverts(t *testing.T) {
	is := check(t)
	f := newFleet(t, 3)
	// Of concurrent applies on one base generation, one is accepted.
	codes := make([]int, 6)
	concurrently(len(codes), func(i int) {
		file := f.write(fmt.Sprintf("race-%d.yaml", i), f.configuration(fmt.Sprintf("    limits: {queue: %d}\n", 1000+i)))
		codes[i], _ = f.ctl(f.routers[i%3], "apply", file, "--base", "1")
	})
	accepted := 0
	for _, code := range codes {
		if code == 0 {
			accepted++
		} else {
			is.Equal(code, 3) // conflict: another was accepted first
		}
	}
	is.Equal(accepted, 1)
	// The answer to the compare-and-swap is lost, and the apply is still accepted.
	f.store.SetFaults(standin.Faults{LoseAnswers: 1})
	code, out := f.ctl(f.routers[1], "apply", f.write("lost.yaml", f.configuration("    limits: {queue: 77}\n")))
	is.Equal(code, 0)
	is.True(strings.Contains(out, "generation 3 "))
	f.awaitGeneration(3)
	// While the store is unavailable, a restarted router gets the configuration from the others.
	f.store.SetFaults(standin.Faults{Unavailable: true})
	f.kill(f.routers[2])
	f.start(f.routers[2])
	f.awaitReady(f.routers[2])
	f.awaitGeneration(3)
	code, text := f.ctl(f.routers[2], "get")
	is.Equal(code, 0)
	is.True(strings.Contains(text, "queue: 77"))
	// An apply can't be accepted then, and reports that nothing was applied.
	code, _ = f.ctl(f.routers[0], "apply", f.write("out.yaml", f.configuration("    limits: {queue: 78}\n")))
	is.Equal(code, 4)
	f.awaitGeneration(3)
}

// TestAppliesAtDifferentRoutersFollowEachOther guards against an apply that ends as a conflict though no other one came
// between: the router hadn't received the configuration that another one had just accepted, and named an old base.
func TestAppliesAtDifferentRoutersFollowEachOther(t *testing.T) {
	is := check(t)
	f := newFleet(t, 3)
	for i := range 30 {
		file := f.write(fmt.Sprintf("next-%d.yaml", i), f.configuration(fmt.Sprintf("    limits: {queue: %d}\n", 1000+i)))
		code, out := f.ctl(f.routers[i%3], "apply", file)
		is.Equal(code, 0)
		is.True(strings.Contains(out, fmt.Sprintf("generation %d ", i+2)))
	}
}

func (f *fleet) awaitGeneration(generation uint64) {
	f.t.Helper()
	f.await(fmt.Sprint("generation ", generation, " at all routers"), func() bool {
		all := f.status(f.routers[0]).Routers
		for _, r := range all {
			if r.Generation != generation {
				return false
			}
		}
		return len(all) == len(f.routers)
	})
}
