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
	// ownStall is how long a caller may take nothing of its answer.
	ownStallLimit = 500 * time.Millisecond
	// ownRest is the longest rest of a connection, longer than that.
	ownMaxIdle = 3 * ownStallLimit
	// ownTokens is the most tokens of a stream.
	ownTokens = 200
)

// TestSoakOwn lets callers of the product's own interface keep their connections, rest, read slowly and leave, while a router
// is stopped and started anew: each request has a whole answer or a refusal, unless its caller left or its router was
// stopped, none runs twice, and nothing is left once the callers have gone.
func TestSoakOwn(t *testing.T) {
	t.Setenv("TAMARINDSTEP_CALLER_STALL_SECONDS", fmt.Sprint(ownStallLimit.Seconds()))
	for i := range *soakSeeds {
		seed := *soakSeed + uint64(i)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { soakOwn(t, seed) })
	}
}

// ownSoak is a fleet with callers of its own interface.
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
		await(t, r.name+" has nothing of its callers", func() bool { return leftovers(t, r, baseline) == "" })
	}
	if s.served.Load() == 0 {
		t.Error("nothing was served")
	}
	t.Logf("%d served", s.served.Load())
}

// stopAndStart stops a router and starts it anew.
func (s *ownSoak) restart(r *router) {
	s.faultLog.recordPause(r)
	s.signal(r, syscall.SIGTERM)
	<-r.exited
	s.start(r)
	s.awaitReady(r)
	s.faultLog.recordResume(r)
}

// ownCaller keeps a connection to each router until the router ends it.
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

// exchange sends a request, and checks what came of it.
func (c *ownCaller) exchange() {
	c.sent++
	id := fmt.Sprintf("own-%d-%d", c.n, c.sent)
	path, body, want := "/services/entries/waivers", c.text(), ""
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
		c.soak.t.Errorf("%s %s at %s isn't whole: %d bytes", id, path, r.name, len(text))
	default:
		c.soak.served.Add(1)
	}
}

// text returns a body, which comes back in the answer, of a size that is at a buffer's.
func (c *ownCaller) text() string {
	size := c.soak.sizes[c.random.IntN(len(c.soak.sizes))]
	text, _ := json.Marshal(strings.Repeat("x", size))
	return string(text)
}

// errLeft is the error of an answer that its caller left.
var errAborted = errors.New("the caller left")

// ask sends a request and reads its answer, at once or slowly, or leaves within it.
func (c *ownCaller) call(r *router, path, id, body string, aborts bool) (int, string, error) {
	var from io.Reader = strings.NewReader(body)
	if c.random.IntN(3) == 0 {
		from = io.MultiReader(from) // of a length that isn't known: in chunks
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

// readSlowly reads to the end, with a pause after each part.
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
