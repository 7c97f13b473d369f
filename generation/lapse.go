package generation

import (
	"time"

	"github.com/tamarindstep/tamarindstep/wire"
)

const (
	// lapseKept is how long backend servers are kept whose announcements have run out
	// together. Those that live write themselves back within about two seconds of the
	// store's return; a planned end that says nothing is served on for longer than this.
	lapseKept = 1500 * time.Millisecond
	// lapseLeast is how many of a pool must be gone at once, and lapsePart what part of
	// it, for that to be taken for the store's doing.
	lapseLeast = 2
	lapsePart  = 0.5
)

// lapsed holds the backend servers whose announcements have run out together, by name.
type lapsed struct {
	entries map[string]*wire.CatalogEntry
	until   time.Time
}

// noteLapse keeps the backend servers that a newer catalog lacks, where so many of a
// pool are gone at once that it is the store that has lost them: leases run out while it
// is away. One that had said that it leaves isn't kept. The caller holds the lock.
func (s *Service) noteLapse(before, after *wire.Catalog) {
	gone := goneTogether(before, after)
	if len(gone) == 0 {
		return
	}
	l := &s.catalog.lapsed
	if l.entries == nil {
		l.entries = map[string]*wire.CatalogEntry{}
	}
	for _, e := range gone {
		l.entries[e.Name] = e
	}
	l.until = time.Now().Add(lapseKept)
	s.log.Warn().Int("backends", len(gone)).Uint64("catalog", after.Revision).Dur("kept_ms", lapseKept).
		Msg("announcements ran out together: backend servers kept")
	time.AfterFunc(lapseKept, s.endLapse)
}

// goneTogether returns the entries of pools of which a catalog lacks many that the one
// before it has.
func goneTogether(before, after *wire.Catalog) []*wire.CatalogEntry {
	there := map[string]bool{}
	for _, e := range after.GetEntries() {
		there[e.Name] = true
	}
	all := map[string]int{}
	missing := map[string][]*wire.CatalogEntry{}
	for _, e := range before.GetEntries() {
		if e.Leaving {
			continue
		}
		all[e.Pool]++
		if !there[e.Name] {
			missing[e.Pool] = append(missing[e.Pool], e)
		}
	}
	var out []*wire.CatalogEntry
	for _, e := range before.GetEntries() {
		n := len(missing[e.Pool])
		many := n >= lapseLeast && float64(n) >= lapsePart*float64(all[e.Pool])
		if many && !e.Leaving && !there[e.Name] {
			out = append(out, e)
		}
	}
	return out
}

// endLapse gives up the backend servers that haven't come back.
func (s *Service) endLapse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := &s.catalog.lapsed
	if s.run.Err() != nil || len(l.entries) == 0 || time.Now().Before(l.until) {
		return
	}
	lost := len(s.withLapsed()) - len(s.catalog.held.GetEntries())
	l.entries = nil
	s.catalog.edition++
	s.log.Info().Int("backends", lost).Msg("backend servers that didn't come back are given up")
	if s.document != nil {
		s.compile()
	}
}

// withLapsed returns the entries of the catalog and the backend servers kept beside it.
// The caller holds the lock.
func (s *Service) withLapsed() []*wire.CatalogEntry {
	out := s.catalog.held.GetEntries()
	there := map[string]bool{}
	for _, e := range out {
		there[e.Name] = true
	}
	out = append([]*wire.CatalogEntry(nil), out...)
	for name, e := range s.catalog.lapsed.entries {
		if !there[name] {
			out = append(out, e)
		}
	}
	return out
}
