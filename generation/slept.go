package generation

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// staleAfter is the sleep after which what a router holds may be older than a change takes to be
	// in force.
	staleAfter = time.Second
	// askedAwake is how many other routers are asked at a time what is in force.
	askedAwake = 3
)

// slept is told that the machine was suspended. Calls of the store that wait are made anew, as their
// connections may be gone; and after staleAfter the router isn't ready until it has learned what holds
// now: it would else serve by what held when it fell asleep, and refuse keys and routes by it.
func (s *Service) slept(long time.Duration) {
	s.storeReturned()
	if long < staleAfter || s.run.Err() != nil || !s.ready.Swap(false) {
		return
	}
	s.ended.Add(1)
	go func() {
		defer s.ended.Done()
		s.refresh(long)
	}()
}

// refresh makes the router ready once another router, or the store, has told what holds now.
func (s *Service) refresh(slept time.Duration) {
	s.log.Info().Dur("slept_ms", slept).Msg("not ready until it is known what holds now")
	began := time.Now()
	for s.run.Err() == nil {
		if s.askAwake() || s.readFresh() {
			s.ready.Store(true)
			s.log.Info().Dur("age_ms", time.Since(began)).Msg("ready again")
			return
		}
		s.pause()
	}
}

// askAwake fetches from some routers, drawn by chance, and tells whether one answered.
func (s *Service) askAwake() bool {
	var addresses []string
	for _, address := range s.peers.Routers() {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	for _, address := range addresses[:min(len(addresses), askedAwake)] {
		if s.fetch(address) == nil {
			return true
		}
	}
	return false
}

// readFresh reads the configuration and the evacuations from the store, and tells whether that was
// possible. The catalog's watch is begun anew by itself.
func (s *Service) readFresh() bool {
	if s.halls.operators == nil {
		return s.readStore()
	}
	_, err := s.readOperators(s.run, false)
	return err == nil
}
