package generation

import (
	"context"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/store"
)

// watchStartDelay is how long after its start a router does not watch the store. Until it has received the list of
// the other routers, each router computes that it is one of those that watch.
const watchStartDelay = 1500 * time.Millisecond

// pingStore pings the store and reports the result to the core.
func (s *Service) pingStore() {
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
		s.logContact(began, err)
		s.scheduler.Enqueue(core.StoreContacted{Reached: err == nil})
	}()
}

// storeCalls is the context of the pending calls of the store and of the delays after failed ones.
type storeCalls struct {
	mu     sync.Mutex
	ctx    context.Context // ends when the calls must be made again: after an outage, a restore or a suspension
	cancel context.CancelFunc
}

// cancelStoreCalls ends all pending calls of the store. Calls that were made during an outage are never answered,
// whereas calls made afterwards are.
func (s *Service) cancelStoreCalls() {
	w := &s.storeCalls
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancel != nil {
		w.cancel()
	}
	w.ctx, w.cancel = context.WithCancel(s.run)
}

// StoreRestored ends all pending calls of the store after it was restored from a backup: a watch that began before
// returns no changes.
func (s *Service) StoreRestored() {
	if s.run != nil {
		s.cancelStoreCalls()
	}
}

// withStoreCalls returns a context that also ends when pending calls of the store are canceled.
func (s *Service) withStoreCalls(ctx context.Context) (context.Context, context.CancelFunc) {
	out, cancel := context.WithCancel(ctx)
	w := &s.storeCalls
	w.mu.Lock()
	defer w.mu.Unlock()
	stop := context.AfterFunc(w.ctx, cancel)
	return out, func() {
		stop()
		cancel()
	}
}

// sleepUnlessCanceled waits for d, until ctx ends or until pending calls of the store are canceled.
func (s *Service) sleepUnlessCanceled(ctx context.Context, d time.Duration) {
	ctx, done := s.withStoreCalls(ctx)
	defer done()
	sleep(ctx, d)
}

func (s *Service) setWatch(watch bool) {
	select {
	case s.watch <- watch:
	case <-s.run.Done():
	}
}

// runWatches starts and stops the watches of the store: they run while this router is one of those that watch.
func (s *Service) runWatches() {
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

// watchConfiguration watches the configuration and, if the operators evacuate data halls in the store, these.
func (s *Service) watchConfiguration(ctx context.Context) {
	defer s.ended.Done()
	sleep(ctx, watchStartDelay-time.Since(s.began))
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
		callCtx, done := s.withStoreCalls(ctx)
		v, err := s.store.Wait(callCtx, s.format.Key(), revision)
		s.logWatch(callCtx, watchEnded{of: "configuration", began: began, since: uint64(revision), changes: 1, err: err})
		if err != nil {
			s.metrics.StoreFailures.WithLabelValues("watch").Inc()
			sleep(callCtx, p.afterFailure())
			done()
			continue
		}
		done()
		s.installValue(v)
		sleep(ctx, p.afterChange(time.Since(began)))
	}
}

// watchEnded is the result of a watch call.
type watchEnded struct {
	of      string // what was watched
	began   time.Time
	since   uint64 // revision
	changes int    // number of changes received, if err is nil
	err     error
}

// outcome returns the result as a log value.
func (w *watchEnded) outcome(ctx context.Context) string {
	switch {
	case ctx.Err() != nil:
		return "given-up"
	case errorx.IsOfType(w.err, store.Compacted):
		return "forgotten"
	case w.err != nil:
		return "failed"
	case w.changes == 0:
		return "nothing"
	}
	return "changed"
}

// logWatch logs the end of a watch call. A watch without changes lasts for seconds, so that there are few lines. They
// show the difference between a watch without changes and one that is not answered.
func (s *Service) logWatch(ctx context.Context, w watchEnded) {
	line := s.log.Info()
	if w.err != nil && ctx.Err() == nil {
		line = s.log.Warn().Err(w.err)
	}
	line.Str("of", w.of).Uint64("since", w.since).Str("outcome", w.outcome(ctx)).Int("changes", w.changes).
		Dur("age_ms", time.Since(w.began)).Msg("watch of the store ended")
}

// logContact logs whether the store has answered a ping, if that has changed.
func (s *Service) logContact(began time.Time, err error) {
	if s.run.Err() != nil || s.reached.Swap(err == nil) == (err == nil) {
		return
	}
	s.log.Info().Bool("reached", err == nil).Dur("age_ms", time.Since(began)).Msg("contact with the store changed")
}
