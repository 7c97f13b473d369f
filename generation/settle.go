package generation

import (
	"maps"
	"slices"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/wire"
)

// A store that is restored from a backup has state that is seconds old: a backend server that left appears like a new
// one, one that drains appears ready, one that started since is missing, and an evacuation is missing or present again.
// Operators and backend servers repeat their writes. Until they have, or settlePeriod is over, the state before the
// restore stays in force where the backup differs. Anything written after the restore is in force at once.

const (
	// settlePeriod is how long after a restore the state before it stays in force where the backup differs. Backend
	// servers write their entries about every 1.2 s (the heartbeat of the platform), so that this is four times as
	// long.
	settlePeriod = 5 * time.Second
	// departedRetention is how long removed backend servers are remembered: longer than the age of a backup.
	departedRetention = 2 * time.Minute
)

// settling is the state of backend servers that have not written their entries since the store was restored.
type settling struct {
	until time.Time
	// kept holds the previous entries by name, nil for a backend server that had been removed.
	kept map[string]*wire.CatalogEntry
	last uint64 // revision of the last received change
}

// publishedRevision returns the revision that is sent to other routers with a state. It is lower by one while the
// state is not settled, so that the settled state replaces it everywhere even if nothing is written in between.
func publishedRevision(revision uint64, settled bool) uint64 {
	if settled {
		return revision
	}
	return revision - 1
}

// initialRevision returns the revision that is sent to other routers with the state that a router read as it started.
// It is of the first era, because the router cannot tell whether the store has just been restored: state that other
// routers have received since replaces it.
func initialRevision(revision uint64) uint64 {
	return uint64(model.VersionOf(0, model.Version(revision).Revision()))
}

func eraOf(revision uint64) uint32 { return model.Version(revision).Era() }

// settleCatalog starts the settle period if a list is the first of an era. The caller holds the lock.
func (s *Service) settleCatalog(all []Announcement, at uint64) {
	c := &s.catalog
	restored := c.held != nil && eraOf(at) > c.era
	c.era = max(c.era, eraOf(at))
	if !restored {
		return
	}
	listed := map[string]bool{}
	kept := map[string]*wire.CatalogEntry{}
	before := entriesByName(c.held)
	for _, a := range all {
		if a.Backend == nil {
			continue
		}
		name := a.Backend.Name
		listed[name] = true
		switch old, had := before[name]; {
		case had && (old.Leaving && !a.Backend.Leaving || a.Backend.IsRestartOf(incarnationOf(old))):
			kept[name] = old
		case !had && time.Since(c.departed[name]) < departedRetention:
			kept[name] = nil
		}
	}
	for name, old := range before {
		if !listed[name] {
			kept[name] = old
		}
	}
	c.settling = settling{until: time.Now().Add(settlePeriod), kept: kept}
	s.log.Warn().Uint64("catalog", at).Int("kept", len(kept)).Dur("settle_ms", settlePeriod).Msg("backend servers are kept as they were before the store's return")
	time.AfterFunc(settlePeriod, s.endSettling)
}

// markWritten records that an entry was written again or withdrawn. The caller holds the lock.
func (s *settling) markWritten(name string) { delete(s.kept, name) }

// overlay returns the entries, with those replaced whose previous state is kept.
func (s *settling) overlay(entries map[string]*wire.CatalogEntry) []*wire.CatalogEntry {
	if len(s.kept) == 0 {
		return slices.SortedFunc(maps.Values(entries), compareNames)
	}
	out := map[string]*wire.CatalogEntry{}
	for _, e := range entries {
		out[e.Name] = e
	}
	for name, e := range s.kept {
		delete(out, name)
		if e != nil {
			out[name] = e
		}
	}
	return slices.SortedFunc(maps.Values(out), compareNames)
}

// endSettling ends the settle period: the state of the store is in force.
func (s *Service) endSettling() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.run.Err() != nil {
		return
	}
	if c := &s.catalog; len(c.settling.kept) > 0 && !time.Now().Before(c.settling.until) {
		s.log.Info().Int("kept", len(c.settling.kept)).Msg("backend servers not written since the store was restored: state of the store taken")
		c.settling.kept = nil
		s.publishCatalog()
	}
	if h := &s.halls; len(h.kept) > 0 && !time.Now().Before(h.until) {
		h.kept = nil
		s.publishHalls()
	}
}

// recordDeparted records the backend servers that are missing from a newer catalog. The caller holds the lock.
func (s *Service) recordDeparted(before, after *wire.Catalog) {
	c := &s.catalog
	if c.departed == nil {
		c.departed = map[string]time.Time{}
	}
	maps.DeleteFunc(c.departed, func(_ string, at time.Time) bool { return time.Since(at) > departedRetention })
	there := entriesByName(after)
	for _, e := range before.GetEntries() {
		if there[e.Name] == nil {
			c.departed[e.Name] = time.Now()
		}
	}
}

// settleHalls starts the settle period if a read is the first of an era. The caller holds the lock.
func (s *Service) settleHalls(own map[string]bool, at uint64) {
	h := &s.halls
	restored := h.held != nil && eraOf(at) > h.era
	h.era = max(h.era, eraOf(at))
	if !restored {
		return
	}
	kept := map[string]bool{}
	for _, hall := range h.held.Evacuated {
		if !own[hall] {
			kept[hall] = true
		}
	}
	for hall := range own {
		if !slices.Contains(h.held.Evacuated, hall) {
			kept[hall] = false
		}
	}
	h.kept, h.until = kept, time.Now().Add(settlePeriod)
	s.log.Warn().Uint64("halls", at).Int("kept", len(kept)).Dur("settle_ms", settlePeriod).Msg("evacuations are kept as they were before the store was restored")
	time.AfterFunc(settlePeriod, s.endSettling)
}

// evacuated returns the evacuated data halls, with the previous state of those that are kept.
func (h *halls) evacuated() []string {
	out := maps.Clone(h.own)
	for hall, evacuated := range h.kept {
		delete(out, hall)
		if evacuated {
			out[hall] = true
		}
	}
	return slices.Sorted(maps.Keys(out))
}
