package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/tamarindstep/tamarindstep/internal/standin/users"
)

const (
	// longIdle is longer than a router's limit for writing a part of an answer, and shorter than the configured idle limit.
	longIdle = 11 * time.Second
	// largeAnswer is the size in bytes of an answer larger than the buffers of a connection.
	largeAnswer = 6000
	// smallAnswer is the size in bytes of an answer smaller than all of them.
	smallAnswer = 16
)

// TestPlatformLargeAnswerAfterIdleTime guards against an answer that is written with the write deadline of the previous
// answer: connections that had been idle for longer were reset, although the answer was available.
func TestPlatformLargeAnswerAfterIdleTime(t *testing.T) {
	t.Parallel()
	p := newPlatform(t, 1)
	var callers sync.WaitGroup
	for _, size := range []int{0, smallAnswer, 4096, largeAnswer, 300_000} {
		first, second := p.request("POST", "/claim/first"), p.request("POST", fmt.Sprintf("/claim/second?bytes=%d", size))
		c, err := users.Dial(p.routers[0].callers)
		p.is.NoErr(err)
		defer c.Close()
		callers.Go(func() {
			checkAnswer(t, c, first)
			time.Sleep(longIdle)
			checkAnswer(t, c, second)
		})
	}
	callers.Wait()
}

// checkAnswer sends a request on a caller's connection, and checks that the answer is complete.
func checkAnswer(t *testing.T, c *users.Caller, r users.Request) {
	t.Helper()
	if err := c.Send(r); err != nil {
		t.Errorf("%s: %v", r.Path, err)
		return
	}
	got := c.Read()
	if got.Err != nil || got.Status != http.StatusOK || got.Body != users.ShapeOf(r.Path).Body() {
		t.Errorf("%s: status %d, %d bytes, %v", r.Path, got.Status, len(got.Body), got.Err)
	}
}
