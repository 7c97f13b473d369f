package e2e

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/tamarindstep/tamarindstep/internal/standin/users"
)

// What was seen: on the league's nine routers and nine engines, 14 engines ended under one
// request within a day; ten of its sends came later than a router needs to hear of the third end.
//
// How it came about: the request ended each engine within a tenth of a second of beginning to
// run there. Its caller sent it again, with the same path, account and body, under another id and
// to another router; the engines came back after some seconds, under other names.
//
// Cause: each send was the first one that anybody knew of. A router judged the backend server that
// broke off, never the request under which it had, and told nobody.
//
// Proof: the test below sends such requests to routers in turn, and fails on a fleet that keeps
// no account of them; the runs that the backend servers have noted tell how often.

const (
	// lethal is the body of a request under which each backend server ends.
	lethal = "what no server survives"
	// hearsWithin is how long the fleet may take to hear of an end: for so long after the third,
	// sends aren't counted.
	hearsWithin = 3 * time.Second
	// sendsAfter is how many further sends are allowed after that.
	sendsAfter = 3
	// endedServers is how many backend servers of the pool there are in these tests.
	endedServers = 14
	// backAfter is how long after its end a backend server starts again, under another name.
	backAfter = 2 * time.Second
)

// revived is a pool of backend servers that come back after they have ended.
type revived struct {
	w       *world
	behave  users.Behaviour
	stopped chan struct{}
	ended   sync.WaitGroup

	mu   sync.Mutex
	all  []*users.Backend
	live map[int]*users.Backend
}

// revive adds a pool of plain services that behave in one way and come back.
func (w *world) revive(behave users.Behaviour) *revived {
	v := &revived{w: w, behave: behave, stopped: make(chan struct{}), live: map[int]*users.Backend{}}
	for _, b := range w.services {
		w.store.Remove("servers/" + b.Name)
		b.Close() // routers that haven't heard of it would be served, and a whole answer clears a request
	}
	for i := range endedServers {
		v.ended.Go(func() { v.keep(i) })
	}
	w.t.Cleanup(v.stop)
	for _, r := range w.routers {
		await(w.t, r.name+" uses a revived backend server", func() bool {
			return users.Call(r.callers, w.request("POST", "/look/first")).Status == 200
		})
	}
	return v
}

func (v *revived) stop() {
	select {
	case <-v.stopped:
	default:
		close(v.stopped)
	}
	v.ended.Wait()
}

// keep starts a backend server again and again, until the test ends.
func (v *revived) keep(place int) {
	for life := 0; ; life++ {
		b, err := users.NewBackend(v.w.store, fmt.Sprintf("revived-%d-%d", place, life), "entries", hallA)
		if err != nil {
			v.w.t.Error(err)
			return
		}
		b.Behave(v.behave)
		v.mu.Lock()
		v.all = append(v.all, b)
		v.live[place] = b
		v.mu.Unlock()
		select {
		case <-v.stopped:
			b.Close()
			return
		case <-b.Closed():
		}
		if v.pause(backAfter) {
			return
		}
		v.w.store.Remove("servers/" + b.Name)
	}
}

// pause lets time pass, and tells whether the test has ended meanwhile.
func (v *revived) pause(long time.Duration) bool {
	select {
	case <-v.stopped:
		return true
	case <-time.After(long):
		return false
	}
}

// end ends the backend servers at some places at once, for a reason of their own.
func (v *revived) end(places ...int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, place := range places {
		go v.live[place].Close()
	}
}

// runsOf returns the runs of requests with a path, in order of time.
func (v *revived) runsOf(path string) []users.Run {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []users.Run
	for _, b := range v.all {
		for _, run := range b.Runs() {
			if run.Path == path {
				out = append(out, run)
			}
		}
	}
	slices.SortFunc(out, func(a, b users.Run) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
	return out
}

// lateSends returns how many runs began later than the fleet may take to hear of the third end.
func lateSends(runs []users.Run) int {
	if len(runs) < 3 {
		return 0
	}
	from := runs[2].At.Add(hearsWithin)
	return len(runs) - slices.IndexFunc(append(runs, users.Run{At: from}), func(r users.Run) bool { return !r.At.Before(from) })
}

// caller is one that sends the same request again and again, to the routers in turn.
type caller struct {
	method, path, body string
	every              time.Duration
}

// callFor lets callers come for some time, and returns what each of them got, by its path.
func (w *world) callFor(long time.Duration, callers []caller) map[string][]users.Answer {
	var mu sync.Mutex
	var all sync.WaitGroup
	answers := map[string][]users.Answer{}
	until := time.Now().Add(long)
	for k, c := range callers {
		all.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				r := users.Request{
					Method: c.method, Path: c.path, Key: callerKey, Body: c.body,
					ID: fmt.Sprintf("caller-%d-%d", k, n), Chunked: n%2 == 1,
				}
				got := users.Call(w.routers[(k+n)%len(w.routers)].callers, r)
				mu.Lock()
				answers[c.path] = append(answers[c.path], got)
				mu.Unlock()
				time.Sleep(c.every)
			}
		})
	}
	all.Wait()
	return answers
}

