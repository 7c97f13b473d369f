package scheduler

import (
	"sync"

	"github.com/tamarindstep/tamarindstep/config"
	"github.com/tamarindstep/tamarindstep/core"
)

// configurationSlot holds the newest configuration that the core has not received yet. Unlike the queue of events it
// always has room: a configuration is handed over with a lock held that observers take in the core's goroutine.
type configurationSlot struct {
	mu     sync.Mutex
	next   *core.Config // nil if the core has received the last one
	event  queuedEvent
	filled chan struct{} // has a value if there may be a configuration
}

func newConfigurationSlot() *configurationSlot {
	return &configurationSlot{filled: make(chan struct{}, 1)}
}

// put replaces the configuration in the slot, unless that is newer. It does not block.
func (s *configurationSlot) put(next *core.Config, e queuedEvent) {
	s.mu.Lock()
	if s.next == nil || !s.next.Versions().Exceed(next.Versions()) {
		s.next, s.event = next, e
	}
	s.mu.Unlock()
	select {
	case s.filled <- struct{}{}:
	default:
	}
}

// take empties the slot, and reports whether there was a configuration.
func (s *configurationSlot) take() (e queuedEvent, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok = s.event, s.next != nil
	s.next, s.event = nil, queuedEvent{}
	return e, ok
}

// Configure puts a configuration in force, before any event that is queued afterwards. It does not block. The core
// receives only the newest of several that are handed over between two events.
func (s *Service) Configure(c *config.Compiled) {
	s.configurations.put(c.Core, queuedEvent{core.Configure{Config: c.Core}, s.now()})
}
