package scheduler

import (
	"sync"
	"time"

	"github.com/tamarindstep/tamarindstep/core"
)

// turnedAwayEvery is how often the core is told of requests that were refused without a
// decision. A flooded router's core has others to decide on, and other routers hear of it no
// sooner.
const turnedAwayEvery = 20 * time.Millisecond

// turnedAway gathers what the core is to be told of requests that weren't read.
type turnedAway struct {
	mu       sync.Mutex
	requests []core.Unread
}

// add takes a request, and tells whether it is the first of those to be told.
func (t *turnedAway) add(r core.Unread) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests = append(t.requests, r)
	return len(t.requests) == 1
}

// take returns what was gathered.
func (t *turnedAway) take() []core.Unread {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.requests
	t.requests = nil
	return out
}

// TurnAway tells of a request that was refused without a decision of the core.
func (s *Service) TurnAway(r core.Unread) {
	if s.turnedAway.add(r) {
		time.AfterFunc(turnedAwayEvery, func() { s.Tell(core.TurnedAway{Requests: s.turnedAway.take()}) })
	}
}
