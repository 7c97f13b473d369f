package generation

import (
	"time"

	"github.com/tamarindstep/tamarindstep/wire"
)

const (
	// lapseGrace is how long backend servers are kept whose announcements expired together. Live ones renew their
	// announcements within about two seconds of the recovery of the store. A backend server that shuts down as
	// planned, but without announcing it, keeps serving for longer than this.
	lapseGrace = 1500 * time.Millisecond
	// minLapsed is the number, and minLapsedPart the part, of a pool's backend servers that must be missing at once
	// for the store to be considered the cause.
	minLapsed     = 2
	minLapsedPart = 0.5
)

// lapsed holds the backend servers whose announcements expired together, by name.
type lapsed struct {
	entries map[string]*wire.CatalogEntry
	until   time.Time
}

// keepLapsed keeps the backend servers that are missing from a newer catalog if so many of a pool are missing at once
// that the store has lost them: leases expire while it is unavailable. Backend servers that announced that they leave
// are not kept. The caller holds the lock.
func (s *Service) keepLapsed(before, after *wire.Catalog) {
	gone := lapsedTogether(before, after)
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
	l.until = time.Now().Add(lapseGrace)
	s.log.Warn().Int("backends", len(gone)).Uint64("catalog", after.Revision).Dur("kept_ms", lapseGrace).
		Msg("announcements ran out together: backend servers kept")
	time.AfterFunc(lapseGrace, s.endLapse)
}

// lapsedTogether returns the entries that are missing from the newer catalog, for those pools of which many are
// missing.
func lapsedTogether(before, after *wire.Catalog) []*wire.CatalogEntry {
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
		many := n >= minLapsed && float64(n) >= minLapsedPart*float64(all[e.Pool])
		if many && !e.Leaving && !there[e.Name] {
			out = append(out, e)
		}
	}
	return out
}

// endLapse removes the backend servers that have not announced themselves again.
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

// withLapsed returns the entries of the catalog and the lapsed entries that are kept. The caller holds the lock.
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
