package generation

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// staleAfter is the length of a suspension after which the state of a router may be older than the time that a
	// change takes to come into force on the other routers.
	staleAfter = time.Second
	// refreshPeers is the number of other routers that are asked for newer state per attempt.
	refreshPeers = 3
)

// handleSuspend handles a suspension of the VM. Pending calls of the store are made again, as their
// connections may be broken. After a suspension of staleAfter or more, the router is not ready until it has received
// the current state: with the previous one, it would refuse valid keys and routes.
func (s *Service) handleSuspend(suspension time.Duration) {
	s.cancelStoreCalls()
	if suspension < staleAfter || s.run.Err() != nil || !s.ready.Swap(false) {
		return
	}
	s.ended.Add(1)
	go func() {
		defer s.ended.Done()
		s.refresh(suspension)
	}()
}

// refresh makes the router ready once another router or the store has sent the current state.
func (s *Service) refresh(suspension time.Duration) {
	s.log.Info().Dur("slept_ms", suspension).Msg("not ready until it is known what holds now")
	began := time.Now()
	for s.run.Err() == nil {
		if s.fetchFromAny() || s.rereadStore() {
			s.ready.Store(true)
			s.log.Info().Dur("age_ms", time.Since(began)).Msg("ready again")
			return
		}
		s.waitToRetry()
	}
}

// fetchFromAny fetches from up to refreshPeers routers, in random order, until one answers. It reports whether one
// did.
func (s *Service) fetchFromAny() bool {
	var addresses []string
	for _, address := range s.peers.Routers() {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	for _, address := range addresses[:min(len(addresses), refreshPeers)] {
		if s.fetch(address) == nil {
			return true
		}
	}
	return false
}

// rereadStore reads the configuration and the evacuations from the store and reports whether that succeeded. The
// watch of the catalog restarts separately.
func (s *Service) rereadStore() bool {
	if s.halls.operators == nil {
		return s.readStore()
	}
	_, err := s.readOperators(s.run, false)
	return err == nil
}
