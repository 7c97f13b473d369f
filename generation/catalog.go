package generation

import (
	"cmp"
	"context"
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"github.com/tamarindstep/tamarindstep/config"
	"github.com/tamarindstep/tamarindstep/store"
	"github.com/tamarindstep/tamarindstep/wire"
)

// Discovery is where backend servers announce themselves. Each announcement has
// a key; what it announces may change, and it may be taken back.
type Discovery interface {
	// List returns all announcements, and the revision they are of. A stale list may be
	// seconds old, and costs less.
	List(ctx context.Context, stale bool) ([]Announcement, uint64, error)
	// Changes waits for changes after a revision, and returns them with the
	// revision up to which they are complete. The error is of type store.Forgotten where
	// the changes aren't known any more, and all must be listed anew.
	Changes(ctx context.Context, revision uint64) ([]Announcement, uint64, error)
}

// Announcement is what one key announces.
type Announcement struct {
	Key      string
	Revision uint64
	// Backend is nil where the announcement was taken back, or can't be read.
	Backend *config.Discovered
	// Problem is why it can't be read, nil where it can or was taken back.
	Problem error
}

// catalog is what is known of the backend servers that announce themselves.
type catalog struct {
	discovery Discovery
	held      *wire.Catalog
	entries   map[string]*wire.CatalogEntry // by key, of the last list that was read here
	at        uint64                        // up to which the changes were seen here
	lapsed    lapsed
	history   history
	edition   uint64 // raised when what is kept beside the catalog changes by itself
	era       uint32 // of what is in force
	settling  settling
	departed  map[string]time.Time // when those went that are gone
}

// readCatalog lists the announcements, and tells whether that was possible.
func (s *Service) readCatalog() bool {
	if s.catalog.discovery == nil {
		return true
	}
	return s.listCatalog(s.run, true) == nil
}

func (s *Service) listCatalog(ctx context.Context, stale bool) error {
	s.metrics.StoreCalls.WithLabelValues("list").Inc()
	wait, done := s.unlessBack(ctx)
	defer done()
	all, at, err := s.catalog.discovery.List(wait, stale)
	if err != nil {
		s.metrics.StoreFailures.WithLabelValues("list").Inc()
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.catalog.entries
	s.catalog.entries = map[string]*wire.CatalogEntry{}
	s.catalog.at = at
	if stale {
		s.catalog.era = max(s.catalog.era, eraOf(at))
		at = startRevision(at)
	} else {
		s.settleCatalog(all, at)
	}
	s.takeAnnouncements(all, at, before)
	return nil
}

// watchCatalog follows the announcements while this router is one of those
// that watch the store.
func (s *Service) watchCatalog(ctx context.Context) {
	defer s.ended.Done()
	if s.catalog.discovery == nil {
		return
	}
	rest(ctx, watchSettle-time.Since(s.began))
	var p pace
	for ctx.Err() == nil {
		err := s.listCatalog(ctx, false)
		for err == nil && ctx.Err() == nil {
			err = s.followCatalog(ctx, &p)
		}
		s.restUnlessBack(ctx, p.afterFailure())
	}
}

// followCatalog waits for changes and takes them. It fails only where all must be listed
// anew: while the store is out, the watch goes on from where it was.
func (s *Service) followCatalog(ctx context.Context, p *pace) error {
	began := time.Now()
	s.mu.Lock()
	since := s.catalog.at
	s.mu.Unlock()
	s.metrics.StoreCalls.WithLabelValues("watch").Inc()
	wait, done := s.unlessBack(ctx)
	defer done()
	changes, at, err := s.catalog.discovery.Changes(wait, since)
	s.noteWatch(wait, watchEnded{of: "backend-servers", began: began, since: since, changes: len(changes), err: err})
	if err != nil {
		s.metrics.StoreFailures.WithLabelValues("watch").Inc()
		if errorx.IsOfType(err, store.Forgotten) {
			return err
		}
		rest(wait, p.afterFailure())
		return nil
	}
	defer func() { rest(ctx, p.afterChange(time.Since(began))) }()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.catalog.at = max(s.catalog.at, at)
	last := uint64(0)
	for _, change := range changes {
		last = max(last, change.Revision)
		s.noteWritten(change)
	}
	s.takeAnnouncements(changes, last, s.catalog.entries)
	return nil
}

// takeAnnouncements brings announcements into the catalog, which then is of the
// given revision where anything changed; before are the entries as they were. The caller holds
// the lock.
func (s *Service) takeAnnouncements(changes []Announcement, revision uint64, before map[string]*wire.CatalogEntry) {
	for _, change := range changes {
		switch {
		case change.Backend != nil:
			s.catalog.entries[change.Key] = entryOf(change.Backend)
		case change.Problem != nil:
			s.takeUnreadable(change, before)
		default:
			delete(s.catalog.entries, change.Key)
		}
	}
	s.catalog.settling.last = max(s.catalog.settling.last, revision)
	s.publishCatalog()
}

// publishCatalog brings into force what was listed and watched here. The caller holds the lock.
func (s *Service) publishCatalog() {
	settling := &s.catalog.settling
	s.replaceCatalog(&wire.Catalog{
		Revision: told(settling.last, len(settling.kept) == 0), Entries: settling.over(s.catalog.entries),
	})
}

// noteWritten notes that an announcement was written after the store's return, or taken back. The caller holds the lock.
func (s *Service) noteWritten(change Announcement) {
	if change.Backend != nil {
		s.catalog.settling.written(change.Backend.Name)
	}
	if named := s.catalog.entries[change.Key]; named != nil {
		s.catalog.settling.written(named.Name)
	}
}

// takeUnreadable takes an announcement that can't be read. The backend server that its key named
// before gets nothing new, and what it runs goes on, as at one that leaves; a key that named none names
// none. The caller holds the lock.
func (s *Service) takeUnreadable(change Announcement, before map[string]*wire.CatalogEntry) {
	s.metrics.Unreadable.Inc()
	named := before[change.Key]
	s.log.Warn().Err(change.Problem).Str("key", change.Key).Uint64("revision", change.Revision).
		Bool("replaced", named != nil).Msg("announcement can't be read")
	delete(s.catalog.entries, change.Key)
	if named == nil {
		return
	}
	left := proto.Clone(named).(*wire.CatalogEntry)
	left.Leaving = true
	s.catalog.entries[change.Key] = left
}

func byName(a, b *wire.CatalogEntry) int { return cmp.Compare(a.Name, b.Name) }

// installCatalog takes another router's catalog.
func (s *Service) installCatalog(next *wire.Catalog) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.installNewer(next)
}

