package generation

import (
	"context"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/store"
)

// watchSettle is how long after its start a router doesn't watch: until it knows
// the others, each takes itself for one of those that do.
const watchSettle = 1500 * time.Millisecond

// contactStore asks the store for a small answer, and tells the core whether it came.
func (s *Service) contactStore() {
	if s.run.Err() != nil {
		return
	}
	s.ended.Add(1)
	go func() {
		defer s.ended.Done()
		ctx, cancel := context.WithTimeout(s.run, store.PingTimeout)
		defer cancel()
		s.metrics.StoreCalls.WithLabelValues("ping").Inc()
		began := time.Now()
		err := s.store.Ping(ctx)
		if err != nil {
			s.metrics.StoreFailures.WithLabelValues("ping").Inc()
		}
		s.noteContact(began, err)
		s.decisions.Tell(core.StoreContacted{Reached: err == nil})
	}()
}

// waits are the calls of the store that are waited for, and the rests after those that failed.
type waits struct {
	mu   sync.Mutex
	back context.Context // ends when the store is back after silence
	end  context.CancelFunc
}

// storeReturned ends all waits for the store that are under way: what was asked in its silence
// is never answered, and what is asked now is.
func (s *Service) storeReturned() {
	w := &s.waits
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.end != nil {
		w.end()
	}
	w.back, w.end = context.WithCancel(s.run)
}

// StoreReturned ends all waits for the store that are under way, as it has come back from a copy: a watch of before tells nothing.
func (s *Service) StoreReturned() {
	if s.run != nil {
		s.storeReturned()
	}
}

// unlessBack returns a context that also ends when the store is back.
func (s *Service) unlessBack(ctx context.Context) (context.Context, context.CancelFunc) {
	out, cancel := context.WithCancel(ctx)
	w := &s.waits
	w.mu.Lock()
	defer w.mu.Unlock()
	stop := context.AfterFunc(w.back, cancel)
	return out, func() {
		stop()
		cancel()
	}
}

// restUnlessBack waits for so long, until the context ends or until the store is back.
func (s *Service) restUnlessBack(ctx context.Context, long time.Duration) {
	ctx, done := s.unlessBack(ctx)
	defer done()
	rest(ctx, long)
}

func (s *Service) watchWanted(watch bool) {
	select {
	case s.watch <- watch:
	case <-s.run.Done():
	}
}

// followStore watches the store while this router is one of those that do.
func (s *Service) followStore() {
	defer s.ended.Done()
	stop := func() {}
	for {
		select {
		case <-s.run.Done():
			stop()
			return
		case watch := <-s.watch:
			stop()
			stop = func() {}
			if watch {
				ctx, cancel := context.WithCancel(s.run)
				stop = cancel
				s.ended.Add(2)
				go s.watchConfiguration(ctx)
				go s.watchCatalog(ctx)
			}
		}
	}
}

// watchConfiguration follows what the operators write.
func (s *Service) watchConfiguration(ctx context.Context) {
	defer s.ended.Done()
	rest(ctx, watchSettle-time.Since(s.began))
	if s.halls.operators == nil {
		s.watchStore(ctx)
		return
	}
	s.watchOperators(ctx)
}

func (s *Service) watchStore(ctx context.Context) {
	var p pace
	for ctx.Err() == nil {
		began := time.Now()
		s.mu.Lock()
		revision := s.revision
		s.mu.Unlock()
		s.metrics.StoreCalls.WithLabelValues("watch").Inc()
		wait, done := s.unlessBack(ctx)
		v, err := s.store.Wait(wait, s.format.Key(), revision)
		s.noteWatch(wait, watchEnded{of: "configuration", began: began, since: uint64(revision), changes: 1, err: err})
		if err != nil {
			s.metrics.StoreFailures.WithLabelValues("watch").Inc()
			rest(wait, p.afterFailure())
			done()
			continue
		}
		done()
		s.installValue(v)
		rest(ctx, p.afterChange(time.Since(began)))
	}
}

// watchEnded is how a watch of the store has ended.
type watchEnded struct {
	of      string // what was watched
	began   time.Time
	since   uint64 // revision
	changes int    // that it brought, where err is nil
	err     error
}

// outcome returns how it ended, in a word.
func (w *watchEnded) outcome(ctx context.Context) string {
	switch {
	case ctx.Err() != nil:
		return "given-up"
	case errorx.IsOfType(w.err, store.Forgotten):
		return "forgotten"
	case w.err != nil:
		return "failed"
	case w.changes == 0:
		return "nothing"
	}
	return "changed"
}

// noteWatch logs the end of a watch. One that is silent lasts for seconds, so that the lines
// are few; without them a watch that brings nothing looks like one that nobody answers.
func (s *Service) noteWatch(ctx context.Context, w watchEnded) {
	line := s.log.Info()
	if w.err != nil && ctx.Err() == nil {
		line = s.log.Warn().Err(w.err)
	}
	line.Str("of", w.of).Uint64("since", w.since).Str("outcome", w.outcome(ctx)).Int("changes", w.changes).
		Dur("age_ms", time.Since(w.began)).Msg("watch of the store ended")
}

// noteContact logs whether the store has answered, where that has changed.
func (s *Service) noteContact(began time.Time, err error) {
	if s.run.Err() != nil || s.reached.Swap(err == nil) == (err == nil) {
		return
	}
	s.log.Info().Bool("reached", err == nil).Dur("age_ms", time.Since(began)).Msg("contact with the store changed")
}
