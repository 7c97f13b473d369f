package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tamarindstep/tamarindstep/internal/standin/users"
)

const (
	burstServers = 8
	burstCallers = 60 // fewer than the slots of all servers
	bursts       = 5
)

// TestPlatformBurstAtIdleServersIsServed guards against refusals while there are free slots: all callers of one account
// send at the same moment, to idle servers that have slots for all of them.
func TestPlatformBurstAtIdleServersIsServed(t *testing.T) {
	p := newPlatform(t, 1)
	for i := range burstServers {
		p.services = append(p.services, p.backend(fmt.Sprintf("service-burst-%d", i), "entries"))
	}
	await(t, "every server is used", func() bool {
		users.Call(p.routers[0].callers, p.request("GET", "/look/first"))
		for _, b := range p.services {
			if len(b.Runs()) == 0 {
				return false
			}
		}
		return true
	})
	var served atomic.Int64
	for range bursts {
		begin := make(chan struct{})
		var callers sync.WaitGroup
		for range burstCallers {
			r := p.request("GET", "/look/burst")
			callers.Go(func() {
				<-begin
				if users.Call(p.routers[0].callers, r).Status == http.StatusOK {
					served.Add(1)
				}
			})
		}
		close(begin)
		callers.Wait()
		time.Sleep(100 * time.Millisecond)
	}
	p.is.Equal(served.Load(), int64(bursts*burstCallers))
}
