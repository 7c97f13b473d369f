package e2e

import (
	"fmt"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/tamarindstep/tamarindstep/internal/standin"
	"github.com/tamarindstep/tamarindstep/internal/standin/users"
)

// What was seen: on the league's nine routers, requests reached an engine over two seconds after its
// answers had told the routers that it leaves; and engines that had turned a router's requests away and asked
// it for three seconds of rest got up to seven further ones of it in that time.
//
// How it came about: the store was silent as the engine began to leave, so its entry there said "ready" for
// twelve seconds more. The resting engines were three of a pool of four, and callers went on coming.
//
// Cause: routers passed answers on and heard nothing of what stood in their heads. Leaving was known from
// the store alone, and a server that turned a request away was left out for 50 ms, however long it asked for.
//
// Proof: the tests below count what reaches a server after it has spoken. With what answers say on the log,
// the routers wrote down each word and went on sending first sends that waited for nothing.

const (
	// leaveWithin is how long after a router has passed the word on requests may still reach a server that leaves.
	maxLeaveDelay = 2 * time.Second
	// restBegins is how long after the word requests may still reach a server that rests, and restAllows how
	// many of each router may after that.
	maxRestDelay        = 500 * time.Millisecond
	allowedWhileResting = 2
	// heardBy is when all routers of these tests have surely had an answer of each server: each has some
	// hundred requests a second.
	noticeDelay = time.Second
	// rest is how long a server asks to be left alone.
	restPeriod = 3 * time.Second
)

// newPool starts a pool of four plain services, and routers that use them; the services that every world has are gone.
func newPool(t *testing.T, routers int) (*platform, []*users.Backend) {
	p := newPlatform(t, routers)
	for _, b := range p.services {
		p.store.Remove("servers/" + b.Name)
	}
	var pool []*users.Backend
	for i := range 4 {
		pool = append(pool, p.backend(fmt.Sprintf("pool-run-%d", i), "entries"))
	}
	p.behave(pool, users.Behaviour{Gap: 25 * time.Millisecond})
	await(t, "every server of the pool is used", func() bool {
		users.Call(p.routers[p.last.Load()%int64(routers)].callers, p.request("GET", "/look/first"))
		for _, b := range pool {
			if len(b.Runs()) == 0 {
				return false
			}
		}
		return true
	})
	return p, pool
}

// crowd returns callers that come all the time.
func continuousLoad(n int) []repeatedRequest {
	var out []repeatedRequest
	for i := range n {
		method, path := "GET", fmt.Sprintf("/look/crowd-%d", i)
		if i%2 == 1 {
			method, path = "POST", fmt.Sprintf("/claim/crowd-%d", i)
		}
		out = append(out, repeatedRequest{method, path, "the body", 5 * time.Millisecond})
	}
	return out
}

// begin lets callers come for some time, and returns what gives their answers once they have ended.
func (p *platform) startLoad(long time.Duration, callers []repeatedRequest) func() map[string][]users.Answer {
	done := make(chan map[string][]users.Answer, 1)
	go func() { done <- p.sendFor(long, callers) }()
	return func() map[string][]users.Answer { return <-done }
}

func statuses(answers map[string][]users.Answer) map[int]int {
	out := map[int]int{}
	for _, all := range answers {
		for _, got := range all {
			out[got.Status]++
		}
	}
	return out
}

func TestPlatformServersThatAnnounceLeavingGetNothing(t *testing.T) {
	p, pool := newPool(t, 3)
	for _, proxy := range p.storeProxies {
		proxy.Shut()
	}
	answers := p.startLoad(9*time.Second, continuousLoad(24))
	time.Sleep(2 * time.Second)
	leaving := pool[1]
	announced := time.Now()
	leaving.Behave(users.Behaviour{Gap: 25 * time.Millisecond, Leaving: true})
	time.Sleep(6 * time.Second)
	before := leaving.Arrivals(announced.Add(-2*time.Second), announced)
	after := leaving.Arrivals(announced.Add(noticeDelay+maxLeaveDelay), time.Now())
	t.Logf("%d requests in the two seconds before it spoke, %d from three seconds after it", before, after)
	p.is.True(before > 50)
	if after > 0 {
		t.Errorf("%d requests reached a server from three seconds on after it had said that it leaves", after)
	}
	if got := statuses(answers()); got[200] == 0 || len(got) != 1 {
		t.Errorf("callers got, by status: %v", got)
	}
}

// spreadMost is how much later than the servers have rested callers may be asked back: these come by the hundred, and are spread.
const maxRetrySpread = 3500 * time.Millisecond

// refusedUntil checks that a request is refused, and its caller asked back when the servers have rested.
func (p *platform) checkRefusedUntil(restEnd time.Time) {
	p.t.Helper()
	for _, r := range p.routers {
		left := time.Until(restEnd).Seconds()
		got := users.Call(r.callers, p.request("POST", "/claim/refused"))
		after, err := strconv.ParseFloat(got.RetryAfter, 64)
		if got.Status != 503 || err != nil || after < left-1 || after > left+maxRetrySpread.Seconds() {
			p.t.Errorf("a caller whose servers rest for another %.1f s gets %d and is asked back after %q s", left, got.Status, got.RetryAfter)
		}
	}
}

