package gateway

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"
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
