package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"os"
	"runtime"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/tamarindstep/tamarindstep/core/admission"
	"github.com/tamarindstep/tamarindstep/internal/clock"
	"github.com/tamarindstep/tamarindstep/internal/socket"
)

const (
	// maxBatch is the maximum number of new connections accepted at once.
	maxBatch = 16
	// maxTurn is how long new connections are screened before other goroutines are scheduled. The runtime would preempt
	// after 10 ms, but a router schedules many goroutines per request.
	maxTurn = 2 * time.Millisecond
	// screenBuffer is the number of bytes read from a new connection: as many as are discarded of the body of a refused
	// request.
	screenBuffer = maxDiscarded
	// maxDataWait is how long the screener keeps a new connection on which nothing has been received: a request follows
	// its connection at once unless the caller is slow.
	maxDataWait = 5 * time.Millisecond
	// maxWaiting is the maximum number of such connections; above it, the oldest are handed over early.
	maxWaiting = 64
)

// waitingConn is a new connection on which nothing has been received yet.
type waitingConn struct {
	conn  socket.FDConn
	since time.Duration // by the clock that includes suspended time
}

// screener refuses requests on new connections under overload. While a router refuses requests by their headers, most
// new connections carry requests that will be refused too: each is read from once, and a request that the gate refuses
// is answered directly, with four system calls and without a goroutine, a poller entry or a timer. Connections that
// aren't refused, have sent nothing yet or can't be parsed are handed over to the normal path, with the bytes read so
// far.
//
// It must be used by one goroutine only.
type screener struct {
	service   *Service
	acceptor  *socket.Acceptor
	buffer    []byte
	source    bytes.Reader
	reader    *bufio.Reader
	request   fasthttp.Request
	response  []byte
	waiting   []waitingConn // oldest first
	turnBegan time.Time     // when the current turn began
}

func newScreener(s *Service, l net.Listener) (*screener, error) {
	acceptor, err := socket.NewAcceptor(l)
	if err != nil {
		return nil, err
	}
	return &screener{
		service: s, acceptor: acceptor, buffer: make([]byte, screenBuffer),
		reader: bufio.NewReaderSize(nil, screenBuffer), response: queueFull.text(defaultRetryAfter, true),
	}, nil
}

// close closes the acceptor, which unblocks acceptBatch.
func (sc *screener) close() error {
	err := sc.acceptor.Close()
	if errors.Is(err, os.ErrClosed) {
		return nil
	}
	return err
}

// acceptBatch waits for new connections and refuses or hands over those that are ready. It fails once the screener is
// closed.
func (sc *screener) acceptBatch() error {
	within := time.Duration(0)
	if len(sc.waiting) > 0 {
		within = maxDataWait
	}
	batch, err := sc.acceptor.Accept(maxBatch, within)
	if err != nil {
		sc.closeWaiting()
		return err
	}
	now := clock.System.Now()
	sc.recheckWaiting(now)
	for _, c := range batch {
		if !sc.screen(c) {
			sc.waiting = append(sc.waiting, waitingConn{c, now})
		}
	}
	sc.yield()
	return nil
}

// yield lets other goroutines run once maxTurn has elapsed.
func (sc *screener) yield() {
	if time.Since(sc.turnBegan) < maxTurn {
		return
	}
	runtime.Gosched()
	sc.turnBegan = time.Now()
}

// closeWaiting closes the waiting connections.
func (sc *screener) closeWaiting() {
	for _, w := range sc.waiting {
		_ = w.conn.Close()
	}
	sc.waiting = nil
}

// recheckWaiting screens the waiting connections again and hands over those that have waited too long.
func (sc *screener) recheckWaiting(now time.Duration) {
	waiting := sc.waiting
	sc.waiting = sc.waiting[:0]
	for i, w := range waiting {
		if sc.screen(w.conn) {
			continue
		}
		if now-w.since < maxDataWait && len(waiting)-i <= maxWaiting {
			sc.waiting = append(sc.waiting, w)
			continue
		}
		sc.handOver(w.conn, nil, nil)
	}
}

// handOverWaiting hands over all waiting connections.
func (sc *screener) handOverWaiting() {
	for _, w := range sc.waiting {
		sc.handOver(w.conn, nil, nil)
	}
	sc.waiting = sc.waiting[:0]
}

// screen refuses the request received on a connection or hands the connection over. It reports whether anything was
// received.
func (sc *screener) screen(c socket.FDConn) bool {
	n, err := c.Read(sc.buffer)
	if err != nil {
		_ = c.Close()
		return true
	}
	if n == 0 {
		return false
	}
	read := sc.buffer[:n]
	checked, whole := sc.check(read)
	if checked.refused == nil {
		sc.handOver(c, read, checked.ticket)
		return true
	}
	if err := c.Write(sc.response); err != nil || whole {
		_ = c.Close()
		return true
	}
	sc.service.linger(c)
	return true
}

// check parses the received request, requests its admission, and reports whether it was received whole: closing a
// connection with data still to come resets it, and the caller may lose the response. If the data isn't exactly one
// request of a known account and route, the attempt has neither a ticket nor a refusal.
func (sc *screener) check(read []byte) (a *attempt, whole bool) {
	s := sc.service
	sc.source.Reset(read)
	sc.reader.Reset(&sc.source)
	sc.request.Reset()
	a = &attempt{service: s, req: &sc.request, conn: &callerConn{}, began: clock.System.Now()}
	if err := sc.request.Header.Read(sc.reader); err != nil || ambiguousLength(sc.request.Header.RawHeaders()) {
		return a, false
	}
	length, known := bodyLength(&sc.request.Header)
	rest := sc.reader.Buffered() + sc.source.Len()
	if !known || rest > length || sc.request.MayContinue() || a.resolve() != nil {
		return a, false
	}
	a.requestAdmission()
	if a.refused != nil {
		s.work.add(workScreened)
		a.countRefusal(a.refused)
	}
	return a, rest == length
}

// handOver passes a connection to the normal path, with the bytes read so far and the ticket of its first request if
// that has been admitted.
func (sc *screener) handOver(c socket.FDConn, read []byte, admitted *admission.Ticket) {
	s := sc.service
	conn, err := c.Conn(bytes.Clone(read))
	if err != nil {
		s.releaseTicket(admitted)
		s.log.Warn().Err(err).Msg("accepting a caller's connection failed")
		return
	}
	if !s.startConn(conn, admitted) {
		s.releaseTicket(admitted)
		s.rejectUnread(conn)
	}
}