func TestPlatformRequestsThatEndServersAreHeldBack(t *testing.T) {
	w := newWorld(t, 6)
	v := w.revive(users.Behaviour{EndsUnder: lethal, EndsAfter: 30 * time.Millisecond, Gap: 20 * time.Millisecond})
	callers := []caller{
		{"POST", "/look/lethal", lethal, 350 * time.Millisecond},
		{"POST", "/claim/lethal", lethal, 350 * time.Millisecond},
	}
	for i := range 20 {
		callers = append(callers, caller{"POST", fmt.Sprintf("/look/sound-%d", i), "sound", 100 * time.Millisecond})
	}
	answers := w.callFor(15*time.Second, callers)
	for _, c := range callers[:2] {
		runs := v.runsOf(c.path)
		t.Logf("%s: %d runs, %d late", c.path, len(runs), lateSends(runs))
		if late := lateSends(runs); late > sendsAfter {
			t.Errorf("%s was sent %d times after the fleet should have heard of its third end, of %d", c.path, late, len(runs))
		}
		// The last of all may be a try; of the last ten, two at the most are.
		refused := 0
		for _, got := range answers[c.path][max(len(answers[c.path])-10, 0):] {
			if got.Status == 503 && got.RetryAfter != "" {
				refused++
			}
		}
		if refused < 8 {
			t.Errorf("%s is refused %d times of the last ten", c.path, refused)
		}
	}
	for _, c := range callers[2:] {
		last := answers[c.path][len(answers[c.path])-1]
		if last.Status != 200 {
			t.Errorf("%s, a sound one, is last answered with %d %s", c.path, last.Status, last.Body)
		}
	}
}

// TestPlatformSoundRequestsOutliveWaves ends backend servers in waves, for a reason of their own, under
// requests that come again: each of them is served soon after the last wave.
func TestPlatformSoundRequestsOutliveWaves(t *testing.T) {
	w := newWorld(t, 4)
	v := w.revive(users.Behaviour{Gap: 100 * time.Millisecond})
	var callers []caller
	for i := range 30 {
		callers = append(callers, caller{"POST", fmt.Sprintf("/look/sound-%d", i), "sound", 50 * time.Millisecond})
	}
	var waves sync.WaitGroup
	waves.Go(func() {
		for wave := range 5 {
			time.Sleep(time.Second)
			places := make([]int, 0, endedServers/2)
			for i := range endedServers / 2 {
				places = append(places, (i*2+wave)%endedServers)
			}
			v.end(places...)
		}
	})
	answers := w.callFor(16*time.Second, callers)
	waves.Wait()
	for _, c := range callers {
		got := answers[c.path]
		if last := got[len(got)-1]; last.Status != 200 {
			t.Errorf("%s is last answered with %d %s", c.path, last.Status, last.Body)
		}
	}
}

// TestPlatformHeldBackRequestsOutliveAllRouters kills all routers at once, after a request has been held
// back: the new ones know it, and one that starts by itself hears of it from the others.
func TestPlatformHeldBackRequestsOutliveAllRouters(t *testing.T) {
	w := newWorld(t, 3)
	v := w.revive(users.Behaviour{EndsUnder: lethal, EndsAfter: 30 * time.Millisecond})
	comes := []caller{{"POST", "/claim/lethal", lethal, 300 * time.Millisecond}}
	w.callFor(3*time.Second, comes)
	await(t, "the store keeps it", func() bool { return len(w.store.Keys("tamarindstep/held")) == 1 })
	for _, r := range w.routers {
		w.is.NoErr(r.cmd.Process.Kill())
		<-r.exited
	}
	before := len(v.runsOf("/claim/lethal"))
	w.routers = nil
	for i := range 3 {
		w.routers = append(w.routers, w.start(i))
	}
	for _, r := range w.routers {
		w.awaitReady(r)
	}
	w.callFor(10*time.Second, comes)
	if more := len(v.runsOf("/claim/lethal")) - before; more > sendsAfter {
		t.Errorf("sent %d times more by routers that started anew", more)
	}
	w.is.NoErr(w.routers[0].cmd.Process.Kill())
	<-w.routers[0].exited
	before = len(v.runsOf("/claim/lethal"))
	w.routers[0] = w.start(0)
	w.awaitReady(w.routers[0])
	w.callFor(5*time.Second, comes)
	w.is.Equal(len(v.runsOf("/claim/lethal")), before)
}
