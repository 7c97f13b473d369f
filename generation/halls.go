package generation

import (
	"context"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"github.com/tamarindstep/tamarindstep/store"
	"github.com/tamarindstep/tamarindstep/wire"
)

// Operators is the source of a configuration that another system writes, and of the evacuated data halls. One watch
// covers both, as the store counts each watch call.
type Operators interface {
	// Read returns everything that is written and the revision from which to watch for changes. A stale result may be
	// seconds old and costs less.
	Read(ctx context.Context, stale bool) (Written, uint64, error)
	// Changes waits for changes after a revision and returns them with the revision up to which they are complete.
	// The error is of type store.Compacted if the changes are no longer available and everything must be read again.
	Changes(ctx context.Context, revision uint64) (Written, uint64, error)
}

// Written is the result of a read or a watch of Operators.
type Written struct {
	Configuration store.Value // of revision 0 if there is none or it has not changed
	Evacuations   []Evacuation
}

// changes returns the number of changes.
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
	Ended    bool // the data hall is no longer evacuated
}

// halls is the state of the evacuated data halls.
type halls struct {
	operators Operators
	held      *wire.Halls     // in force, from the store or from another router
	own       map[string]bool // data halls that are evacuated according to this router's reads and watches
	last      uint64          // revision of own
	complete  uint64          // revision up to which own includes all changes, 0 after a stale read
	era       uint32          // of the evacuations in force
	kept      map[string]bool // previous state of data halls whose state differs after a restore, until they are written again
	until     time.Time
}

// readOperators reads the operators' configuration and evacuations, and returns the revision from which to watch for
// changes.
func (s *Service) readOperators(ctx context.Context, stale bool) (uint64, error) {
	s.metrics.StoreCalls.WithLabelValues("list").Inc()
	callCtx, done := s.withStoreCalls(ctx)
	defer done()
	written, at, err := s.halls.operators.Read(callCtx, stale)
	if err != nil {
		s.metrics.StoreFailures.WithLabelValues("list").Inc()
		return 0, err
	}
	s.mu.Lock()
	s.replaceEvacuations(written.Evacuations, at, stale)
	s.mu.Unlock()
	s.installValue(written.Configuration)
	return at, nil
}

// replaceEvacuations applies a read of all evacuations. A read that is older than a watched change is ignored: after
// a suspension, a read can run concurrently with a watch, and must not undo its changes. The caller holds the lock.
func (s *Service) replaceEvacuations(all []Evacuation, at uint64, stale bool) {
	h := &s.halls
	if at < h.last {
		return
	}
	own := map[string]bool{}
	for _, e := range all {
		own[e.Hall] = true
	}
	h.own = own
	h.complete = at
	if stale {
		h.complete = 0
		h.last = min(newestOf(all), at) // a page may be older than the newest evacuation
		h.era = max(h.era, eraOf(at))
		s.replaceHalls(&wire.Halls{Revision: initialRevision(h.last), Evacuated: h.evacuated()})
		return
	}
	h.last = at // an empty list is a change, too
	s.settleHalls(own, at)
	s.publishHalls()
}

// publishHalls brings the evacuations that were read and watched into force. The caller holds the lock.
func (s *Service) publishHalls() {
	h := &s.halls
	s.replaceHalls(&wire.Halls{Revision: publishedRevision(h.last, len(h.kept) == 0), Evacuated: h.evacuated()})
}

// watchOperators receives the operators' changes while this router is one of those that watch the store. It begins
// with a read that is not stale: pages of a stale read can be of different ages, so that the changes since are not
// defined.
func (s *Service) watchOperators(ctx context.Context) {
	var p pace
	for ctx.Err() == nil {
		at, err := s.readOperators(ctx, false)
		for err == nil && ctx.Err() == nil {
			at, err = s.watchOperatorsOnce(ctx, at, &p)
		}
		s.sleepUnlessCanceled(ctx, p.afterFailure())
	}
}

// watchOperatorsOnce waits for one change and returns the revision from which to continue. It fails only if
// everything must be read again: while the store is unavailable, the watch continues from the same revision.
func (s *Service) watchOperatorsOnce(ctx context.Context, since uint64, p *pace) (uint64, error) {
	began := time.Now()
	s.metrics.StoreCalls.WithLabelValues("watch").Inc()
	callCtx, done := s.withStoreCalls(ctx)
	defer done()
	written, at, err := s.halls.operators.Changes(callCtx, since)
	s.logWatch(callCtx, watchEnded{of: "operators", began: began, since: since, changes: written.changes(), err: err})
	if err != nil {
		s.metrics.StoreFailures.WithLabelValues("watch").Inc()
		if errorx.IsOfType(err, store.Compacted) {
			return 0, err
		}
		sleep(callCtx, p.afterFailure())
		return since, nil
	}
	s.mu.Lock()
	s.applyEvacuations(written.Evacuations)
	s.halls.complete = max(s.halls.complete, at)
	s.mu.Unlock()
	s.installValue(written.Configuration)
	sleep(ctx, p.afterChange(time.Since(began)))
	return max(at, since), nil
}

// newestOf returns the highest revision of the changes, 0 if there are none.
func newestOf(changes []Evacuation) uint64 {
	out := uint64(0)
	for _, e := range changes {
		out = max(out, e.Revision)
	}
	return out
}

// applyEvacuations applies watched changes. The caller holds the lock.
func (s *Service) applyEvacuations(changes []Evacuation) {
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

// installHalls brings another router's evacuations into force if they are newer. next may be nil. What this router has read
// and watched itself may be newer than the revision in force, which changes that even out don't raise: it is brought into
// force instead, if it includes all that the other router has.
func (s *Service) installHalls(next *wire.Halls) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := &s.halls
	if next.GetRevision() <= h.held.GetRevision() {
		return
	}
	if next.Revision <= h.complete && len(h.kept) == 0 {
		next = &wire.Halls{Revision: h.complete, Evacuated: h.evacuated()}
	}
	h.era = eraOf(next.Revision)
	s.replaceHalls(next)
	h.held = next // with its revision it isn't fetched again
}

// replaceHalls brings evacuations into force if they are newer and differ. The caller holds the lock.
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

// unknownHalls returns the data halls without any known backend server: the name may be a typing error of an
// operator.
func (s *Service) unknownHalls(names []string) []string {
	known := map[string]bool{}
	for _, e := range s.backends() {
		known[e.DataHall] = true
	}
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return known[name] })
}
