package e2e

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	ownCallers = 16
	// ownStallLimit is how long a caller may read nothing of its answer.
	ownStallLimit = 500 * time.Millisecond
	// ownMaxIdle is the longest idle time of a connection, longer than the stall limit.
	ownMaxIdle = 3 * ownStallLimit
	// ownTokens is the largest number of tokens of a stream.
	ownTokens = 200
)

// TestSoakOwn runs callers of the product's own interface that keep connections, idle, read slowly and abort requests, while
// a router is restarted. Each request gets a complete answer or a refusal, unless its caller aborted it or its router was
// stopped. None runs twice, and no connection or goroutine remains after the last caller.
func TestSoakOwn(t *testing.T) {
	t.Setenv("TAMARINDSTEP_CALLER_STALL_SECONDS", fmt.Sprint(ownStallLimit.Seconds()))
	for i := range *soakSeeds {
		seed := *soakSeed + uint64(i)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { soakOwn(t, seed) })
	}
}

// ownSoak is a fleet with the product's own interface, under random requests.
type ownSoak struct {
	*fleet
	sizes    []int // of answers
	faultLog faultLog
	served   atomic.Int64
}

func soakOwn(t *testing.T, seed uint64) {
	s := &ownSoak{fleet: newFleet(t, 2), sizes: bufferSizes(t)}
	baseline := goroutines(t, s.routers[0])
	until := time.Now().Add(time.Duration(*soakSeconds) * time.Second)
	var callers sync.WaitGroup
	for n := range ownCallers {
		callers.Go(func() {
			(&ownCaller{soak: s, n: n, random: rand.New(rand.NewPCG(seed, uint64(n)+2)), client: &http.Client{Transport: &http.Transport{}}}).run(until)
		})
	}
	time.Sleep(time.Until(until) / 3)
	s.restart(s.routers[1])
	callers.Wait()
	for _, r := range s.routers {
		await(t, r.name+" has released everything of its callers", func() bool { return leftovers(t, r, baseline) == "" })
	}
	if s.served.Load() == 0 {
		t.Error("no request was served")
	}
	t.Logf("%d served", s.served.Load())
}

// restart stops a router and starts it again.
func (s *ownSoak) restart(r *router) {
	s.faultLog.recordPause(r)
	s.signal(r, syscall.SIGTERM)
	<-r.exited
	s.start(r)
	s.awaitReady(r)
	s.faultLog.recordResume(r)
}

// ownCaller keeps a connection to each router until the router closes it.
type ownCaller struct {
	soak   *ownSoak
	n      int
	random *rand.Rand
	client *http.Client
	sent   int
}

func (c *ownCaller) run(until time.Time) {
	for time.Now().Before(until) {
		c.exchange()
		duration := time.Duration(c.random.IntN(20)) * time.Millisecond
		if c.random.IntN(3) == 0 {
			duration = time.Duration(c.random.Int64N(int64(ownMaxIdle)))
		}
		time.Sleep(min(duration, time.Until(until)))
	}
	c.client.CloseIdleConnections()
}

// exchange sends a request and checks its result.
func (c *ownCaller) exchange() {
	c.sent++
	id := fmt.Sprintf("own-%d-%d", c.n, c.sent)
	path, body, want := "/services/entries/waivers", c.randomBody(), ""
	tokens := 0
	if c.random.IntN(2) == 0 {
		tokens = 1 + c.random.IntN(ownTokens)
		path, body = "/v1/completions", fmt.Sprintf(`{"model":"once","stream":true,"max_tokens":%d,"prompt":"x"}`, tokens)
	} else {
		want = body
	}
	r := c.soak.routers[c.random.IntN(len(c.soak.routers))]
	aborts := c.random.IntN(5) == 0
	began := time.Now()
	status, text, err := c.call(r, path, id, body, aborts)
	broken := aborts || c.soak.faultLog.routerDisturbed(r, began, time.Now())
	if runs := c.soak.runs(id); runs > 1 {
		c.soak.t.Errorf("%s ran %d times", id, runs)
	}
	switch {
	case err != nil && broken, err == nil && status == http.StatusServiceUnavailable:
	case err != nil || status != http.StatusOK:
		c.soak.t.Errorf("%s %s at %s: status %d, %d bytes, %v", id, path, r.name, status, len(text), err)
	case tokens > 0 && strings.Count(text, "data: ") < tokens, !strings.Contains(text, want):
		c.soak.t.Errorf("%s %s at %s: the answer isn't complete: %d bytes", id, path, r.name, len(text))
	default:
		c.soak.served.Add(1)
	}
}

// randomBody returns a body, echoed in the answer, whose size is close to a buffer's.
func (c *ownCaller) randomBody() string {
	size := c.soak.sizes[c.random.IntN(len(c.soak.sizes))]
	text, _ := json.Marshal(strings.Repeat("x", size))
	return string(text)
}

// errAborted is the error of a request that its caller aborted.
var errAborted = errors.New("aborted by the caller")

// call sends a request and reads its answer, at full speed or slowly, or aborts it while reading.
func (c *ownCaller) call(r *router, path, id, body string, aborts bool) (int, string, error) {
	var from io.Reader = strings.NewReader(body)
	if c.random.IntN(3) == 0 {
		from = io.MultiReader(from) // without a known length: chunked
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+r.callers+path, from)
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Authorization", "Bearer "+leagueKey)
	req.Header.Set("X-Request-Id", id)
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	if aborts {
		_, _ = io.CopyN(io.Discard, resp.Body, int64(c.random.IntN(5000)))
		return resp.StatusCode, "", errAborted
	}
	pause := time.Duration(c.random.IntN(2)*c.random.IntN(5)) * time.Millisecond
	text, err := readSlowly(resp.Body, pause)
	return resp.StatusCode, text, err
}

// readSlowly reads everything, with a pause after each part.
func readSlowly(from io.Reader, pause time.Duration) (string, error) {
	var out strings.Builder
	part := make([]byte, 16<<10)
	for {
		n, err := from.Read(part)
		out.Write(part[:n])
		if err == io.EOF {
			return out.String(), nil
		}
		if err != nil {
			return out.String(), err
		}
		time.Sleep(pause)
	}
}
