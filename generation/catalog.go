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

// Discovery is the source of the announcements of backend servers. Each announcement has a key; its content may
// change, and it may be withdrawn.
type Discovery interface {
	// List returns all announcements at a revision. A stale list costs less and may be seconds old, and parts of it may be
	// newer than its revision.
	List(ctx context.Context, stale bool) ([]Announcement, uint64, error)
	// Changes waits for changes after a revision and returns them with the revision up to which they are complete.
	// The error is of type store.Compacted if the changes are no longer available and all announcements must be
	// listed again.
	Changes(ctx context.Context, revision uint64) ([]Announcement, uint64, error)
}

// Announcement is the state of one key.
type Announcement struct {
	Key      string
	Revision uint64
	// Backend is nil if the announcement was withdrawn or cannot be read.
	Backend *config.Discovered
	// Err is the reason why the announcement cannot be read, nil if it can or was withdrawn.
	Err error
}

// catalog is the state of the backend servers that announce themselves.
type catalog struct {
	discovery Discovery
	held      *wire.Catalog
	entries   map[string]*wire.CatalogEntry // by key, from the last list and the changes since
	watchedTo uint64                        // revision up to which changes were received
	mixed     bool                          // the last list was stale: entries may be newer than its revision
	lapsed    map[string]lapse              // by name; none of them is in held
	history   history
	edition   uint64 // incremented when the lapsed entries change while the catalog does not
	era       uint32 // of the catalog in force
	settling  settling
	departed  map[string]time.Time // time of removal, by name of the backend server
}

// readCatalog lists the announcements and reports whether that succeeded.
func (s *Service) readCatalog() bool {
	if s.catalog.discovery == nil {
		return true
	}
	return s.listCatalog(s.run, true) == nil
}

func (s *Service) listCatalog(ctx context.Context, stale bool) error {
	s.metrics.StoreCalls.WithLabelValues("list").Inc()
	callCtx, done := s.withStoreCalls(ctx)
	defer done()
	all, at, err := s.catalog.discovery.List(callCtx, stale)
	if err != nil {
		s.metrics.StoreFailures.WithLabelValues("list").Inc()
		if ctx.Err() == nil {
			s.log.Warn().Err(err).Bool("stale", stale).Msg("list of backend servers failed")
		}
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyList(all, at, stale)
	return nil
}

// applyList replaces the known announcements by a list of all. The caller holds the lock.
func (s *Service) applyList(all []Announcement, at uint64, stale bool) {
	before := s.catalog.entries
	s.catalog.entries = map[string]*wire.CatalogEntry{}
	s.catalog.watchedTo = at
	s.catalog.mixed = stale
	if stale {
		s.catalog.era = max(s.catalog.era, eraOf(at))
		at = initialRevision(at)
	} else {
		s.settleCatalog(all, at)
	}
	s.applyAnnouncements(all, at, before)
}

// watchCatalog receives changes of the announcements until ctx ends. It runs while this router is one of those that
// watch the store.
func (s *Service) watchCatalog(ctx context.Context) {
	defer s.ended.Done()
	if s.catalog.discovery == nil {
		return
	}
	sleep(ctx, watchStartDelay-time.Since(s.began))
	var p pace
	for ctx.Err() == nil {
		err := s.listCatalog(ctx, false)
		for err == nil && ctx.Err() == nil {
			err = s.watchCatalogOnce(ctx, &p)
		}
		s.sleepUnlessCanceled(ctx, p.afterFailure())
	}
}

// watchCatalogOnce waits for changes and applies them. It fails only if all announcements must be listed again: while
// the store is unavailable, the watch continues from the same revision.
func (s *Service) watchCatalogOnce(ctx context.Context, p *pace) error {
	began := time.Now()
	s.mu.Lock()
	since := s.catalog.watchedTo
	s.mu.Unlock()
	s.metrics.StoreCalls.WithLabelValues("watch").Inc()
	callCtx, done := s.withStoreCalls(ctx)
	defer done()
	changes, at, err := s.catalog.discovery.Changes(callCtx, since)
	s.logWatch(callCtx, watchEnded{of: "backend-servers", began: began, since: since, changes: len(changes), err: err})
	if err != nil {
		s.metrics.StoreFailures.WithLabelValues("watch").Inc()
		if errorx.IsOfType(err, store.Compacted) {
			return err
		}
		sleep(callCtx, p.afterFailure())
		return nil
	}
	defer func() { sleep(ctx, p.afterChange(time.Since(began))) }()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyWatched(changes, at)
	return nil
}

// applyWatched applies the changes that a watch returned, which are complete up to a revision. The caller holds the lock.
func (s *Service) applyWatched(changes []Announcement, at uint64) {
	s.catalog.watchedTo = max(s.catalog.watchedTo, at)
	last := uint64(0)
	for _, change := range changes {
		last = max(last, change.Revision)
		s.recordWritten(change)
	}
	s.applyAnnouncements(changes, last, s.catalog.entries)
}

// applyAnnouncements updates the catalog from announcements. The catalog gets the given revision if anything changed.
// before are the previous entries, by key. The caller holds the lock.
func (s *Service) applyAnnouncements(changes []Announcement, revision uint64, before map[string]*wire.CatalogEntry) {
	for _, change := range changes {
		switch {
		case change.Backend != nil:
			s.catalog.entries[change.Key] = entryOf(change.Backend)
		case change.Err != nil:
			s.applyUnreadable(change, before)
		default:
			delete(s.catalog.entries, change.Key)
		}
	}
	s.catalog.settling.last = max(s.catalog.settling.last, revision)
	s.publishCatalog()
}

// ownCatalog returns the catalog as this router has listed and watched it, at the revision up to which it has received
// all changes. That may be higher than the revision in force, as changes that leave the catalog as it is don't raise that
// one. It is 0 if the router has only a stale list, or keeps entries from before a restore. The caller holds the lock.
func (s *Service) ownCatalog() *wire.Catalog {
	if s.catalog.mixed || len(s.catalog.settling.kept) > 0 {
		return &wire.Catalog{}
	}
	return &wire.Catalog{Revision: s.catalog.watchedTo, Entries: s.catalog.settling.overlay(s.catalog.entries)}
}

// publishCatalog brings the listed and watched entries into force. The caller holds the lock.
func (s *Service) publishCatalog() {
	settling := &s.catalog.settling
	settled := len(settling.kept) == 0
	s.replaceCatalog(&wire.Catalog{
		Revision: publishedRevision(settling.last, settled), Entries: settling.overlay(s.catalog.entries),
		Mixed: s.catalog.mixed || !settled,
	})
}

// recordWritten records that an announcement was written or withdrawn after the store was restored. The caller holds
// the lock.
func (s *Service) recordWritten(change Announcement) {
	if change.Backend != nil {
		s.catalog.settling.markWritten(change.Backend.Name)
	}
	if named := s.catalog.entries[change.Key]; named != nil {
		s.catalog.settling.markWritten(named.Name)
	}
}

// applyUnreadable applies an announcement that cannot be read. The backend server that the key named before is
// drained: it gets no new requests and finishes the running ones. A key that named no backend server is ignored. The
// caller holds the lock.
func (s *Service) applyUnreadable(change Announcement, before map[string]*wire.CatalogEntry) {
	s.metrics.Unreadable.Inc()
	named := before[change.Key]
	s.log.Warn().Err(change.Err).Str("key", change.Key).Uint64("revision", change.Revision).
		Bool("replaced", named != nil).Msg("announcement can't be read")
	delete(s.catalog.entries, change.Key)
	if named == nil {
		return
	}
	left := proto.Clone(named).(*wire.CatalogEntry)
	left.Leaving = true
	s.catalog.entries[change.Key] = left
}

func compareNames(a, b *wire.CatalogEntry) int { return cmp.Compare(a.Name, b.Name) }

// installCatalog brings another router's catalog into force if it is newer.
func (s *Service) installCatalog(next *wire.Catalog) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.installNewer(next)
}

