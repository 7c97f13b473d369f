package gateway

import (
	"net"
	"time"
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

// turnAway refuses whatever a new connection brings without reading it. Reading a
// request and its body costs several times as much, which a router that can't keep
// up needs for the requests it has.
func (s *Service) turnAway(c net.Conn) {
	s.metrics.Front.Refusals.WithLabelValues(tooMany.code).Inc()
	s.shedNoted.note(s.log)
	_ = c.SetWriteDeadline(time.Now().Add(shedLinger))
	if _, err := c.Write(tooMany.text(startRetryAfter, true)); err != nil {
		_ = c.Close()
		return
	}
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
