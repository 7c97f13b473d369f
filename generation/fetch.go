package generation

import (
	"context"
	"time"

	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/wire"
)

// askRouters takes the highest generation that any router has, and tells
// whether more than half of the others answered.
func (s *Service) askRouters() bool {
	others := s.peers.Routers()
	answered := 0
	for _, address := range others {
		if s.fetch(address) == nil {
			answered++
		}
	}
	return s.InForce() != nil && 2*answered > len(others)
}

// fetch brings a router's document into force here, if it is newer.
func (s *Service) fetch(address string) error {
	ctx, cancel := context.WithTimeout(s.run, fetchTimeout)
	defer cancel()
	return s.calls.Call(ctx, address, func(ctx context.Context, c wire.DRPCPeerClient) error {
		held := s.versions()
		out, err := c.Fetch(ctx, &wire.FetchRequest{Generation: held.Generation, Catalog: held.Catalog, Halls: held.Halls})
		if err != nil {
			return err
		}
		s.installHalls(out.Halls)
		s.takeCatalog(out)
		if out.Document != nil {
			s.install(out.Document, 0)
		}
		s.noteTaken()
		return nil
	})
}

// fetchPause is how long a router rests after it has fetched something. Each change is
// compiled anew for all backend servers; while a thousand of them start, the routers that
// watch see twenty changes a second.
const fetchPause = 150 * time.Millisecond

// farPause is how long a router that sees a newer catalog in another data hall waits for one
// in its own: in each data hall a router watches the store, so that the bytes of a catalog
// cross between data halls once, and not once a router.
const farPause = 300 * time.Millisecond

// versions returns the versions of what this router holds.
func (s *Service) versions() core.Versions {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heldVersions()
}

// heldVersions is versions for a caller that holds the lock.
func (s *Service) heldVersions() core.Versions {
	return core.Versions{
		Generation: s.document.GetGeneration(), Catalog: s.catalog.held.GetRevision(), Halls: s.halls.held.GetRevision(),
	}
}

// Fetch answers another router.
func (s *Service) Fetch(_ context.Context, in *wire.FetchRequest) (*wire.FetchResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := &wire.FetchResponse{}
	if s.document.GetGeneration() > in.Generation {
		out.Document = s.document
	}
	if s.halls.held.GetRevision() > in.Halls {
		out.Halls = s.halls.held
	}
	if s.catalog.held.GetRevision() > in.Catalog {
		out.Change = s.catalog.history.since(in.Catalog, len(s.catalog.held.Entries))
		if out.Change == nil {
			out.Catalog = s.catalog.held
		}
	}
	return out, nil
}

// takeCatalog takes what another router has answered of its catalog.
func (s *Service) takeCatalog(in *wire.FetchResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if in.Catalog != nil {
		s.installNewer(in.Catalog)
	}
	if in.Change == nil {
		return
	}
	next, ok := applied(s.catalog.held, in.Change)
	if !ok {
		s.log.Info().Uint64("catalog", s.catalog.held.GetRevision()).Uint64("base", in.Change.Base).
			Msg("changes of the catalog are of another revision, and left out")
		return
	}
	s.installNewer(next)
}

// generationSeen fetches what is newer from a router that has it.
func (s *Service) generationSeen(seen core.GenerationSeen) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteSeen(seen.Versions)
	if !seen.Versions.Exceed(s.heldVersions()) || s.run.Err() != nil {
		return
	}
	if s.fetching {
		if seen.Near && s.asked.IsZero() {
			s.fetchFrom = seen.Address
		}
		s.askSecond(seen.Address)
		return
	}
	s.fetching, s.second, s.asked = true, false, time.Time{}
	s.fetchFrom = seen.Address
	pause := fetchPause - time.Since(s.fetched)
	if !seen.Near && !s.isUrgent(seen.Versions) {
		pause = max(pause, farPause)
	}
	s.ended.Add(1)
	go func() {
		defer s.ended.Done()
		rest(s.run, pause)
		s.fetchNewer(seen.Versions)
	}()
}

// secondAfter is how long a router that is fetched from may take until another one that has what
// is newer is asked as well. Most answers come within some milliseconds; one that has frozen, or
// lost its power, gives none, and is waited for fetchTimeout: what all others have would be in
// force here two seconds later than there.
const secondAfter = 400 * time.Millisecond

// askSecond fetches from a second router where the first one may be silent. The caller holds the
// lock.
func (s *Service) askSecond(address string) {
	if s.second || s.asked.IsZero() || address == s.fetchFrom || time.Since(s.asked) < secondAfter {
		return
	}
	s.second = true
	s.ended.Add(1)
	go func() {
		defer s.ended.Done()
		s.fetchNoted(address)
	}()
}

// isUrgent tells whether versions are newer in more than the catalog. The caller holds the
// lock.
func (s *Service) isUrgent(theirs core.Versions) bool {
	theirs.Catalog = 0
	return theirs.Exceed(s.heldVersions())
}

// fetchNewer fetches what is newer than this router's, unless it came meanwhile.
func (s *Service) fetchNewer(theirs core.Versions) {
	s.mu.Lock()
	from := s.fetchFrom
	newer := theirs.Exceed(s.heldVersions())
	s.asked = time.Now()
	s.mu.Unlock()
	if newer {
		s.fetchNoted(from)
	}
	s.mu.Lock()
	s.fetching = false
	s.fetched = time.Now()
	s.mu.Unlock()
}

// fetchNoted fetches from a router, and logs where that fails.
func (s *Service) fetchNoted(from string) {
	began := time.Now()
	if err := s.fetch(from); err != nil && s.run.Err() == nil {
		s.log.Warn().Err(err).Str("from", from).Dur("age_ms", time.Since(began)).Msg("another router's newer state can't be fetched")
	}
}