func TestPlatformRequestedRestIsRespected(t *testing.T) {
	for _, c := range []struct {
		name    string
		resting int
	}{{"one of four", 1}, {"all four", 4}} {
		t.Run(c.name, func(t *testing.T) {
			p, pool := newPool(t, 3)
			answers := p.startLoad(2*restPeriod+2*time.Second, continuousLoad(24))
			time.Sleep(time.Second)
			resting := pool[:c.resting]
			announced := time.Now()
			restEnd := announced.Add(restPeriod)
			p.behave(resting, users.Behaviour{Rest: strconv.Itoa(int(restPeriod.Seconds()))})
			time.Sleep(noticeDelay)
			if c.resting == len(pool) {
				p.checkRefusedUntil(restEnd)
			}
			// They are well a little before the time that they have asked for is over.
			time.Sleep(time.Until(restEnd.Add(-maxRestDelay)))
			p.behave(resting, users.Behaviour{Gap: 25 * time.Millisecond})
			time.Sleep(time.Until(restEnd))
			for _, b := range resting {
				got := b.Arrivals(announced.Add(maxRestDelay), restEnd)
				t.Logf("%s got %d requests while it rested", b.Name, got)
				if got > allowedWhileResting*len(p.routers) {
					t.Errorf("%s had asked for rest and got %d requests", b.Name, got)
				}
			}
			t.Logf("callers got, by status: %v", statuses(answers()))
			for _, b := range resting {
				if n := b.Arrivals(restEnd.Add(time.Second), restEnd.Add(restPeriod)); n < 50 {
					t.Errorf("%s has rested and gets %d requests", b.Name, n)
				}
			}
		})
	}
}

// TestPlatformWordsAreHeardFromTheirServerOnly lets a server say that it leaves in the head of a stream that goes on, in a
// late answer to another request, and before its next life begins at its address.
func TestPlatformNoticesApplyToTheirServerOnly(t *testing.T) {
	p, pool := newPool(t, 1)
	to := p.routers[0].callers
	for _, b := range pool[2:] {
		b.Close()
		p.store.Remove("servers/" + b.Name)
	}
	// Each serves 20 requests: late answers to others are no word of theirs.
	p.behave(pool[:2], users.Behaviour{Surplus: true, Misled: true})
	used := func(b *users.Backend) bool {
		n := len(b.Runs())
		for range 20 {
			users.Call(to, p.request("POST", "/claim/1"))
		}
		return len(b.Runs()) > n
	}
	await(t, "both are used again", func() bool { return used(pool[0]) && used(pool[1]) })

	p.behave(pool[:2], users.Behaviour{})
	pool[0].Behave(users.Behaviour{Leaving: true})
	await(t, "it has spoken", func() bool { return used(pool[0]) })
	p.is.True(!used(pool[0]))
	p.is.True(used(pool[1]))

	next, err := pool[0].Again("pool-run-again")
	p.is.NoErr(err)
	t.Cleanup(next.Close)
	await(t, "its next life is used", func() bool { return used(next) })

	// The engines answer in streams; the head tells while the rest is still to come.
	p.behave(p.engines, users.Behaviour{Events: 3, Gap: time.Millisecond})
	long := users.Behaviour{Events: 40, Gap: 100 * time.Millisecond, Leaving: true}
	p.engines[0].Behave(long)
	var mu sync.Mutex
	ended := false
	var streams sync.WaitGroup
	defer streams.Wait()
	await(t, "the head has come", func() bool {
		r := p.request("POST", "/unhurried/1")
		streams.Go(func() {
			got := users.Call(to, r)
			mu.Lock()
			defer mu.Unlock()
			ended = ended || got.Body == completeStream(40)
		})
		time.Sleep(50 * time.Millisecond)
		return len(p.engines[0].Runs()) > 0
	})
	time.Sleep(200 * time.Millisecond) // until its first event has been handed on
	for range 20 {
		p.is.Equal(users.Call(to, p.request("POST", "/unhurried/1")).Body, completeStream(3))
	}
	mu.Lock()
	defer mu.Unlock()
	p.is.True(!ended) // it still runs
}

// TestEnginesThatAskForRestAreLeftAlone is the same with the product's own interface, whose engines ask for rest as well.
func TestRequestedRestIsRespected(t *testing.T) {
	is := check(t)
	f := newFleet(t, 2)
	resting := f.engines[0]
	resting.SetFaults(standin.Faults{Rest: strconv.Itoa(int(restPeriod.Seconds()))})
	ask := func(n int) map[int]int {
		got := make([]int, n)
		concurrently(n, func(i int) {
			got[i] = f.call(f.routers[i%2], "/v1/completions", `{"model":"chat","prompt":"a b","max_tokens":2}`).status
		})
		byStatus := map[int]int{}
		for _, status := range got {
			byStatus[status]++
		}
		return byStatus
	}
	await(t, "it has asked for rest", func() bool { ask(40); return resting.Turned() > 0 })
	ask(40) // so that it has asked each router that uses it
	time.Sleep(maxRestDelay)
	before := resting.Turned()
	got := ask(200)
	t.Logf("answers, by status: %v; %d requests turned away before, and %d of these", got, before, resting.Turned()-before)
	is.True(resting.Turned()-before <= allowedWhileResting*len(f.routers))
	is.True(got[200] >= 190)
	resting.SetFaults(standin.Faults{})
	ran := len(resting.Runs())
	await(t, "it serves again", func() bool { ask(40); return len(resting.Runs()) > ran })
}
