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

// The tests in this file guard against requests that crash one backend server after another. With nine routers and nine
// engines, one request crashed 14 engines within a day; ten of its sends came after all routers should have been
// notified of the third crash. It crashed each engine within a tenth of a second, and its caller repeated it with the
// same path, account and body, under another id and at another router; the engines restarted after some seconds under
// other names. A router that records crashes only by backend server, and shares no record of the request, sends each
// repetition as a new one.

const (
	// crashBody is the body of a request that crashes each backend server.
	crashBody = "what no server survives"
	// detectionTime is the time in which all routers must have been notified of a crash: sends within that time after
	// the third crash aren't counted.
	detectionTime = 3 * time.Second
	// allowedSends is how many further sends are allowed after that.
	allowedSends = 3
	// restartingServers is the number of backend servers of the pool in these tests.
	restartingServers = 14
	// restartDelay is the time from a backend server's crash to its restart under another name.
	restartDelay = 2 * time.Second
)

// restartingPool is a pool of backend servers that restart after they have ended.
type restartingPool struct {
	platform  *platform
	name      string
	behaviour users.Behaviour
	stopped   chan struct{}
	loops     sync.WaitGroup

	mu      sync.Mutex
	all     []*users.Backend
	current map[int]*users.Backend
}

// startRestartingPool replaces the plain services by a pool of servers with one behaviour, which restart.
func (p *platform) startRestartingPool(behaviour users.Behaviour) *restartingPool {
	return p.replaceByRestarting("entries", p.services, p.request("POST", "/look/first"), behaviour)
}

// replaceByRestarting replaces the servers of a pool by ones with one behaviour, which restart, and waits until every
// router has had the answer to a request from one of them.
func (p *platform) replaceByRestarting(name string, replaced []*users.Backend, first users.Request, behaviour users.Behaviour) *restartingPool {
	pool := &restartingPool{platform: p, name: name, behaviour: behaviour, stopped: make(chan struct{}), current: map[int]*users.Backend{}}
	for _, b := range replaced {
		p.store.Remove("servers/" + b.Name)
		b.Close() // a router that hasn't seen its removal would get a whole answer, which clears a request's record
	}
	for i := range restartingServers {
		pool.loops.Go(func() { pool.runServer(i) })
	}
	p.t.Cleanup(pool.stop)
	for _, r := range p.routers {
		await(p.t, r.name+" uses a server of the restarting pool", func() bool {
			first.ID = p.request("", "").ID
			return users.Call(r.callers, first).Status == 200
		})
	}
	return pool
}

func (pool *restartingPool) stop() {
	select {
	case <-pool.stopped:
	default:
		close(pool.stopped)
	}
	pool.loops.Wait()
}

// runServer starts a backend server again each time it ends, until the test ends.
func (pool *restartingPool) runServer(index int) {
	for restarts := 0; ; restarts++ {
		b, err := users.NewBackend(pool.platform.store, fmt.Sprintf("revived-%d-%d", index, restarts), pool.name, hallA)
		if err != nil {
			pool.platform.t.Error(err)
			return
		}
		b.SetBehaviour(pool.behaviour)
		pool.mu.Lock()
		pool.all = append(pool.all, b)
		pool.current[index] = b
		pool.mu.Unlock()
		select {
		case <-pool.stopped:
			b.Close()
			return
		case <-b.Closed():
		}
		if pool.sleep(restartDelay) {
			return
		}
		pool.platform.store.Remove("servers/" + b.Name)
	}
}

// sleep waits for a time, and reports whether the test ended before that.
func (pool *restartingPool) sleep(duration time.Duration) bool {
	select {
	case <-pool.stopped:
		return true
	case <-time.After(duration):
		return false
	}
}

// closeAt closes the backend servers at the given indices of the pool at once, independently of the requests.
func (pool *restartingPool) closeAt(indices ...int) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for _, index := range indices {
		go pool.current[index].Close()
	}
}

// runsOf returns the runs of requests with a path, in order of time.
func (pool *restartingPool) runsOf(path string) []users.Run {
	return pool.runsWhere(func(run users.Run) bool { return run.Path == path })
}

