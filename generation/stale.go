package generation

import (
	"sync/atomic"
	"time"

	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/internal/clock"
)

const (
	// staleFor is how long a router may know that another one has a newer configuration, or newer
	// evacuations, in force until it doesn't serve by its own any more. A fetch takes some milliseconds,
	// and from a second router half a second; users want a change in force in two.
	staleFor = time.Second
	// hearsay is how long ago another router has last said so. One that is cut off from all others goes
	// on with what it has.
	hearsay = time.Second
)

// stale is what this router knows of having older state in force than others.
type stale struct {
	since atomic.Int64 // when the newer state was first seen, by the clock, 0 for none
	heard atomic.Int64 // when another router has last told of it
}

// noteNewer notes that another router has something newer than the catalog.
func (s *stale) noteNewer(now time.Duration) {
	s.since.CompareAndSwap(0, int64(now))
	s.heard.Store(int64(now))
}

// noteHeld notes that nothing newer is known of than what is in force.
func (s *stale) noteHeld() { s.since.Store(0) }

// isStale tells whether the router shouldn't serve by what it has.
func (s *stale) isStale(now time.Duration) bool {
	since := time.Duration(s.since.Load())
	return since != 0 && now-since > staleFor && now-time.Duration(s.heard.Load()) < hearsay
}

// noteSeen notes what another router has, and whether that is newer than what is in force here. The caller
// holds the lock.
func (s *Service) noteSeen(theirs core.Versions) {
	s.seen.Generation = max(s.seen.Generation, theirs.Generation)
	s.seen.Halls = max(s.seen.Halls, theirs.Halls)
	s.noteWhetherStale()
}

// noteTaken notes that all that another router had has been taken. What couldn't be read of it is newer
// still, and isn't waited for.
func (s *Service) noteTaken() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen = s.heldVersions()
	s.stale.noteHeld()
}

// noteWhetherStale compares what is in force with the newest that was seen. The caller holds the lock.
func (s *Service) noteWhetherStale() {
	held := s.heldVersions()
	held.Catalog = s.seen.Catalog
	if s.seen.Exceed(held) {
		s.stale.noteNewer(clock.System.Now())
		return
	}
	s.stale.noteHeld()
}
