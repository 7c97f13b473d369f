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
	p := newPlatform(t, 1)
	r := p.routers[0]
	p.is.NoErr(r.cmd.Process.Signal(syscall.SIGSTOP))
	time.Sleep(2 * time.Second)
	p.is.NoErr(r.cmd.Process.Signal(syscall.SIGCONT))
	await(t, "it answers again", func() bool { return isReady(r) })
	for range 5 {
		p.is.Equal(callStatus(p, r), 200)
	}
}

func callStatus(p *platform, r *router) int {
	return users.Call(r.callers, p.request("GET", "/look/1")).Status
}

// TestPlatformUnreadRequestsOfCallersThatLeftAreNotSent stops a router while callers send
// requests and leave, as its requests weren't read: nothing may work for them afterwards.
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
	await(t, "it serves again", func() bool { return callStatus(p, r) == 200 })
	for _, id := range left {
		p.is.Equal(len(p.runsOf(id)), 0)
	}
}

// TestPlatformRequestsArentSentAgainForCallersThatLeft stops a router while backend servers work on
// requests that may be repeated. Their callers leave, and the servers fail, before it goes on: both
// are there to be read at once, and nothing may be sent for callers that have left. The servers fail when they are
// told to: by a clock, on a busy machine, they failed before all requests had come, and got the last ones no more.
func TestPlatformRequestsAreNotRetriedForCallersThatLeft(t *testing.T) {
	p := newPlatform(t, 1)
	r := p.routers[0]
	fail := make(chan struct{})
	p.behave(p.services, users.Behaviour{Held: fail, Status: 500})
	var callers []*users.Caller
	var sent []string
	for range 16 {
		c, err := users.Dial(r.callers)
		p.is.NoErr(err)
		req := p.request("POST", "/look/1")
		p.is.NoErr(c.Send(req))
		callers, sent = append(callers, c), append(sent, req.ID)
	}
	await(t, "all are sent", func() bool {
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
	await(t, "it serves again", func() bool { return callStatus(p, r) == 200 })
	for _, id := range sent {
		p.is.Equal(len(p.runsOf(id)), 1)
	}
}
