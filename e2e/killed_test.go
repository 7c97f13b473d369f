package e2e

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tamarindstep/tamarindstep/internal/standin/users"
)

const (
	// killedStreams is the number of streams that a router has begun when it is killed.
	killedStreams = 24
	// mustGoOn is the part of them that must go on elsewhere.
	mustGoOn = 0.9
)

// brisk is the behaviour of engines whose callers have the first events soon after the dispatch.
var brisk = users.Behaviour{Events: wholeStream, Gap: 4 * time.Millisecond}

// TestPlatformStreamsOfARouterKilledAtOnceGoOn guards against streams that are refused elsewhere because their router was
// killed before it had told others by which version they were begun: at any moment after their callers have the
// first events.
func TestPlatformStreamsOfARouterKilledAtOnceGoOn(t *testing.T) {
	for name, after := range map[string]time.Duration{"at once": 0, "after 50 ms": 50 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newPlatform(t, 4)
			p.release(2, steady)
			p.behave(p.engines, brisk)
			streams := p.beginAll(p.routers[0], killedStreams)
			time.Sleep(after)
			p.kill(p.routers[0])
			p.behave(p.engines, steady)
			var wentOn atomic.Int64
			var ended sync.WaitGroup
			for i, s := range streams {
				ended.Go(func() {
					s.conn.Close()
					if r, got := p.goOn(s, p.routers[1+i%3]); got.Status == 200 && got.Err == nil {
						wentOn.Add(1)
						checkOneVersion(t, r.ID, s.body+got.Body)
					}
				})
			}
			ended.Wait()
			t.Logf("%d of %d go on", wentOn.Load(), killedStreams)
			if float64(wentOn.Load()) < mustGoOn*killedStreams {
				t.Errorf("%d of %d streams go on", wentOn.Load(), killedStreams)
			}
		})
	}
}
