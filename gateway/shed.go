package gateway

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/tamarindstep/tamarindstep/internal/stall"
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
	s.work.did(workUnread)
	s.noteShed()
	if _, err := stall.New(c, shedLinger).Write(tooMany.text(startRetryAfter, true)); err != nil {
		_ = c.Close()
		return
	}
	s.lingerConn(c)
}

// noteShed counts a caller that is refused as there is too much to do here.
func (s *Service) noteShed() { s.shedNoted.note(s.log, s.scheduler.Late(), s.open.Load()) }

// lingerConn is linger, of a connection that may not be one of TCP.
func (s *Service) lingerConn(c net.Conn) {
	half, ok := c.(halfCloser)
	if !ok {
		_ = c.Close()
		return
	}
	s.linger(half)
}

// halfCloser is a connection one side of which can be closed.
type halfCloser interface {
	Close() error
	CloseWrite() error
}

// linger ends a connection that carries its last answer, and closes it after a while.
func (s *Service) linger(c halfCloser) {
	if c.CloseWrite() != nil || s.shed.Load() >= maxShed {
		_ = c.Close()
		return
	}
	s.shed.Add(1)
	time.AfterFunc(shedLinger, func() {
		_ = c.Close()
		s.shed.Add(-1)
	})
}

const (
	// maxDiscarded is the size, in bytes, of the largest body that is read over so that its
	// connection may carry another request: up to there a few reads cost less than a new
	// connection does to accept and to close.
	maxDiscarded = 32 << 10
	// discardTimeout is how long the rest of such a body may take to come.
	discardTimeout = time.Second
)

// refuseUnread refuses a request of which only the header was read, and tells whether the
// connection may carry another.
func (a *attempt) refuseUnread() bool {
	length, known := bodyLength(&a.req.Header)
	brief := known && length <= maxDiscarded && !a.req.MayContinue()
	a.keep = a.keep && brief
	a.countRefused()
	a.refuse(a.refused, startRetryAfter)
	if a.keep {
		return a.conn.discard(length) == nil
	}
	a.conn.detached = true
	a.service.linger(a.conn)
	return false
}

// countRefused counts a request that is refused by its header.
func (a *attempt) countRefused() {
	if a.conn.writes.rested > 0 {
		a.service.work.did(workRefusedKept)
		return
	}
	a.service.work.did(workRefusedNew)
}

// bodyLength returns how long the body is that follows a header; known is false where the
// header doesn't tell.
func bodyLength(h *fasthttp.RequestHeader) (length int, known bool) {
	const chunked, none = -1, -2 // by fasthttp
	switch n := h.ContentLength(); n {
	case chunked:
		return 0, false
	case none:
		return 0, true
	default:
		return n, true
	}
}
