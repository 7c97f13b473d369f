package e2e

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/tamarindstep/tamarindstep/internal/standin/users"
)

// TestPlatformRouterRecoversFromDescriptorExhaustion guards against a router that stops accepting connections for good
// after it has run out of file descriptors: its limit is lowered while many callers and probes connect, then restored.
func TestPlatformRouterRecoversFromDescriptorExhaustion(t *testing.T) {
	p := newPlatform(t, 1)
	is := p.is
	r := p.routers[0]
	pid := r.cmd.Process.Pid
	var before unix.Rlimit
	is.NoErr(unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &before))
	few := unix.Rlimit{Cur: 24, Max: before.Max}
	is.NoErr(unix.Prlimit(pid, unix.RLIMIT_NOFILE, &few, nil))
	var open []net.Conn
	for range 60 {
		for _, address := range []string{r.callers, r.admin} {
			if c, err := net.DialTimeout("tcp", address, time.Second); err == nil {
				open = append(open, c)
			}
		}
	}
	time.Sleep(200 * time.Millisecond) // until the router has run out of descriptors
	for _, c := range open {
		is.NoErr(c.Close())
	}
	is.NoErr(unix.Prlimit(pid, unix.RLIMIT_NOFILE, &before, nil))
	p.awaitReady(r)
	await(t, "requests are served", func() bool { return users.Call(r.callers, p.request("GET", "/look/1")).Status == 200 })
}

// TestPlatformIdleConnectionsAreLimited guards against idle connections that use up the descriptors for callers: callers
// keep more connections open than the router has descriptors for, and it closes those beyond half of the callers' share
// after their answer.
func TestPlatformIdleConnectionsAreLimited(t *testing.T) {
	p := newPlatform(t, 1, "--files", "512") // 95 of them for callers
	is := p.is
	kept := 0
	for range 80 {
		c, err := users.Dial(p.routers[0].callers)
		is.NoErr(err)
		t.Cleanup(c.Close)
		is.NoErr(c.Send(p.request("GET", "/look/1")))
		got := c.Read()
		is.Equal(got.Status, 200)
		if !got.Close {
			kept++
		}
	}
	is.True(kept >= 40 && kept < 60)
	p.awaitReady(p.routers[0])
}
