package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tamarindstep/tamarindstep/internal/standin/users"
)

// BenchmarkPlatformRefusalByHeader measures the processor time that a router spends on a request that it refuses by its
// header under overload, on connections that are kept.
func BenchmarkPlatformRefusalByHeader(b *testing.B) {
	p := newPlatform(b, 1, "--processor", "0.01")
	p.behave(p.engines, users.Behaviour{Events: streamEvents, Gap: time.Second})
	before := processorTime(b, p.routers[0])
	refused := callOnKeptConnections(p, "/chat/1", b.N)
	spent := processorTime(b, p.routers[0]) - before
	b.ReportMetric(float64(spent.Microseconds())/float64(b.N), "us-processor/req")
	b.ReportMetric(float64(refused)/float64(b.N), "refused/req")
}

// BenchmarkPlatformRefusalOfNewConnections measures the same with a new connection for each request.
func BenchmarkPlatformRefusalOfNewConnections(b *testing.B) {
	p := newPlatform(b, 1, "--processor", "0.01")
	p.behave(p.engines, users.Behaviour{Events: streamEvents, Gap: time.Second})
	before := processorTime(b, p.routers[0])
	served := callMany(p, "/chat/1", b.N)
	spent := processorTime(b, p.routers[0]) - before
	b.ReportMetric(float64(spent.Microseconds())/float64(b.N), "us-processor/req")
	b.ReportMetric(1-float64(served)/float64(b.N), "refused/req")
}

// callOnKeptConnections sends a number of requests for a path, with one connection per caller, and returns how many
// were refused.
func callOnKeptConnections(p *platform, path string, requests int) int64 {
	var callers sync.WaitGroup
	var last, refused atomic.Int64
	body := strings.Repeat("x", streamBody)
	for range streamCallers {
		callers.Go(func() {
			c, err := users.Dial(p.routers[0].callers)
			if err != nil {
				return
			}
			defer c.Close()
			for n := last.Add(1); n <= int64(requests); n = last.Add(1) {
				r := users.Request{Method: "POST", Path: path, Key: callerKey, ID: fmt.Sprintf("crowd-%d", n), Body: body}
				if c.Send(r) != nil {
					return
				}
				got := c.Read()
				if got.Err != nil {
					return
				}
				if got.Status == http.StatusServiceUnavailable {
					refused.Add(1)
				}
			}
		})
	}
	callers.Wait()
	return refused.Load()
}