// installNewer is installCatalog for a caller that holds the lock.
func (s *Service) installNewer(next *wire.Catalog) {
	if next.Revision <= s.catalog.held.GetRevision() {
		return
	}
	if own := s.ownCatalog(); next.Revision <= own.Revision {
		next = own
	}
	s.catalog.era = eraOf(next.Revision)
	s.replaceCatalog(next)
	if s.catalog.held != next { // it has the same entries; with their revision it isn't fetched again
		s.holdCatalog(next)
	}
}

// holdCatalog replaces the catalog and records the change. The caller holds the lock.
func (s *Service) holdCatalog(next *wire.Catalog) {
	s.catalog.history.add(s.catalog.held, next)
	s.catalog.held = next
}

// replaceCatalog brings a catalog into force if it is newer and its entries differ. The caller holds the lock.
func (s *Service) replaceCatalog(next *wire.Catalog) {
	held := s.catalog.held
	if held != nil && next.Revision <= held.Revision {
		return
	}
	keepVersions(held, next)
	same := held != nil && proto.Equal(&wire.Catalog{Entries: next.Entries}, &wire.Catalog{Entries: held.Entries})
	if same && held.Mixed == next.Mixed {
		return
	}
	s.keepLapsed(held, next)
	s.recordDeparted(held, next)
	s.reportRestarts(held, next)
	s.holdCatalog(next)
	if same {
		return
	}
	s.log.Info().Uint64("catalog", next.Revision).Int("backends", len(next.Entries)).
		Int("leaving", countOf(next, (*wire.CatalogEntry).GetLeaving)).
		Int("cold", countOf(next, (*wire.CatalogEntry).GetCold)).Msg("backend servers changed")
	if s.document != nil {
		s.compile()
	}
}

// countOf returns the number of entries of a catalog that satisfy a predicate.
func countOf(c *wire.Catalog, match func(*wire.CatalogEntry) bool) int {
	n := 0
	for _, e := range c.Entries {
		if match(e) {
			n++
		}
	}
	return n
}

func entryOf(d *config.Discovered) *wire.CatalogEntry {
	return &wire.CatalogEntry{
		Name: d.Name, BornMs: d.Born, Pool: d.Pool, Address: d.Address, DataHall: d.DataHall,
		Slots: uint32(d.Slots), Leaving: d.Leaving, Cold: d.Cold, Version: d.Version,
	}
}

// discovered converts a catalog entry to a backend server.
func discovered(e *wire.CatalogEntry) config.Discovered {
	return config.Discovered{
		Incarnation: incarnationOf(e),
		Pool:        e.Pool, Address: e.Address, DataHall: e.DataHall,
		Slots: int(e.Slots), Leaving: e.Leaving, Cold: e.Cold, Version: e.Version,
	}
}
