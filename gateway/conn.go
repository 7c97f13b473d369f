package gateway

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/tamarindstep/tamarindstep/core/admission"
	"github.com/tamarindstep/tamarindstep/internal/clock"
	"github.com/tamarindstep/tamarindstep/internal/socket"
	"github.com/tamarindstep/tamarindstep/internal/stall"
)

// callerConn is a caller's connection.
type callerConn struct {
	*stall.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	busy   atomic.Bool // a request is being read or served
	// detached is set where the connection is closed elsewhere.
	detached bool
	writes   writes
	// admitted is the place of its first request, where that was let in before the connection was taken, until it is read.
	admitted *admission.Ticket
}

// writes are what an answer's log line says of the writing of it.
type writes struct {
	taken    int           // bytes of the answer that the system has taken
	last     time.Duration // how long the last write took
	spent    time.Duration // how long all of them took
	rested   time.Duration // how long the connection had rested before the request, 0 for a new one
	answered time.Duration // when the last answer ended, 0 for never
}

// begin begins the count for a request that has just arrived.
func (w *writes) begin(now time.Duration) {
	w.taken, w.last, w.spent, w.rested = 0, 0, 0, 0
	if w.answered > 0 {
		w.rested = now - w.answered
	}
}

// wrote counts a write that has ended.
func (w *writes) wrote(n int, began time.Duration) {
	w.taken += n
	w.answered = clock.System.Now()
	w.last = w.answered - began
	w.spent += w.last
}

// note adds the writing of an answer to a line.
func (w *writes) note(line *zerolog.Event) *zerolog.Event {
	return line.Int("taken_bytes", w.taken).Dur("write_ms", w.last).Dur("rested_ms", w.rested)
}

// Write implements io.Writer.
func (c *callerConn) Write(b []byte) (int, error) {
	began := clock.System.Now()
	n, err := c.Conn.Write(b)
	c.writes.wrote(n, began)
	return n, err
}

// writeBuffers writes buffers past the connection's own, and lets go of each as the system has taken it.
func (c *callerConn) writeBuffers(buffers *net.Buffers) error {
	if err := c.flush(); err != nil {
		return err
	}
	began := clock.System.Now()
	n, err := c.WriteBuffers(buffers)
	c.writes.wrote(n, began)
	return err
}

// buffers are those of connections that have ended: a flooded router would spend
// much of its processor on collecting them.
var (
	readers sync.Pool // of *bufio.Reader
	writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, answerBuffer) }}
)

func newCallerConn(c net.Conn, headerBytes int, writeStall time.Duration) *callerConn {
	out := &callerConn{Conn: stall.New(c, writeStall), writer: writers.Get().(*bufio.Writer)}
	out.writer.Reset(out)
	if reader, ok := readers.Get().(*bufio.Reader); ok && reader.Size() == headerBytes {
		reader.Reset(c)
		out.reader = reader
		return out
	}
	out.reader = bufio.NewReaderSize(c, headerBytes)
	return out
}

// release closes the connection, which nothing reads from or writes to any more.
func (c *callerConn) release() {
	if !c.detached {
		_ = c.Close()
	}
	c.reader.Reset(nil)
	c.writer.Reset(nil)
	readers.Put(c.reader)
	writers.Put(c.writer)
}

// answerBuffer is the size of the buffer that an answer is written through, in
// bytes.
const answerBuffer = 4096

// hasLeft tells whether the caller has closed its connection by now. A router that comes late
// to a request finds its end there already; watch alone would tell too late of it, as the
// decision is made beside it.
func (c *callerConn) hasLeft() bool { return socket.Look(c.Conn) == socket.Ended }

// watch calls left if the caller closes its connection, until stop is called.
// While a request is served nothing else reads from the connection.
func (c *callerConn) watch(left context.CancelFunc) (stop func()) {
	done := make(chan struct{})
	_ = c.SetReadDeadline(time.Time{})
	go func() {
		defer close(done)
		_, err := c.reader.Peek(1)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			left()
		}
	}()
	return func() {
		_ = c.SetReadDeadline(time.Unix(1, 0))
		<-done
		_ = c.SetReadDeadline(time.Time{})
	}
}

// flush sends what was written.
func (c *callerConn) flush() error { return c.writer.Flush() }
