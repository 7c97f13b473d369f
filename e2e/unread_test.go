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
	// untakenCallers is more than the places at the backend servers.
	unreadCallers = 400
	// untakenBytes is the size of an answer that the caller's system takes only a part of.
	unreadBytes = 200_000
	// untakenFor is how long it takes nothing.
	unreadTime = 5 * time.Second
	// untakenWork is how long a backend server works on a request.
	unreadServiceTime = 20 * time.Millisecond
	// untakenMemoryMB is the memory of a small router.
	unreadMemoryMB = 112
	// beside is how many others come meanwhile.
	otherCallers = 50
)

// TestPlatformUntakenAnswersStayWithinMemory guards against a router that holds more than the memory it may use: a few hundred callers
// read nothing for a while, and each gets its answer whole, or is refused at once. Callers beside them are served.
func TestPlatformUnreadAnswersStayWithinMemory(t *testing.T) {
	p := newPlatform(t, 1, "--memory-mb", fmt.Sprint(unreadMemoryMB), "--files", "4096")
	p.behave(p.services, users.Behaviour{Gap: unreadServiceTime})
	shape := users.Shape{Bytes: unreadBytes}
	var callers sync.WaitGroup
	var refused, others atomic.Int64
	for range unreadCallers {
		c, err := users.DialNarrow(p.routers[0].callers)
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
	t.Logf("%d of %d refused, %d of %d beside them served, peak of memory %d kB", refused.Load(), unreadCallers, others.Load(), otherCallers, peak)
	p.is.True(peak < unreadMemoryMB<<10)
	p.is.True(others.Load() >= otherCallers*9/10)
}

// peakMemory returns the most memory that a router has had, in kB.
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