// installNewer takes another router's catalog where it is newer. The caller holds the lock.
func (s *Service) installNewer(next *wire.Catalog) {
	if next.Revision > s.catalog.held.GetRevision() {
		s.catalog.era = eraOf(next.Revision)
	}
	s.replaceCatalog(next)
}

// replaceCatalog brings a catalog into force where it is newer and differs. The
// caller holds the lock.
func (s *Service) replaceCatalog(next *wire.Catalog) {
	held := s.catalog.held
	if held != nil && next.Revision <= held.Revision {
		return
	}
	same := held != nil && proto.Equal(&wire.Catalog{Entries: next.Entries}, &wire.Catalog{Entries: held.Entries})
	if same {
		return
	}
	s.noteLapse(held, next)
	s.noteDeparted(held, next)
	s.noteRestarts(held, next)
	s.catalog.history.add(held, next)
	s.catalog.held = next
	s.log.Info().Uint64("catalog", next.Revision).Int("backends", len(next.Entries)).
		Int("leaving", countOf(next, (*wire.CatalogEntry).GetLeaving)).
		Int("cold", countOf(next, (*wire.CatalogEntry).GetCold)).Msg("backend servers changed")
	if s.document != nil {
		s.compile()
	}
}

// countOf returns how many entries of a catalog a function holds for.
func countOf(c *wire.Catalog, holds func(*wire.CatalogEntry) bool) int {
	n := 0
	for _, e := range c.Entries {
		if holds(e) {
			n++
		}
	}
	return n
}

func entryOf(d *config.Discovered) *wire.CatalogEntry {
	return &wire.CatalogEntry{
		Name: d.Name, BornMs: d.Born, Pool: d.Pool, Address: d.Address, DataHall: d.DataHall,
		Slots: uint32(d.Slots), Leaving: d.Leaving, Cold: d.Cold,
	}
}

// discovered returns the backend servers of a catalog's entries.
func discovered(entries []*wire.CatalogEntry) []config.Discovered {
	var out []config.Discovered
	for _, e := range entries {
		out = append(out, config.Discovered{
			Incarnation: incarnationOf(e),
			Pool:        e.Pool, Address: e.Address, DataHall: e.DataHall,
			Slots: int(e.Slots), Leaving: e.Leaving, Cold: e.Cold,
		})
	}
	return out
}
