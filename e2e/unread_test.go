package e2e

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/internal/standin/users"
)

const (
	// unreadCallers is more than the slots of the backend servers.
	unreadCallers = 400
	// unreadBytes is the size of an answer, larger than the caller's receive buffer.
	unreadBytes = 200_000
	// unreadTime is how long a caller reads nothing.
	unreadTime = 5 * time.Second
	// unreadServiceTime is how long a backend server works on a request.
	unreadServiceTime = 20 * time.Millisecond
	// unreadMemoryMB is the memory limit of a small router, in MB.
	unreadMemoryMB = 112
	// otherCallers is the number of requests by other callers meanwhile.
	otherCallers = 50
)

// TestPlatformUnreadAnswersStayWithinMemory guards against a router that buffers more than its memory limit: a few hundred
// callers read nothing for a while, and each gets its whole answer or is refused without being run. Other callers are
// served meanwhile.
func TestPlatformUnreadAnswersStayWithinMemory(t *testing.T) {
	p := newPlatform(t, 1, "--memory-mb", fmt.Sprint(unreadMemoryMB), "--files", "4096")
	p.behave(p.services, users.Behaviour{Gap: unreadServiceTime})
	shape := users.Shape{Bytes: unreadBytes}
	var callers sync.WaitGroup
	var refused, others atomic.Int64
	for range unreadCallers {
		c, err := users.DialSmallWindow(p.routers[0].callers)
		p.is.NoErr(err)
		r := p.request("POST", "/look/1"+shape.Query())
		p.is.NoErr(c.Send(r))
		callers.Go(func() {
			defer c.Close()
			time.Sleep(unreadTime)
			got := c.Read()
			switch {
			case got.Err == nil && got.Status == 503 && len(p.runsOf(r.ID)) == 0:
				refused.Add(1)
			case got.Err != nil || got.Status != 200 || got.Body != shape.Body():
				t.Errorf("%s: status %d, %d bytes, %v", r.ID, got.Status, len(got.Body), got.Err)
			}
		})
		time.Sleep(2 * time.Millisecond)
	}
	for range otherCallers {
		if got := users.Call(p.routers[0].callers, p.request("POST", "/claim/1")); got.Err == nil && got.Status == 200 {
			others.Add(1)
		}
	}
	callers.Wait()
	peak := peakMemory(t, p.routers[0])
	t.Logf("%d of %d refused, %d of %d other callers served, peak memory %d kB", refused.Load(), unreadCallers, others.Load(), otherCallers, peak)
	p.is.True(peak < unreadMemoryMB<<10)
	p.is.True(others.Load() >= otherCallers*9/10)
}

// peakMemory returns a router's peak resident memory, in kB.
func peakMemory(t *testing.T, r *router) int {
	t.Helper()
	is := is.New(t)
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.cmd.Process.Pid))
	is.NoErr(err)
	_, after, _ := strings.Cut(string(text), "VmHWM:")
	peak, _, _ := strings.Cut(after, "kB")
	out, err := strconv.Atoi(strings.TrimSpace(peak))
	is.NoErr(err)
	return out
}
