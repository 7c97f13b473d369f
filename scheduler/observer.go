package scheduler

import (
	"time"

	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/model"
)

// Observer receives the core's notifications and requests to other services. Its functions,
// any of which may be nil, are called from the core's goroutine and must not
// block.
type Observer struct {
	// PollLoads receives the backend servers whose load is to be polled.
	PollLoads func(backends []model.BackendID)
	// NewerVersion receives a router that has a newer generation, a newer catalog of backend servers or newer
	// evacuations in force.
	NewerVersion func(core.NewerVersionSeen)
	// WatchStore receives whether the store is to be watched.
	WatchStore func(watch bool)
	// StoreRecovered is called when the store answers again: pending calls may never be answered, new
	// ones are.
	StoreRecovered func()
	// ContactStore requests a call of the store; the result is sent to the core as core.StoreContacted.
	ContactStore func()
	// Suspended receives how long the VM was suspended, after the core's time has been advanced by that.
	Suspended func(time.Duration)
	// HeldChanged receives each change of whether a request is held back, and each failed try of one.
	HeldChanged func(core.HeldChanged)
	// RequestTry requests permission for a try of a held-back request; the result is sent to the core as core.TryAnswered.
	// If no observer has it, each router decides on its own.
	RequestTry func(core.RequestTry)
	// SyncRegistry requests a change and a read of the registry of lineages; the result is sent to the core as
	// core.RegistrySynced. If no observer has it, versions of backend servers aren't registered.
	SyncRegistry func(core.SyncRegistry)
	// StoreStreams receives this router's unfinished streams whenever they are to be stored; the result is sent to the
	// core as core.StreamsStored.
	StoreStreams func(core.StoreStreams)
}

// Observe adds an observer. It must be called before the core processes events.
func (s *Service) Observe(o Observer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observers = append(s.observers, o)
}

// notify calls the selected function of each observer that has it.
func (s *Service) notify(function func(Observer) func()) {
	s.eachObserver(func(o Observer) {
		if call := function(o); call != nil {
			call()
		}
	})
}

func (s *Service) eachObserver(call func(Observer)) {
	s.mu.Lock()
	observers := s.observers
	s.mu.Unlock()
	for _, o := range observers {
		call(o)
	}
}
