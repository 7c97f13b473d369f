package e2e

import (
	"syscall"
	"testing"
	"time"

	"github.com/tamarindstep/tamarindstep/internal/standin/users"
)

// TestPlatformPausedRouterServes guards against refusals after a pause: a router is paused for longer than any of its
// timers, and a single delay must not make it shed load that it can serve.
func TestPlatformPausedRouterServes(t *testing.T) {
	p := newPlatform(t, 1)
	r := p.routers[0]
	p.is.NoErr(r.cmd.Process.Signal(syscall.SIGSTOP))
	time.Sleep(2 * time.Second)
	p.is.NoErr(r.cmd.Process.Signal(syscall.SIGCONT))
	await(t, "the router is ready again", func() bool { return isReady(r) })
	for range 5 {
		p.is.Equal(callStatus(p, r), 200)
	}
}

func callStatus(p *platform, r *router) int {
	return users.Call(r.callers, p.request("GET", "/look/1")).Status
}

// TestPlatformUnreadRequestsOfCallersThatLeftAreNotSent guards against work for callers that have left: they send requests
// to a paused router and disconnect before it has read them. No backend server may run these requests afterwards.
func TestPlatformUnreadRequestsOfCallersThatLeftAreNotSent(t *testing.T) {
	p := newPlatform(t, 1)
	r := p.routers[0]
	p.is.NoErr(r.cmd.Process.Signal(syscall.SIGSTOP))
	var left []string
	for _, path := range []string{"/claim/1", "/look/1", "/chat/1", "/review/1"} {
		for range 10 {
			c, err := users.Dial(r.callers)
			p.is.NoErr(err)
			req := p.request("POST", path)
			p.is.NoErr(c.Send(req))
			c.Close()
			left = append(left, req.ID)
		}
	}
	time.Sleep(600 * time.Millisecond)
	p.is.NoErr(r.cmd.Process.Signal(syscall.SIGCONT))
	await(t, "the router serves again", func() bool { return callStatus(p, r) == 200 })
	for _, id := range left {
		p.is.Equal(len(p.runsOf(id)), 0)
	}
}

// TestPlatformRequestsAreNotRetriedForCallersThatLeft guards against retries for callers that have left: a router is
// paused while backend servers work on requests that may be repeated, the callers disconnect and the servers fail, and the
// router reads both events at once when it resumes. The test triggers the failures: with a fixed delay, on a busy machine,
// servers failed before all requests had arrived, and didn't get the last ones.
func TestPlatformRequestsAreNotRetriedForCallersThatLeft(t *testing.T) {
	p := newPlatform(t, 1)
	r := p.routers[0]
	fail := make(chan struct{})
	p.behave(p.services, users.Behaviour{HoldUntil: fail, Status: 500})
	var callers []*users.Caller
	var sent []string
	for range 16 {
		c, err := users.Dial(r.callers)
		p.is.NoErr(err)
		req := p.request("POST", "/look/1")
		p.is.NoErr(c.Send(req))
		callers, sent = append(callers, c), append(sent, req.ID)
	}
	await(t, "all requests are sent", func() bool {
		for _, id := range sent {
			if len(p.runsOf(id)) == 0 {
				return false
			}
		}
		return true
	})
	p.is.NoErr(r.cmd.Process.Signal(syscall.SIGSTOP))
	for _, c := range callers {
		c.Close()
	}
	close(fail)
	time.Sleep(time.Second)
	p.is.NoErr(r.cmd.Process.Signal(syscall.SIGCONT))
	p.behave(p.services, users.Behaviour{})
	await(t, "the router serves again", func() bool { return callStatus(p, r) == 200 })
	for _, id := range sent {
		p.is.Equal(len(p.runsOf(id)), 1)
	}
}
