package scheduler

import (
	"sync"
	"time"

	"github.com/tamarindstep/tamarindstep/core"
)

// unreadInterval is the interval at which requests that were refused unread are reported to the
// core. Batching them leaves an overloaded router's core time for other decisions; a shorter
// interval would not notify other routers any sooner.
const unreadInterval = 20 * time.Millisecond

// unreadBatch collects requests that were refused unread.
type unreadBatch struct {
	mu       sync.Mutex
	requests []core.UnreadRequest
}

// add adds a request, and reports whether it is the first of the batch.
func (u *unreadBatch) add(r core.UnreadRequest) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.requests = append(u.requests, r)
	return len(u.requests) == 1
}

// take returns the requests collected and clears the batch.
func (u *unreadBatch) take() []core.UnreadRequest {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := u.requests
	u.requests = nil
	return out
}

// ReportUnread reports a request that was refused without a decision of the core.
func (s *Service) ReportUnread(r core.UnreadRequest) {
	if s.unread.add(r) {
		time.AfterFunc(unreadInterval, func() { s.Enqueue(core.RefusedUnread{Requests: s.unread.take()}) })
	}
}
