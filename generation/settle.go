package generation

import (
	"maps"
	"slices"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/wire"
)

// A store that comes back from a copy says what held seconds ago: a backend server that left is there as a new one would be, one that
// drains is ready, one that started since is missing, an evacuation is gone or there again. Operators and backend servers
// write again what they wrote. Until each has, or settleFor is over, what held before the return goes on to hold where the copy
// differs; whatever is written after the return holds at once.

const (
	// settleFor is how long after a return the copy isn't believed where it differs from what held before. Backend servers
	// write their entries about every 1.2 s (the platform's heartbeat), so that this is four times as long.
	settleFor = 5 * time.Second
	// departedFor is how long it is remembered that a backend server has gone: longer than a copy is old.
	departedFor = 2 * time.Minute
)

// settling is what holds of backend servers until they have written their entries again.
type settling struct {
	until time.Time
	// kept holds the entries as they were, by name; nil stands for one that had gone.
	kept map[string]*wire.CatalogEntry
	last uint64 // revision of the last change that was seen
}

// told returns the revision that a state is told to other routers with: it is the next lower one while it isn't
// settled, so that the settled one goes before it everywhere even where nothing is written in between.
func told(revision uint64, settled bool) uint64 {
	if settled {
		return revision
	}
	return revision - 1
}

// startRevision returns the revision that a state is told with which a router has read as it started: of the first era, as it
// can't know whether the store has just come back. What others know since goes before it.
func startRevision(revision uint64) uint64 {
	return uint64(model.VersionOf(0, model.Version(revision).Revision()))
}

func eraOf(revision uint64) uint32 { return model.Version(revision).Era() }

// settleCatalog begins to settle where a list is the first of an era. The caller holds the lock.
func (s *Service) settleCatalog(all []Announcement, at uint64) {
	c := &s.catalog
	returned := c.held != nil && eraOf(at) > c.era
	c.era = max(c.era, eraOf(at))
	if !returned {
		return
	}
	listed := map[string]bool{}
	kept := map[string]*wire.CatalogEntry{}
	before := byNames(c.held)
	for _, a := range all {
		if a.Backend == nil {
			continue
		}
		name := a.Backend.Name
		listed[name] = true
		switch old, had := before[name]; {
		case had && (old.Leaving && !a.Backend.Leaving || a.Backend.Follows(incarnationOf(old))):
			kept[name] = old
		case !had && time.Since(c.departed[name]) < departedFor:
			kept[name] = nil
		}
	}
	for name, old := range before {
		if !listed[name] {
			kept[name] = old
		}
	}
	c.settling = settling{until: time.Now().Add(settleFor), kept: kept}
	s.log.Warn().Uint64("catalog", at).Int("kept", len(kept)).Dur("settle_ms", settleFor).Msg("backend servers are kept as they were before the store's return")
	time.AfterFunc(settleFor, s.endSettling)
}

// written takes that an entry was written again, or taken back. The caller holds the lock.
func (s *settling) written(name string) { delete(s.kept, name) }

// over returns the entries with those that are kept as they were.
func (s *settling) over(entries map[string]*wire.CatalogEntry) []*wire.CatalogEntry {
	if len(s.kept) == 0 {
		return slices.SortedFunc(maps.Values(entries), byName)
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
	return slices.SortedFunc(maps.Values(out), byName)
}

// endSettling believes what the store has.
func (s *Service) endSettling() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.run.Err() != nil {
		return
	}
	if c := &s.catalog; len(c.settling.kept) > 0 && !time.Now().Before(c.settling.until) {
		s.log.Info().Int("kept", len(c.settling.kept)).Msg("backend servers that weren't written again are as the store has them")
		c.settling.kept = nil
		s.publishCatalog()
	}
	if h := &s.halls; len(h.kept) > 0 && !time.Now().Before(h.until) {
		h.kept = nil
		s.publishHalls()
	}
}

// noteDeparted remembers the backend servers that a newer catalog lacks. The caller holds the lock.
func (s *Service) noteDeparted(before, after *wire.Catalog) {
	c := &s.catalog
	if c.departed == nil {
		c.departed = map[string]time.Time{}
	}
	maps.DeleteFunc(c.departed, func(_ string, at time.Time) bool { return time.Since(at) > departedFor })
	there := byNames(after)
	for _, e := range before.GetEntries() {
		if there[e.Name] == nil {
			c.departed[e.Name] = time.Now()
		}
	}
}

// settleHalls begins to settle where a read is the first of an era. The caller holds the lock.
func (s *Service) settleHalls(own map[string]bool, at uint64) {
	h := &s.halls
	returned := h.held != nil && eraOf(at) > h.era
	h.era = max(h.era, eraOf(at))
	if !returned {
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
	h.kept, h.until = kept, time.Now().Add(settleFor)
	s.log.Warn().Uint64("halls", at).Int("kept", len(kept)).Dur("settle_ms", settleFor).Msg("evacuations are kept as they were before the store's return")
	time.AfterFunc(settleFor, s.endSettling)
}

// evacuated returns the data halls that are evacuated, with those that are kept as they were.
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