// runsWhere returns the runs that meet a condition, in order of time.
func (pool *restartingPool) runsWhere(meets func(users.Run) bool) []users.Run {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	var out []users.Run
	for _, b := range pool.all {
		for _, run := range b.Runs() {
			if meets(run) {
				out = append(out, run)
			}
		}
	}
	slices.SortFunc(out, func(a, b users.Run) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
	return out
}

// sendsAfterDetection returns how many runs began more than detectionTime after the third one.
func sendsAfterDetection(runs []users.Run) int {
	if len(runs) < 3 {
		return 0
	}
	from := runs[2].At.Add(detectionTime)
	return len(runs) - slices.IndexFunc(append(runs, users.Run{At: from}), func(r users.Run) bool { return !r.At.Before(from) })
}

// repeatedRequest is a request that a caller sends repeatedly, to the routers in turn.
type repeatedRequest struct {
	method, path, body string
	period             time.Duration
}

// sendFor sends repeated requests for a time, and returns their answers by path.
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

// TestPlatformCrashInducingRequestsAreHeldBack sends requests that crash servers to routers in turn, beside ordinary ones.
func TestPlatformCrashInducingRequestsAreHeldBack(t *testing.T) {
	p := newPlatform(t, 6)
	pool := p.startRestartingPool(users.Behaviour{CrashOnBody: crashBody, CrashDelay: 30 * time.Millisecond, Gap: 20 * time.Millisecond})
	callers := []repeatedRequest{
		{"POST", "/look/lethal", crashBody, 350 * time.Millisecond},
		{"POST", "/claim/lethal", crashBody, 350 * time.Millisecond},
	}
	for i := range 20 {
		callers = append(callers, repeatedRequest{"POST", fmt.Sprintf("/look/sound-%d", i), "sound", 100 * time.Millisecond})
	}
	answers := p.sendFor(15*time.Second, callers)
	for _, c := range callers[:2] {
		runs := pool.runsOf(c.path)
		t.Logf("%s: %d runs, %d late", c.path, len(runs), sendsAfterDetection(runs))
		if late := sendsAfterDetection(runs); late > allowedSends {
			t.Errorf("%s was sent %d times after all routers should have been notified of its third crash, of %d", c.path, late, len(runs))
		}
		// A held-back request is tried now and then: the last one may be such a try, and at most two of the last ten.
		refused := 0
		for _, got := range answers[c.path][max(len(answers[c.path])-10, 0):] {
			if got.Status == 503 && got.RetryAfter != "" {
				refused++
			}
		}
		if refused < 8 {
			t.Errorf("%s was refused %d times of the last ten, want at least 8", c.path, refused)
		}
	}
	for _, c := range callers[2:] {
		last := answers[c.path][len(answers[c.path])-1]
		if last.Status != 200 {
			t.Errorf("%s, an ordinary request, was last answered with %d %s", c.path, last.Status, last.Body)
		}
	}
}

// TestPlatformOrdinaryRequestsSurviveServerFailures guards against ordinary requests that are held back because backend
// servers failed for other reasons: servers are closed in waves while callers repeat requests, and each request must be
// served soon after the last wave.
func TestPlatformOrdinaryRequestsSurviveServerFailures(t *testing.T) {
	p := newPlatform(t, 4)
	pool := p.startRestartingPool(users.Behaviour{Gap: 100 * time.Millisecond})
	var callers []repeatedRequest
	for i := range 30 {
		callers = append(callers, repeatedRequest{"POST", fmt.Sprintf("/look/sound-%d", i), "sound", 50 * time.Millisecond})
	}
	var waves sync.WaitGroup
	waves.Go(func() {
		for wave := range 5 {
			time.Sleep(time.Second)
			indices := make([]int, 0, restartingServers/2)
			for i := range restartingServers / 2 {
				indices = append(indices, (i*2+wave)%restartingServers)
			}
			pool.closeAt(indices...)
		}
	})
	answers := p.sendFor(16*time.Second, callers)
	waves.Wait()
	for _, c := range callers {
		got := answers[c.path]
		if last := got[len(got)-1]; last.Status != 200 {
			t.Errorf("%s was last answered with %d %s", c.path, last.Status, last.Body)
		}
	}
}

// TestPlatformHeldBackRequestsSurviveRestartOfAllRouters guards against the loss of held-back requests when all routers
// are killed at once: new routers read them from the store, and one that starts later receives them from the others.
func TestPlatformHeldBackRequestsSurviveRestartOfAllRouters(t *testing.T) {
	t.Parallel()
	p := newPlatform(t, 3)
	pool := p.startRestartingPool(users.Behaviour{CrashOnBody: crashBody, CrashDelay: 30 * time.Millisecond})
	crashing := []repeatedRequest{{"POST", "/claim/lethal", crashBody, 300 * time.Millisecond}}
	p.sendFor(3*time.Second, crashing)
	await(t, "the held-back request is stored", func() bool { return len(p.store.Keys("tamarindstep/held")) == 1 })
	for _, r := range p.routers {
		p.is.NoErr(r.cmd.Process.Kill())
		<-r.exited
	}
	before := len(pool.runsOf("/claim/lethal"))
	p.routers = nil
	for i := range 3 {
		p.routers = append(p.routers, p.start(i))
	}
	for _, r := range p.routers {
		p.awaitReady(r)
	}
	p.sendFor(10*time.Second, crashing)
	if more := len(pool.runsOf("/claim/lethal")) - before; more > allowedSends {
		t.Errorf("the request was sent %d more times by restarted routers", more)
	}
	p.is.NoErr(p.routers[0].cmd.Process.Kill())
	<-p.routers[0].exited
	before = len(pool.runsOf("/claim/lethal"))
	p.routers[0] = p.start(0)
	p.awaitReady(p.routers[0])
	p.sendFor(5*time.Second, crashing)
	p.is.Equal(len(pool.runsOf("/claim/lethal")), before)
}
