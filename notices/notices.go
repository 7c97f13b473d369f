// Package notices records the notices that backend servers send with their answers, and prevents requests from being
// sent to those that accept no new ones.
//
// The notices are checked twice. The scheduler checks them when it selects a backend server. But its decision may be
// outdated when it is carried out: on a busy router the event with the notice waits in a queue, and it takes time to
// establish a connection. So the sender checks again directly before it sends the first byte.
package notices

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/core/notice"
	"github.com/tamarindstep/tamarindstep/internal/clock"
	"github.com/tamarindstep/tamarindstep/model"
)

// Scheduler receives the notices as events.
type Scheduler interface {
	Enqueue(core.Event)
}

// Board holds the notices that a router has received.
type Board struct {
	scheduler Scheduler
	clock     *clock.Clock
	counter   *prometheus.CounterVec // by kind

	mu       sync.Mutex
	registry *notice.Registry
}

// New returns an empty board. It counts received notices by kind in counter.
func New(scheduler Scheduler, c *clock.Clock, counter *prometheus.CounterVec) *Board {
	return &Board{scheduler: scheduler, clock: c, counter: counter, registry: notice.New()}
}

// Record records a notice of a backend server, and reports whether it changes what may be sent to it. It sends the
// notice to the scheduler first, so that a request that is then not sent is scheduled again with the notice considered.
func (b *Board) Record(id model.BackendID, n notice.Notice) (changed bool) {
	if n == (notice.Notice{}) {
		return false
	}
	if n.Leaving {
		b.counter.WithLabelValues("leaving").Inc()
	}
	if n.Rest > 0 {
		b.counter.WithLabelValues("rest").Inc()
	}
	b.scheduler.Enqueue(core.NoticeReceived{Backend: id, Notice: n})
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.registry.Record(b.clock.Now(), id, n)
}

// Unreadable counts a notice that can't be parsed.
func (b *Board) Unreadable() { b.counter.WithLabelValues("unreadable").Inc() }

// Accepts reports whether a backend server accepts new requests, according to its notices.
func (b *Board) Accepts(id model.BackendID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.registry.Accepts(b.clock.Now(), id)
}
