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
	// doorBatch is how many new connections are taken at once.
	doorBatch = 16
	// doorTurn is how long new connections are looked at before whatever else can run has its turn. The runtime would
	// end a turn after 10 ms; a router has many for each request.
	doorTurn = 2 * time.Millisecond
	// doorBuffer is how much is read of what comes on a new connection, in bytes: as much as is read of the body of a request
	// that is refused.
	doorBuffer = maxDiscarded
	// earlyFor is how long a new connection on which nothing has come waits at the door: a request follows its connection at
	// once, unless its caller is slow.
	earlyFor = 5 * time.Millisecond
	// maxEarly is how many such connections wait; the oldest give way.
	maxEarly = 64
)

// early is a new connection on which nothing has come yet.
type early struct {
	conn  socket.Raw
	since time.Duration // by the clock that counts sleep
}

// door refuses requests of a crowd on new connections. While a router refuses requests by their headers, most new connections bring
// more of the same: what has come on one is read once, and a request that the gate refuses is answered there and then, by four calls
// of the system and without a goroutine, an entry of the poller or a timer. Whatever isn't refused, isn't there yet or isn't
// understood goes on in the ordinary way, with what was read of it.
//
// One goroutine uses it.
type door struct {
	service  *Service
	acceptor *socket.Acceptor
	buffer   []byte
	source   bytes.Reader
	reader   *bufio.Reader
	request  fasthttp.Request
	answer   []byte
	early    []early   // by age
	turn     time.Time // when the present turn began
}

func newDoor(s *Service, l net.Listener) (*door, error) {
	acceptor, err := socket.NewAcceptor(l)
	if err != nil {
		return nil, err
	}
	return &door{
		service: s, acceptor: acceptor, buffer: make([]byte, doorBuffer),
		reader: bufio.NewReaderSize(nil, doorBuffer), answer: crowded.text(startRetryAfter, true),
	}, nil
}

// close ends the door, and a call of meet that waits.
func (d *door) close() error {
	err := d.acceptor.Close()
	if errors.Is(err, os.ErrClosed) {
		return nil
	}
	return err
}

// meet waits for new connections, and refuses or hands on those that are there. It fails once the door is closed.
func (d *door) meet() error {
	within := time.Duration(0)
	if len(d.early) > 0 {
		within = earlyFor
	}
	batch, err := d.acceptor.Accept(doorBatch, within)
	if err != nil {
		d.leave()
		return err
	}
	now := clock.System.Now()
	d.lookAgain(now)
	for _, c := range batch {
		if !d.look(c) {
			d.early = append(d.early, early{c, now})
		}
	}
	d.yield()
	return nil
}

// yield lets all others have their turn, once the door's is over.
func (d *door) yield() {
	if time.Since(d.turn) < doorTurn {
		return
	}
	runtime.Gosched()
	d.turn = time.Now()
}

// leave closes the connections that wait.
func (d *door) leave() {
	for _, e := range d.early {
		_ = e.conn.Close()
	}
	d.early = nil
}

// lookAgain looks at the connections that wait, and hands on those that have waited for long.
func (d *door) lookAgain(now time.Duration) {
	waiting := d.early
	d.early = d.early[:0]
	for i, e := range waiting {
		if d.look(e.conn) {
			continue
		}
		if now-e.since < earlyFor && len(waiting)-i <= maxEarly {
			d.early = append(d.early, e)
			continue
		}
		d.handOn(e.conn, nil, nil)
	}
}

// handOnEarly hands on all connections that wait.
func (d *door) handOnEarly() {
	for _, e := range d.early {
		d.handOn(e.conn, nil, nil)
	}
	d.early = d.early[:0]
}

// look refuses the request that has come on a connection, or hands the connection on; it tells whether anything has come.
func (d *door) look(c socket.Raw) bool {
	n, err := c.Read(d.buffer)
	if err != nil {
		_ = c.Close()
		return true
	}
	if n == 0 {
		return false
	}
	read := d.buffer[:n]
	judged, whole := d.judge(read)
	if judged.refused == nil {
		d.handOn(c, read, judged.ticket)
		return true
	}
	if err := c.Write(d.answer); err != nil || whole {
		_ = c.Close()
		return true
	}
	d.service.linger(c)
	return true
}

// judge lets the request that has come arrive at the gate, and tells whether all of it has come: a connection that is closed while some
// of it is still to come is reset, and its caller may lose the answer. What isn't a request of a known account and route, or not one
// alone, has neither a place nor a refusal.
func (d *door) judge(read []byte) (a *attempt, whole bool) {
	s := d.service
	d.source.Reset(read)
	d.reader.Reset(&d.source)
	d.request.Reset()
	a = &attempt{service: s, req: &d.request, conn: &callerConn{}, began: clock.System.Now()}
	if err := d.request.Header.Read(d.reader); err != nil || ambiguousLength(d.request.Header.RawHeaders()) {
		return a, false
	}
	length, known := bodyLength(&d.request.Header)
	rest := d.reader.Buffered() + d.source.Len()
	if !known || rest > length || d.request.MayContinue() || a.understand() != nil {
		return a, false
	}
	a.letIn()
	if a.refused != nil {
		s.work.did(workAtDoor)
		a.countRefusal(a.refused)
	}
	return a, rest == length
}

// handOn serves a connection in the ordinary way, of which something was read and whose first request may have been let in.
func (d *door) handOn(c socket.Raw, read []byte, admitted *admission.Ticket) {
	s := d.service
	conn, err := c.Conn(bytes.Clone(read))
	if err != nil {
		s.giveBack(admitted)
		s.log.Warn().Err(err).Msg("a caller's connection can't be taken")
		return
	}
	if s.isFull() {
		s.giveBack(admitted)
		s.turnAway(conn)
		return
	}
	s.take(conn, admitted)
}
