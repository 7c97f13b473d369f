package gateway

import (
	"context"
	"sync"
)

// inFlight tracks the requests being served, to cancel those that are left at the end of a stop, and those whose deadline
// passed while the VM was suspended. Their timers don't advance during suspension: without this they would be sent after the resume and run for callers that
// have given up, for as long as the suspension lasted.
type inFlight struct {
	mu     sync.Mutex
	cancel map[*attempt]context.CancelFunc
}

func newInFlight() inFlight { return inFlight{cancel: map[*attempt]context.CancelFunc{}} }

func (f *inFlight) add(a *attempt, cancel context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancel[a] = cancel
}

func (f *inFlight) remove(a *attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.cancel, a)
}

// cancelExpired cancels the requests whose deadline has passed.
func (f *inFlight) cancelExpired() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for a, cancel := range f.cancel {
		if a.left() <= 0 {
			a.expiredInSuspension.Store(true)
			cancel()
		}
	}
}

// cancelAll cancels all requests, as the router stops.
func (f *inFlight) cancelAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for a, cancel := range f.cancel {
		a.cut.Store(true)
		cancel()
	}
}
