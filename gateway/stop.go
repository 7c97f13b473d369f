package gateway

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tamarindstep/tamarindstep/core/drain"
)

const (
	// drainPoll is the interval at which a draining router checks whether all requests have ended.
	drainPoll = 20 * time.Millisecond
	// cutTime is the time limit for answering the requests that are still in flight at the end of a stop.
	cutTime = 250 * time.Millisecond
)

// stop is the state of a planned stop.
type stop struct {
	began    atomic.Int64 // by the service's clock, 0 for none
	cutAt    atomic.Int64 // when the requests in flight are cut, by the service's clock
	refusing atomic.Bool  // new requests are refused
	cutting  atomic.Bool  // requests in flight are cut

	mu        sync.Mutex
	durations *drain.Durations
}

// observe records how long a backend server took to answer a request.
func (s *Service) observe(a *attempt) {
	s.stop.mu.Lock()
	defer s.stop.mu.Unlock()
	s.stop.durations.Observe(a.route.Name, s.clock.Now(), time.Since(a.sentAt))
}

// stopRefuses reports whether a request isn't sent because the router stops and there is no time for it.
func (a *attempt) stopRefuses() bool {
	s := a.service
	began := s.stop.began.Load()
	if began == 0 {
		return false
	}
	now := s.clock.Now()
	left := time.Duration(s.stop.cutAt.Load()) - now
	s.stop.mu.Lock()
	expected := s.stop.durations.Expected(a.route.Name, a.route.Repeatable)
	s.stop.mu.Unlock()
	since := now - time.Duration(began)
	if drain.Sends(drain.Request{SinceStop: since, Left: left, Expected: expected}) {
		return false
	}
	a.log("not-sent").Dur("since_stop_ms", since).Dur("left_ms", left).Dur("expected_ms", expected).Int("sends", a.sends).
		Msg("no time for a request before the router stops")
	return true
}

// BeginDrain makes each response from now on tell its caller to close the connection.
func (s *Service) BeginDrain() { s.draining.Store(true) }

// Drain ends service gracefully: responses tell callers to close their connections, and after drain.AcceptTime new
// requests are refused. It returns once no request is being read or served. When ctx is done, those that are left are
// answered: as not run if nothing of them was sent, otherwise without a statement about that. A response that has begun
// is broken off.
func (s *Service) Drain(ctx context.Context) {
	s.BeginDrain()
	now := s.clock.Now()
	s.stop.cutAt.Store(math.MaxInt64)
	if deadline, ok := ctx.Deadline(); ok {
		s.stop.cutAt.Store(int64(now + time.Until(deadline)))
	}
	s.stop.began.Store(int64(now))
	grace := time.NewTimer(drain.AcceptTime)
	defer grace.Stop()
	select {
	case <-ctx.Done():
	case <-grace.C:
	}
	s.stop.refusing.Store(true)
	if err := s.closeListener(); err != nil {
		s.log.Warn().Err(err).Msg("closing the listener for callers failed")
	}
	s.awaitRequests(ctx)
	if left := s.busyConns(); left > 0 {
		s.log.Warn().Int("requests", left).Msg("requests still in flight at the end of the time for a stop are cut")
		s.cutRequests()
	}
}

// awaitRequests closes idle connections until no request is being read or served, or ctx is done.
func (s *Service) awaitRequests(ctx context.Context) {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for s.closeConns(true); s.busyConns() > 0 && ctx.Err() == nil; s.closeConns(true) {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// cutRequests ends the requests in flight and waits until they are answered, for cutTime at most.
func (s *Service) cutRequests() {
	ctx, cancel := context.WithTimeout(context.Background(), cutTime)
	defer cancel()
	s.stop.cutting.Store(true)
	s.inFlight.cancelAll()
	s.stopReading()
	s.awaitRequests(ctx)
}

// stopReading ends the reading of requests that aren't whole yet.
func (s *Service) stopReading() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.reading.Load() {
			_ = c.SetReadDeadline(time.Unix(1, 0))
		}
	}
}

// busyConns returns the number of connections on which a request is being read or served.
func (s *Service) busyConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.conns {
		if c.busy.Load() {
			n++
		}
	}
	return n
}

// closeConns closes the callers' connections, or only the idle ones.
func (s *Service) closeConns(idleOnly bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if !idleOnly || !c.busy.Load() {
			_ = c.Close()
		}
	}
}
