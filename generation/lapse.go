package generation

import (
	"maps"
	"time"

	"github.com/tamarindstep/tamarindstep/config"
	"github.com/tamarindstep/tamarindstep/wire"
)

// While the store is available, an announcement that is withdrawn or expires is that of a backend server which has left
// or ended. Nothing more is sent to it, however many go at once: it serves only for a short time after the store has
// removed its announcement, part of which passes until the router receives the change.
//
// During an outage of the store announcements expire of backend servers that live, and are written again after its end.

// lapseGrace is how long after the end of an outage backend servers are kept whose announcements have expired. Live ones
// renew their announcements within about this time. It is counted from the end of the outage and not from when an
// announcement is missed, so that no later change prolongs it.
const lapseGrace = 2 * time.Second

// lapse is a backend server whose announcement expired during an outage.
type lapse struct {
	entry *wire.CatalogEntry
	until time.Time // when it is removed; never changed
}

// keepLapsed keeps the backend servers that are missing from a newer catalog if an outage of the store explains it.
// Those that announced that they leave are not kept. The caller holds the lock.
func (s *Service) keepLapsed(before, after *wire.Catalog) {
	c := &s.catalog
	there := entriesByName(after)
	maps.DeleteFunc(c.lapsed, func(name string, _ lapse) bool { return there[name] != nil })
	left := s.lapseTimeLeft()
	if left <= 0 {
		return
	}
	until := time.Now().Add(left)
	kept := 0
	for _, e := range before.GetEntries() {
		if e.Leaving || there[e.Name] != nil {
			continue
		}
		c.lapsed[e.Name] = lapse{entry: e, until: until}
		kept++
	}
	if kept == 0 {
		return
	}
	s.log.Warn().Int("backends", kept).Uint64("catalog", after.Revision).Dur("kept_ms", left).
		Msg("announcements ran out while the store was away: backend servers kept")
	time.AfterFunc(left, s.endLapses)
}

// lapseTimeLeft returns for how long a backend server is kept whose announcement is missing now; 0 or less for not at all.
func (s *Service) lapseTimeLeft() time.Duration {
	since, ever := s.scheduler.SinceStoreOutage()
	if !ever {
		return 0
	}
	return lapseGrace - since
}

// endLapses removes the backend servers that have not announced themselves again in time.
func (s *Service) endLapses() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.run.Err() != nil {
		return
	}
	before := len(s.catalog.lapsed)
	maps.DeleteFunc(s.catalog.lapsed, func(_ string, l lapse) bool { return !time.Now().Before(l.until) })
	lost := before - len(s.catalog.lapsed)
	if lost == 0 {
		return
	}
	s.catalog.edition++
	s.log.Info().Int("backends", lost).Msg("backend servers that didn't come back are given up")
	if s.document != nil {
		s.compile()
	}
}

// backends returns the backend servers of the catalog and the lapsed ones that are kept. The caller holds the lock.
func (s *Service) backends() []config.Discovered {
	var out []config.Discovered
	for _, e := range s.catalog.held.GetEntries() {
		out = append(out, discovered(e))
	}
	for _, l := range s.catalog.lapsed {
		d := discovered(l.entry)
		d.Lapsed = true
		out = append(out, d)
	}
	return out
}
