package gateway

import (
	"math/rand/v2"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/scheduler"
)

const (
	// shedLinger is how long a connection that was turned away stays open after
	// the answer. Closed at once, with bytes of the caller unread, it would be reset,
	// and the caller might lose the answer.
	shedLinger = 500 * time.Millisecond
	// maxShed is how many such connections stay open; more are closed at once.
	maxShed = 512
)

// overloaded tells whether new requests are refused before they are understood.
func (s *Service) overloaded() bool {
	return s.open.Load() > int64(s.settings.MaxRequests) || s.scheduler.Behind()
}

// crowdedOut tells whether so many connections of callers are open that none may rest.
func (s *Service) crowdedOut() bool { return s.connected.Load() > int64(s.settings.MaxConns)/2 }

// turnAway refuses whatever a new connection brings without reading it. Reading a
// request and its body costs several times as much, which a router that can't keep
// up needs for the requests it has.
func (s *Service) turnAway(c net.Conn) {
	s.metrics.Front.Refusals.WithLabelValues(tooMany.code).Inc()
	s.shedNoted.note(s.log, s.scheduler.Late(), s.open.Load())
	_ = c.SetWriteDeadline(time.Now().Add(shedLinger))
	if _, err := c.Write(tooMany.text(startRetryAfter, true)); err != nil {
		_ = c.Close()
		return
	}
	s.linger(c)
}

// linger ends a connection that carries its last answer, and closes it after a while.
func (s *Service) linger(c net.Conn) {
	half, ok := c.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil || s.shed.Load() >= maxShed {
		_ = c.Close()
		return
	}
	s.shed.Add(1)
	time.AfterFunc(shedLinger, func() {
		_ = c.Close()
		s.shed.Add(-1)
	})
}

// largeBody is the size, in bytes, of the smallest body that costs more to read than
// a new connection does to accept.
const largeBody = 4 << 10

// large tells whether a request's body is large, or its size isn't known.
func large(req *fasthttp.Request) bool {
	n := req.Header.ContentLength()
	return n == -1 || n >= largeBody
}

// refuseUnread refuses a request of which only the header was read.
func (a *attempt) refuseUnread() {
	a.keep = false
	a.refuse(a.refused, startRetryAfter)
	a.conn.detached = true
	a.service.linger(a.conn.Conn)
}

// maxPending is how many requests of an account may wait for a decision when the
// next one is refused by its header: as many as the core lets wait, whose rules then
// seldom have to refuse a request that was read.
const maxPending = 12

// refuseCrowded refuses a request whose account has enough waiting here.
func (a *attempt) refuseCrowded() {
	waiting, last := a.service.pending.of(a.account)
	if waiting < maxPending {
		return
	}
	a.refused, a.shed = crowded, true
	a.service.scheduler.TurnAway(core.TurnedAway{
		Account: a.account, Pool: a.route.PoolFor(rand.Float64()),
		Route: model.HashName(a.route.Name), Prompt: a.meta.Prompt,
	})
	if n := a.service.pending.crowd(a.account); n > 0 {
		a.logCrowded(n, waiting, last)
	}
}

// logCrowded notes that so many requests of the account were refused by their header, how
// many wait, and what the last decision on one of them was.
func (a *attempt) logCrowded(refused int64, waiting int, last scheduler.Decision) {
	logBasis(a.log("crowded"), last.Basis).Int64("refused", refused).Int("waiting", waiting).
		Bool("last_dispatched", last.Dispatched).Str("last_reason", string(last.Refusal)).
		Msg("request refused by its header")
}
