package generation

import (
	"context"
	"time"

	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/wire"
)

// fetchFromAll fetches from all other routers and keeps the highest generation. It reports whether there is a
// configuration and more than half of the routers answered.
func (s *Service) fetchFromAll() bool {
	others := s.peers.Routers()
	answered := 0
	for _, address := range others {
		if s.fetch(address) == nil {
			answered++
		}
	}
	return s.InForce() != nil && 2*answered > len(others)
}

// fetch fetches the newer state of a router and brings it into force.
func (s *Service) fetch(address string) error {
	ctx, cancel := context.WithTimeout(s.run, fetchTimeout)
	defer cancel()
	return s.caller.Call(ctx, address, func(ctx context.Context, c wire.DRPCPeerClient) error {
		out, err := c.Fetch(ctx, s.fetchRequest())
		if err != nil {
			return err
		}
		s.installHalls(out.Halls)
		s.installFetched(out)
		if out.Document != nil {
			s.install(out.Document, 0)
		}
		s.recordFetched()
		return nil
	})
}

// fetchCooldown is the minimum time between the end of a fetch and the next one. Each change is compiled for all
// backend servers; while a thousand of them start, the routers that watch the store receive twenty changes a second.
const fetchCooldown = 150 * time.Millisecond

// crossHallDelay is how long a router that sees a newer catalog in another data hall waits for a router of its own
// data hall to have it. In each data hall a router watches the store, so that a catalog is transferred between data
// halls once, and not once per router.
const crossHallDelay = 300 * time.Millisecond

// versions returns the versions of the state in force.
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

// fetchRequest returns the request for all that is newer than the state in force.
func (s *Service) fetchRequest() *wire.FetchRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.heldVersions()
	return &wire.FetchRequest{
		Generation: held.Generation, Catalog: held.Catalog, Halls: held.Halls, Full: s.catalog.held.GetMixed(),
	}
}

// Fetch implements the Fetch call of wire.Peer: it returns the state that is newer than the caller's.
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
		if !in.Full {
			out.Change = s.catalog.history.since(in.Catalog, len(s.catalog.held.Entries))
		}
		if out.Change == nil {
			out.Catalog = s.catalog.held
		}
	}
	return out, nil
}

// installFetched brings the catalog, or the change of it, of a fetch response into force.
func (s *Service) installFetched(in *wire.FetchResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if in.Catalog != nil {
		s.installNewer(in.Catalog)
	}
	if in.Change == nil {
		return
	}
	next, ok := applyChange(s.catalog.held, in.Change)
	if !ok {
		s.log.Info().Uint64("catalog", s.catalog.held.GetRevision()).Uint64("base", in.Change.Base).
			Msg("catalog change ignored: based on another revision")
		return
	}
	s.installNewer(next)
}

// generationSeen handles the versions that another router announced, and fetches from it if they are newer.
func (s *Service) generationSeen(seen core.NewerVersionSeen) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordSeen(seen.Versions)
	if !seen.Versions.Exceed(s.heldVersions()) || s.run.Err() != nil {
		return
	}
	if s.fetching {
		if seen.SameDataHall && s.fetchBegan.IsZero() {
			s.fetchFrom = seen.Address
		}
		s.hedge(seen.Address)
		return
	}
	s.fetching, s.hedged, s.fetchBegan = true, false, time.Time{}
	s.fetchFrom = seen.Address
	pause := fetchCooldown - time.Since(s.fetchEnded)
	if !seen.SameDataHall && !s.isUrgent(seen.Versions) {
		pause = max(pause, crossHallDelay)
	}
	s.ended.Add(1)
	go func() {
		defer s.ended.Done()
		sleep(s.run, pause)
		s.fetchNewer(seen.Versions)
	}()
}

// hedgeDelay is the age of a fetch after which it is also sent to a second router that has the newer state. Most
// responses arrive within milliseconds. A router that is frozen or has lost its power sends none, and the fetch takes
// fetchTimeout: the state would be in force here two seconds later than on other routers.
const hedgeDelay = 400 * time.Millisecond

// hedge fetches from a second router if the first one has not answered within hedgeDelay. The caller holds the lock.
func (s *Service) hedge(address string) {
	if s.hedged || s.fetchBegan.IsZero() || address == s.fetchFrom || time.Since(s.fetchBegan) < hedgeDelay {
		return
	}
	s.hedged = true
	s.ended.Add(1)
	go func() {
		defer s.ended.Done()
		s.fetchAndLog(address)
	}()
}

// isUrgent reports whether versions are newer in more than the catalog. The caller holds the lock.
func (s *Service) isUrgent(theirs core.Versions) bool {
	theirs.Catalog = 0
	return theirs.Exceed(s.heldVersions())
}

// fetchNewer fetches newer state unless it has arrived meanwhile.
func (s *Service) fetchNewer(theirs core.Versions) {
	s.mu.Lock()
	from := s.fetchFrom
	newer := theirs.Exceed(s.heldVersions())
	s.fetchBegan = time.Now()
	s.mu.Unlock()
	if newer {
		s.fetchAndLog(from)
	}
	s.mu.Lock()
	s.fetching = false
	s.fetchEnded = time.Now()
	s.mu.Unlock()
}

// fetchAndLog fetches from a router and logs a failure.
func (s *Service) fetchAndLog(from string) {
	began := time.Now()
	if err := s.fetch(from); err != nil && s.run.Err() == nil {
		s.log.Warn().Err(err).Str("from", from).Dur("age_ms", time.Since(began)).Msg("another router's newer state can't be fetched")
	}
}
