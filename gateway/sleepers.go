package gateway

import (
	"context"
	"sync"
)

// sleepers are the requests being served. Their timers stand still while the machine is suspended, so
// that those whose time is over by then are ended as it wakes: sent on, they would run for callers
// that have given them up, for as long as the machine has slept.
type sleepers struct {
	mu  sync.Mutex
	end map[*attempt]context.CancelFunc
}

func newSleepers() sleepers { return sleepers{end: map[*attempt]context.CancelFunc{}} }

func (s *sleepers) add(a *attempt, end context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end[a] = end
}

func (s *sleepers) remove(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.end, a)
}

// wake ends the requests whose time is over.
func (s *sleepers) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for a, end := range s.end {
		if a.left() <= 0 {
			a.overslept.Store(true)
			end()
		}
	}
}
