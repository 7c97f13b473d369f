package gateway

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/tamarindstep/tamarindstep/internal/stall"
)

const (
	// lingerTimeout is how long a rejected connection stays open after the response. Closing it at once, with data from
	// the caller unread, would reset it, and the caller might lose the response.
	lingerTimeout = 500 * time.Millisecond
	// maxLingering is the maximum number of such connections; further ones are closed at once.
	maxLingering = 512
)

// overloaded reports whether new requests are refused before they are parsed.
func (s *Service) overloaded() bool {
	return s.open.Load() > int64(s.settings.MaxRequests) || s.scheduler.Overloaded()
}

// connectionsScarce reports whether so many caller connections are open that idle ones must be closed.
func (s *Service) connectionsScarce() bool { return s.connected.Load() > int64(s.settings.MaxConns)/2 }

// rejectUnread answers a new connection with a refusal without reading from it. Reading a request and its body costs
// several times as much processor time, which an overloaded router needs for the requests it has accepted.
func (s *Service) rejectUnread(c stall.Socket) {
	s.metrics.Front.Refusals.WithLabelValues(tooManyRequests.code).Inc()
	s.work.add(workUnread)
	s.logShed()
	if _, err := stall.New(c, lingerTimeout).Write(tooManyRequests.text(defaultRetryAfter, true)); err != nil {
		_ = c.Close()
		return
	}
	s.linger(c)
}

// logShed counts a caller that is refused because of overload, and logs at a limited rate.
func (s *Service) logShed() { s.shedLog.logRejected(s.log, s.scheduler.MeanLag(), s.open.Load()) }

// halfCloser is a connection whose write side can be closed on its own.
type halfCloser interface {
	Close() error
	CloseWrite() error
}

// linger closes the write side of a connection after its last response, and the connection after lingerTimeout.
func (s *Service) linger(c halfCloser) {
	if c.CloseWrite() != nil || s.lingering.Load() >= maxLingering {
		_ = c.Close()
		return
	}
	s.lingering.Add(1)
	time.AfterFunc(lingerTimeout, func() {
		_ = c.Close()
		s.lingering.Add(-1)
	})
}

const (
	// maxDiscarded is the size, in bytes, of the largest body that is discarded so that its connection can carry
	// another request: up to this size a few reads cost less than accepting and closing a new connection.
	maxDiscarded = 32 << 10
	// discardTimeout is the time limit for reading the rest of such a body.
	discardTimeout = time.Second
)

// refuseUnread refuses a request of which only the header was read, and reports whether the connection may carry
// another.
func (a *attempt) refuseUnread() bool {
	length, known := bodyLength(&a.req.Header)
	brief := known && length <= maxDiscarded && !a.req.MayContinue()
	a.keepAlive = a.keepAlive && brief
	a.countRefused()
	a.refuse(a.refused, defaultRetryAfter)
	if a.keepAlive {
		return a.conn.discard(length) == nil
	}
	a.conn.detached = true
	a.service.linger(a.conn)
	return false
}

// countRefused counts a request that is refused by its header.
func (a *attempt) countRefused() {
	if a.conn.writes.idle > 0 {
		a.service.work.add(workRefusedKept)
		return
	}
	a.service.work.add(workRefusedNew)
}

// bodyLength returns the length of the body that follows a header; known is false if the header doesn't specify it.
func bodyLength(h *fasthttp.RequestHeader) (length int, known bool) {
	const chunked, none = -1, -2 // as in fasthttp
	switch n := h.ContentLength(); n {
	case chunked:
		return 0, false
	case none:
		return 0, true
	default:
		return n, true
	}
}
