package e2e

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tamarindstep/tamarindstep/internal/standin/users"
)

const (
	// irregularRounds is how often each irregular caller sends its requests during the overload.
	irregularRounds = 10
	// partGap is the pause between two parts of a request: longer than a router waits for the first bytes on a new
	// connection before it handles the connection as an ordinary one.
	partGap = 30 * time.Millisecond
)

// irregularCallers are callers that don't send one whole request right after connecting, by what they do instead.
var irregularCallers = map[string]struct {
	requests int
	send     func(p *platform, c *users.Caller) error
}{
	"header in parts": {1, func(p *platform, c *users.Caller) error {
		text := rawRequest(p, "the body")
		for _, part := range []string{text[:20], text[20:90], text[90:]} {
			if err := c.Write(part); err != nil {
				return err
			}
			time.Sleep(partGap)
		}
		return nil
	}},
	"body late": {1, func(p *platform, c *users.Caller) error {
		text := rawRequest(p, strings.Repeat("x", streamBody))
		if err := c.Write(text[:len(text)-streamBody/2]); err != nil {
			return err
		}
		time.Sleep(partGap)
		return c.Write(text[len(text)-streamBody/2:])
	}},
	"two requests in one write": {2, func(p *platform, c *users.Caller) error {
		return c.Write(rawRequest(p, "first") + rawRequest(p, "second"))
	}},
	"chunked": {1, func(p *platform, c *users.Caller) error {
		r := p.request("POST", "/chat/1")
		r.Chunked = true
		return c.Send(r)
	}},
	"silent at first": {1, func(p *platform, c *users.Caller) error {
		time.Sleep(10 * partGap)
		return c.Send(p.request("POST", "/chat/1"))
	}},
}

// rawRequest returns the bytes of a new request with a body.
func rawRequest(p *platform, body string) string {
	r := p.request("POST", "/chat/1")
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nTamarindstep-Request-Id: %s\r\nTamarindstep-Key: %s\r\n"+
		"Tamarindstep-Request-Deadline-Ms: 8000\r\nTamarindstep-Token-Counts: 1000,50\r\nContent-Length: %d\r\n\r\n%s",
		r.Path, users.Host, r.ID, r.Key, len(body), body)
}

// TestPlatformIrregularCallersGetWholeAnswersUnderOverload guards against connections that are cut off because the router
// expects one whole request on each new connection when it refuses under overload: a request that arrives in parts, or
// together with another one, gets an answer or a refusal as it does without overload.
func TestPlatformIrregularCallersGetWholeAnswersUnderOverload(t *testing.T) {
	p := newThrottledPlatform(t, floodEngines, users.Behaviour{Events: shortEvents, Gap: streamGap})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		flood(p, floodCallers, overloadTime)
	}()
	time.Sleep(time.Second)
	var callers sync.WaitGroup
	for name := range irregularCallers {
		callers.Go(func() {
			for range irregularRounds {
				callIrregularly(p, name)
			}
		})
	}
	callers.Wait()
	<-ended
}

// callIrregularly sends the requests of an irregular caller over a new connection, and checks the answers.
func callIrregularly(p *platform, name string) {
	c, err := users.Dial(p.routers[0].callers)
	if err != nil {
		p.t.Errorf("%s: %v", name, err)
		return
	}
	defer c.Close()
	irregular := irregularCallers[name]
	if err := errors.Join(c.SetDeadline(time.Now().Add(closeTimeout)), irregular.send(p, c)); err != nil {
		p.t.Errorf("%s: %v", name, err)
		return
	}
	for n := range irregular.requests {
		if !checkIrregularAnswer(p.t, fmt.Sprintf("%s, request %d", name, n), c.Read()) {
			return
		}
	}
}

// checkIrregularAnswer checks that an answer is whole, and a success or a refusal with a Retry-After header. It reports
// whether the connection remains open.
func checkIrregularAnswer(t testing.TB, what string, got users.Answer) bool {
	t.Helper()
	refused := got.Status == http.StatusServiceUnavailable && got.RetryAfter != ""
	if got.Err != nil || got.Status != http.StatusOK && !refused {
		t.Errorf("%s: status %d, %.60q, %v", what, got.Status, got.Body, got.Err)
	}
	return !got.Close && got.Err == nil
}
