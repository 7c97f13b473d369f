package scheduler

import "github.com/tamarindstep/tamarindstep/core"

// hasRegistryObserver reports whether an observer maintains the registry of lineages.
func (s *Service) hasRegistryObserver() bool {
	found := false
	s.eachObserver(func(o Observer) { found = found || o.SyncRegistry != nil })
	return found
}

// syncRegistry sends the request for a read of the registry to the observers.
func (s *Service) syncRegistry(a core.SyncRegistry) {
	s.eachObserver(func(o Observer) {
		if o.SyncRegistry != nil {
			o.SyncRegistry(a)
		}
	})
}

// storeStreams sends the unfinished streams to the observers.
func (s *Service) storeStreams(a core.StoreStreams) {
	s.eachObserver(func(o Observer) {
		if o.StoreStreams != nil {
			o.StoreStreams(a)
		}
	})
}
