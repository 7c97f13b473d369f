package e2e

import (
	"syscall"
	"testing"
	"time"

	"github.com/tamarindstep/tamarindstep/internal/standin/users"
)

// TestPlatformPausedRouterServes pauses a router for longer than any of its
// timers. Once it runs again it can keep up, so it must not refuse what it could
// serve for having been late once.
func TestPlatformPausedRouterServes(t *testing.T) {
	w := newWorld(t, 1)
	r := w.routers[0]
	w.is.NoErr(r.cmd.Process.Signal(syscall.SIGSTOP))
	time.Sleep(2 * time.Second)
	w.is.NoErr(r.cmd.Process.Signal(syscall.SIGCONT))
	await(t, "it answers again", func() bool { return ready(r) })
	for range 5 {
		w.is.Equal(callStatus(w, r), 200)
	}
}

func callStatus(w *world, r *router) int {
	return users.Call(r.callers, w.request("GET", "/look/1")).Status
}

// TestPlatformUnreadRequestsOfCallersThatLeftAreNotSent stops a router while callers send
// requests and leave, as its requests weren't read: nothing may work for them afterwards.
func TestPlatformUnreadRequestsOfCallersThatLeftAreNotSent(t *testing.T) {
	w := newWorld(t, 1)
	r := w.routers[0]
	w.is.NoErr(r.cmd.Process.Signal(syscall.SIGSTOP))
	var left []string
	for _, path := range []string{"/claim/1", "/look/1", "/chat/1", "/review/1"} {
		for range 10 {
			c, err := users.Dial(r.callers)
			w.is.NoErr(err)
			req := w.request("POST", path)
			w.is.NoErr(c.Send(req))
			c.Close()
			left = append(left, req.ID)
		}
	}
	time.Sleep(600 * time.Millisecond)
	w.is.NoErr(r.cmd.Process.Signal(syscall.SIGCONT))
	await(t, "it serves again", func() bool { return callStatus(w, r) == 200 })
	for _, id := range left {
		w.is.Equal(len(w.runsOf(id)), 0)
	}
}
