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
