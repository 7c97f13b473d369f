package scheduler

import (
	"time"

	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/model"
)

// Observer is told of what the core wants from another service. Its functions,
// any of which may be nil, are called from the core's goroutine and must not
// block.
type Observer struct {
	// Loads is given the backend servers whose load is to be asked for.
	Loads func(backends []model.BackendID)
	// Generation is given a router that has something newer in force.
	Generation func(core.GenerationSeen)
	// Store tells whether the store is to be watched.
	Store func(watch bool)
	// Returned tells that calls of the store that wait may never be answered, and that new
	// ones are.
	Returned func()
	// Contact asks whether the store answers; core.StoreContacted is to be told.
	Contact func()
	// Slept is told that the machine was suspended, after the core's time has gone on by as long.
	Slept func(time.Duration)
	// Held is given each request that is held back from now on, or isn't any more.
	Held func(core.HeldChanged)
	// Try is asked whether a request that is held back may be tried; core.TryAnswered is to be told. Where nobody is asked,
	// each router decides by itself.
	Try func(core.AskTry)
}

// Observe adds an observer; it must be done before events come.
func (s *Service) Observe(o Observer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observers = append(s.observers, o)
}

// signal calls a function of each observer that has it.
func (s *Service) signal(of func(Observer) func()) {
	s.eachObserver(func(o Observer) {
		if tell := of(o); tell != nil {
			tell()
		}
	})
}

func (s *Service) eachObserver(tell func(Observer)) {
	s.mu.Lock()
	observers := s.observers
	s.mu.Unlock()
	for _, o := range observers {
		tell(o)
	}
}
