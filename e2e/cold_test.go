package e2e

import (
	"sync"
	"testing"
	"time"

	"github.com/tamarindstep/tamarindstep/internal/standin/users"
)

// TestPlatformColdBackendServerRateIsLimited guards against overload of engines that announce a cold start: three
// routers are overloaded from the moment at which the engines are ready. Each engine gets a limited rate until it
// announces that it is warm, and its full rate after that.
func TestPlatformColdBackendServerRateIsLimited(t *testing.T) {
	p := newPlatform(t, 3, "--cold-overshoot", "1.5", "--cold-slack", "5")
	const bound = 14 // in any second: 6.1 times the overshoot, plus the slack
	for _, b := range p.engines {
		b.ColdFor = 3 * time.Second
		b.Announce("ready")
	}
	await(t, "the routers limit the rate", func() bool { return p.floodAll(200*time.Millisecond) <= 2*bound/5 })
	for range 4 {
		before := len(p.engines[0].Runs())
		p.floodAll(time.Second)
		got := len(p.engines[0].Runs()) - before
		if got > bound {
			t.Errorf("a cold engine got %d requests in a second, more than the limit", got)
		}
	}
	for _, b := range p.engines {
		b.ColdFor = 0
		b.Announce("ready")
	}
	await(t, "warm engines get the full rate", func() bool { return p.floodAll(200*time.Millisecond) > 4*bound })
}

// floodAll sends requests to all routers for a time, and returns how many were served.
func (p *platform) floodAll(duration time.Duration) int {
	var callers sync.WaitGroup
	var mu sync.Mutex
	served := 0
	until := time.Now().Add(duration)
	for i := range 12 {
		callers.Go(func() {
			for time.Now().Before(until) {
				mu.Lock()
				r := p.request("POST", "/unhurried/1")
				mu.Unlock()
				if users.Call(p.routers[i%len(p.routers)].callers, r).Status == 200 {
					mu.Lock()
					served++
					mu.Unlock()
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	callers.Wait()
	return served
}
