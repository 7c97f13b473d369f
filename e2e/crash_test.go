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
	crashBody = "what no server survives"
	// hearsWithin is how long the fleet may take to hear of an end: for so long after the third,
	// sends aren't counted.
	detectionTime = 3 * time.Second
	// sendsAfter is how many further sends are allowed after that.
	allowedSends = 3
	// endedServers is how many backend servers of the pool there are in these tests.
	restartingServers = 14
	// backAfter is how long after its end a backend server starts again, under another name.
	restartDelay = 2 * time.Second
)

// revived is a pool of backend servers that come back after they have ended.
type restartingPool struct {
	p       *platform
	behave  users.Behaviour
	stopped chan struct{}
	loops   sync.WaitGroup

	mu      sync.Mutex
	all     []*users.Backend
	current map[int]*users.Backend
}

// revive adds a pool of plain services that behave in one way and come back.
func (p *platform) startRestartingPool(behave users.Behaviour) *restartingPool {
	v := &restartingPool{p: p, behave: behave, stopped: make(chan struct{}), current: map[int]*users.Backend{}}
	for _, b := range p.services {
		p.store.Remove("servers/" + b.Name)
		b.Close() // routers that haven't heard of it would be served, and a whole answer clears a request
	}
	for i := range restartingServers {
		v.loops.Go(func() { v.runServer(i) })
	}
	p.t.Cleanup(v.stop)
	for _, r := range p.routers {
		await(p.t, r.name+" uses a revived backend server", func() bool {
			return users.Call(r.callers, p.request("POST", "/look/first")).Status == 200
		})
	}
	return v
}

func (v *restartingPool) stop() {
	select {
	case <-v.stopped:
	default:
		close(v.stopped)
	}
	v.loops.Wait()
}

// keep starts a backend server again and again, until the test ends.
func (v *restartingPool) runServer(place int) {
	for life := 0; ; life++ {
		b, err := users.NewBackend(v.p.store, fmt.Sprintf("revived-%d-%d", place, life), "entries", hallA)
		if err != nil {
			v.p.t.Error(err)
			return
		}
		b.Behave(v.behave)
		v.mu.Lock()
		v.all = append(v.all, b)
		v.current[place] = b
		v.mu.Unlock()
		select {
		case <-v.stopped:
			b.Close()
			return
		case <-b.Closed():
		}
		if v.sleep(restartDelay) {
			return
		}
		v.p.store.Remove("servers/" + b.Name)
	}
}

// pause lets time pass, and tells whether the test has ended meanwhile.
func (v *restartingPool) sleep(duration time.Duration) bool {
	select {
	case <-v.stopped:
		return true
	case <-time.After(duration):
		return false
	}
}

// end ends the backend servers at some places at once, for a reason of their own.
func (v *restartingPool) closeAt(places ...int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, place := range places {
		go v.current[place].Close()
	}
}

// runsOf returns the runs of requests with a path, in order of time.
func (v *restartingPool) runsOf(path string) []users.Run {
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
func sendsAfterDetection(runs []users.Run) int {
	if len(runs) < 3 {
		return 0
	}
	from := runs[2].At.Add(detectionTime)
	return len(runs) - slices.IndexFunc(append(runs, users.Run{At: from}), func(r users.Run) bool { return !r.At.Before(from) })
}

// caller is one that sends the same request again and again, to the routers in turn.
type repeatedRequest struct {
	method, path, body string
	period             time.Duration
}

// callFor lets callers come for some time, and returns what each of them got, by its path.
func (p *platform) sendFor(duration time.Duration, callers []repeatedRequest) map[string][]users.Answer {
	var mu sync.Mutex
	var all sync.WaitGroup
	answers := map[string][]users.Answer{}
	until := time.Now().Add(duration)
	for k, c := range callers {
		all.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				r := users.Request{
					Method: c.method, Path: c.path, Key: callerKey, Body: c.body,
					ID: fmt.Sprintf("caller-%d-%d", k, n), Chunked: n%2 == 1,
				}
				got := users.Call(p.routers[(k+n)%len(p.routers)].callers, r)
				mu.Lock()
				answers[c.path] = append(answers[c.path], got)
				mu.Unlock()
				time.Sleep(c.period)
			}
		})
	}
	all.Wait()
	return answers
}

func TestPlatformCrashInducingRequestsAreHeldBack(t *testing.T) {
	p := newPlatform(t, 6)
	v := p.startRestartingPool(users.Behaviour{EndsUnder: crashBody, EndsAfter: 30 * time.Millisecond, Gap: 20 * time.Millisecond})
	callers := []repeatedRequest{
		{"POST", "/look/lethal", crashBody, 350 * time.Millisecond},
		{"POST", "/claim/lethal", crashBody, 350 * time.Millisecond},
	}
	for i := range 20 {
		callers = append(callers, repeatedRequest{"POST", fmt.Sprintf("/look/sound-%d", i), "sound", 100 * time.Millisecond})
	}
	answers := p.sendFor(15*time.Second, callers)
	for _, c := range callers[:2] {
		runs := v.runsOf(c.path)
		t.Logf("%s: %d runs, %d late", c.path, len(runs), sendsAfterDetection(runs))
		if late := sendsAfterDetection(runs); late > allowedSends {
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
func TestPlatformOrdinaryRequestsSurviveServerFailures(t *testing.T) {
	p := newPlatform(t, 4)
	v := p.startRestartingPool(users.Behaviour{Gap: 100 * time.Millisecond})
	var callers []repeatedRequest
	for i := range 30 {
		callers = append(callers, repeatedRequest{"POST", fmt.Sprintf("/look/sound-%d", i), "sound", 50 * time.Millisecond})
	}
	var waves sync.WaitGroup
	waves.Go(func() {
		for wave := range 5 {
			time.Sleep(time.Second)
			places := make([]int, 0, restartingServers/2)
			for i := range restartingServers / 2 {
				places = append(places, (i*2+wave)%restartingServers)
			}
			v.closeAt(places...)
		}
	})
	answers := p.sendFor(16*time.Second, callers)
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
func TestPlatformHeldBackRequestsSurviveRestartOfAllRouters(t *testing.T) {
	p := newPlatform(t, 3)
	v := p.startRestartingPool(users.Behaviour{EndsUnder: crashBody, EndsAfter: 30 * time.Millisecond})
	crashing := []repeatedRequest{{"POST", "/claim/lethal", crashBody, 300 * time.Millisecond}}
	p.sendFor(3*time.Second, crashing)
	await(t, "the store keeps it", func() bool { return len(p.store.Keys("tamarindstep/held")) == 1 })
	for _, r := range p.routers {
		p.is.NoErr(r.cmd.Process.Kill())
		<-r.exited
	}
	before := len(v.runsOf("/claim/lethal"))
	p.routers = nil
	for i := range 3 {
		p.routers = append(p.routers, p.start(i))
	}
	for _, r := range p.routers {
		p.awaitReady(r)
	}
	p.sendFor(10*time.Second, crashing)
	if more := len(v.runsOf("/claim/lethal")) - before; more > allowedSends {
		t.Errorf("sent %d times more by routers that started anew", more)
	}
	p.is.NoErr(p.routers[0].cmd.Process.Kill())
	<-p.routers[0].exited
	before = len(v.runsOf("/claim/lethal"))
	p.routers[0] = p.start(0)
	p.awaitReady(p.routers[0])
	p.sendFor(5*time.Second, crashing)
	p.is.Equal(len(v.runsOf("/claim/lethal")), before)
}
