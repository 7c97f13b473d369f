package generation

import (
	"context"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"github.com/tamarindstep/tamarindstep/store"
	"github.com/tamarindstep/tamarindstep/wire"
)

// Operators is where others than routers write the configuration, and which data halls are
// evacuated. One watch covers both: each call of a watch is counted by the store.
type Operators interface {
	// Read returns all that is written, and the revision from which changes are to be
	// watched. What is stale may be seconds old, and costs less.
	Read(ctx context.Context, stale bool) (Written, uint64, error)
	// Changes waits for changes after a revision, and returns them with the revision up to
	// which they are complete. The error is of type store.Forgotten where the changes
	// aren't known any more, and all must be read anew.
	Changes(ctx context.Context, revision uint64) (Written, uint64, error)
}

// Written is what the operators have written.
type Written struct {
	Configuration store.Value // of revision 0 where there is none, or it hasn't changed
	Evacuations   []Evacuation
}

// changes returns how many changes were written.
func (w *Written) changes() int {
	n := len(w.Evacuations)
	if w.Configuration.Revision > 0 {
		n++
	}
	return n
}

// Evacuation is the last change of a data hall.
type Evacuation struct {
	Hall     string
	Revision uint64
	Ended    bool // the hall was taken back
}

// halls is what is known of the data halls that are evacuated.
type halls struct {
	operators Operators
	held      *wire.Halls     // in force, from here or from another router
	own       map[string]bool // evacuated by what was read and watched here
	last      uint64          // revision of that
	era       uint32          // of what is in force
	kept      map[string]bool // evacuated or not until it is written again, as the store's copy differs
	until     time.Time
}

// readOperators reads all that the operators have written, and returns the revision from
// which changes are to be watched.
func (s *Service) readOperators(ctx context.Context, stale bool) (uint64, error) {
	s.metrics.StoreCalls.WithLabelValues("list").Inc()
	wait, done := s.unlessBack(ctx)
	defer done()
	written, at, err := s.halls.operators.Read(wait, stale)
	if err != nil {
		s.metrics.StoreFailures.WithLabelValues("list").Inc()
		return 0, err
	}
	s.mu.Lock()
	s.readEvacuations(written.Evacuations, at, stale)
	s.mu.Unlock()
	s.installValue(written.Configuration)
	return at, nil
}

// readEvacuations takes all evacuations, as they were read. What was watched since is newer: a read that waits for its answer
// beside a watch, as after a sleep, must not undo it. The caller holds the lock.
func (s *Service) readEvacuations(all []Evacuation, at uint64, stale bool) {
	h := &s.halls
	if at < h.last {
		return
	}
	own := map[string]bool{}
	for _, e := range all {
		own[e.Hall] = true
	}
	h.own = own
	if stale {
		h.last = newestOf(all)
		h.era = max(h.era, eraOf(at))
		s.replaceHalls(&wire.Halls{Revision: startRevision(h.last), Evacuated: h.evacuated()})
		return
	}
	h.last = at // that none is there is news as well
	s.settleHalls(own, at)
	s.publishHalls()
}

// publishHalls brings into force what was read and watched here. The caller holds the lock.
func (s *Service) publishHalls() {
	h := &s.halls
	s.replaceHalls(&wire.Halls{Revision: told(h.last, len(h.kept) == 0), Evacuated: h.evacuated()})
}

// watchOperators follows what the operators write, while this router is one of those that
// watch the store. It begins with a read that isn't stale, as the changes since a stale one
// aren't known where its pages were of different ages.
func (s *Service) watchOperators(ctx context.Context) {
	var p pace
	for ctx.Err() == nil {
		at, err := s.readOperators(ctx, false)
		for err == nil && ctx.Err() == nil {
			at, err = s.followOperators(ctx, at, &p)
		}
		s.restUnlessBack(ctx, p.afterFailure())
	}
}

// followOperators waits for one change, and returns the revision from which to watch on. It
// fails only where all must be read anew: while the store is out, the watch goes on from
// where it was.
func (s *Service) followOperators(ctx context.Context, since uint64, p *pace) (uint64, error) {
	began := time.Now()
	s.metrics.StoreCalls.WithLabelValues("watch").Inc()
	wait, done := s.unlessBack(ctx)
	defer done()
	written, at, err := s.halls.operators.Changes(wait, since)
	s.noteWatch(wait, watchEnded{of: "operators", began: began, since: since, changes: written.changes(), err: err})
	if err != nil {
		s.metrics.StoreFailures.WithLabelValues("watch").Inc()
		if errorx.IsOfType(err, store.Forgotten) {
			return 0, err
		}
		rest(wait, p.afterFailure())
		return since, nil
	}
	s.mu.Lock()
	s.takeEvacuations(written.Evacuations)
	s.mu.Unlock()
	s.installValue(written.Configuration)
	rest(ctx, p.afterChange(time.Since(began)))
	return max(at, since), nil
}

// newestOf returns the revision of the newest change, 0 for none.
func newestOf(changes []Evacuation) uint64 {
	out := uint64(0)
	for _, e := range changes {
		out = max(out, e.Revision)
	}
	return out
}

// takeEvacuations takes what was watched of the data halls. The caller holds the lock.
func (s *Service) takeEvacuations(changes []Evacuation) {
	h := &s.halls
	for _, e := range changes {
		h.last = max(h.last, e.Revision)
		delete(h.kept, e.Hall)
		if e.Ended {
			delete(h.own, e.Hall)
			continue
		}
		h.own[e.Hall] = true
	}
	if len(changes) > 0 {
		s.publishHalls()
	}
}

// installHalls takes another router's evacuations, nil for none that are newer.
func (s *Service) installHalls(next *wire.Halls) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if next.GetRevision() > s.halls.held.GetRevision() {
		s.halls.era = eraOf(next.GetRevision())
	}
	s.replaceHalls(next)
}

// replaceHalls brings evacuations into force where they are newer and differ. The caller
// holds the lock.
func (s *Service) replaceHalls(next *wire.Halls) {
	held := s.halls.held
	if next.GetRevision() <= held.GetRevision() || slices.Equal(next.GetEvacuated(), held.GetEvacuated()) {
		return
	}
	s.halls.held = next
	s.metrics.Evacuated.Set(float64(len(next.Evacuated)))
	s.log.Info().Uint64("halls", next.Revision).Strs("evacuated", next.Evacuated).
		Strs("unknown", s.unknownHalls(next.Evacuated)).Dur("up_ms", time.Since(s.began)).
		Msg("evacuated data halls changed")
	if s.document != nil {
		s.compile()
	}
}

// unknownHalls returns the data halls of which no backend server is known: an operator may
// have mistaken a name.
func (s *Service) unknownHalls(names []string) []string {
	known := map[string]bool{}
	for _, e := range s.withLapsed() {
		known[e.DataHall] = true
	}
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return known[name] })
}
