package generation

import (
	"sync/atomic"
	"time"

	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/internal/clock"
)

const (
	// staleGrace is how long a router serves after it has learned that another one has a newer configuration, or
	// newer evacuations, in force. A fetch takes some milliseconds, and half a second from a second router; a change
	// has to be in force within two seconds.
	staleGrace = time.Second
	// newerSeenTTL is how recent the last report of a newer version must be. A router that is cut off from all others
	// keeps serving with the state it has.
	newerSeenTTL = time.Second
)

// staleness records whether other routers have newer state in force than this one.
type staleness struct {
	since    atomic.Int64 // clock time when the newer state was first seen, 0 if there is none
	lastSeen atomic.Int64 // clock time when another router last reported it
}

// recordNewer records that another router has newer state, other than the catalog.
func (s *staleness) recordNewer(now time.Duration) {
	s.since.CompareAndSwap(0, int64(now))
	s.lastSeen.Store(int64(now))
}

// reset records that no newer state is known.
func (s *staleness) reset() { s.since.Store(0) }

// isStale reports whether the router must not serve with its state.
func (s *staleness) isStale(now time.Duration) bool {
	since := time.Duration(s.since.Load())
	return since != 0 && now-since > staleGrace && now-time.Duration(s.lastSeen.Load()) < newerSeenTTL
}

// recordSeen records the versions of another router, and whether they are newer than those in force here. The caller
// holds the lock.
func (s *Service) recordSeen(theirs core.Versions) {
	s.seen.Generation = max(s.seen.Generation, theirs.Generation)
	s.seen.Halls = max(s.seen.Halls, theirs.Halls)
	s.updateStale()
}

// recordFetched records that the state of another router was fetched. A part that could not be read stays newer, but
// is not waited for.
func (s *Service) recordFetched() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen = s.heldVersions()
	s.stale.reset()
}

// updateStale compares the versions in force with the newest ones seen. The caller holds the lock.
func (s *Service) updateStale() {
	held := s.heldVersions()
	held.Catalog = s.seen.Catalog
	if s.seen.Exceed(held) {
		s.stale.recordNewer(clock.System.Now())
		return
	}
	s.stale.reset()
}
