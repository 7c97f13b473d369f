package gateway

import (
	"bufio"
	"context"
	"errors"
	"io"
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

// callerConn is the connection of a caller.
type callerConn struct {
	*stall.Resettable
	reader *bufio.Reader
	writer *bufio.Writer
	busy   atomic.Bool // a request is being read or served
	// reading is whether the body of a request is being read.
	reading atomic.Bool
	// detached is set if another function closes the connection.
	detached bool
	writes   writeStats
	// admitted is the ticket of the first request if it was admitted before the connection was accepted, until the
	// request is read.
	admitted *admission.Ticket
	// encoded limits what is received of a body in chunks while one is read, nil otherwise.
	encoded *io.LimitedReader
}

// writeStats are the measurements of response writes for log lines.
type writeStats struct {
	bytes     int           // of the response, accepted by the kernel
	last      time.Duration // duration of the last write
	total     time.Duration // duration of all writes
	idle      time.Duration // idle time of the connection before the request, 0 for a new connection
	lastWrite time.Duration // when the last write ended, 0 for never
}

// begin resets the measurements for a request that has just arrived.
func (w *writeStats) begin(now time.Duration) {
	w.bytes, w.last, w.total, w.idle = 0, 0, 0, 0
	if w.lastWrite > 0 {
		w.idle = now - w.lastWrite
	}
}

// add records a write that began at the given time and has ended.
func (w *writeStats) add(n int, began time.Duration) {
	w.bytes += n
	w.lastWrite = clock.System.Now()
	w.last = w.lastWrite - began
	w.total += w.last
}

// addTo adds the measurements to a log line.
func (w *writeStats) addTo(line *zerolog.Event) *zerolog.Event {
	return line.Int("taken_bytes", w.bytes).Dur("write_ms", w.last).Dur("rested_ms", w.idle)
}

// Read implements io.Reader. It returns io.EOF where the limit of a body in chunks is reached.
func (c *callerConn) Read(b []byte) (int, error) {
	if c.encoded != nil {
		return c.encoded.Read(b)
	}
	return c.Conn.Read(b)
}

// Write implements io.Writer.
func (c *callerConn) Write(b []byte) (int, error) {
	began := clock.System.Now()
	n, err := c.Resettable.Write(b)
	c.writes.add(n, began)
	return n, err
}

// writeBuffers writes buffers without the connection's own buffer and releases each once the kernel has accepted it.
func (c *callerConn) writeBuffers(buffers *net.Buffers) error {
	if err := c.flush(); err != nil {
		return err
	}
	began := clock.System.Now()
	n, err := c.WriteBuffers(buffers)
	c.writes.add(n, began)
	return err
}

// These pools reuse the buffers of closed connections: under a flood of connections a router would spend much of its
// processor time on garbage collection.
var (
	readers sync.Pool // of *bufio.Reader
	writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBuffer) }}
)

func newCallerConn(c stall.Socket, headerBytes int, writeTimeout time.Duration) *callerConn {
	out := &callerConn{Resettable: stall.NewResettable(c, writeTimeout), writer: writers.Get().(*bufio.Writer)}
	out.writer.Reset(out)
	if reader, ok := readers.Get().(*bufio.Reader); ok && reader.Size() == headerBytes {
		reader.Reset(out)
		out.reader = reader
		return out
	}
	out.reader = bufio.NewReaderSize(out, headerBytes)
	return out
}

// release closes the connection and recycles its buffers. It must not be read from or written to afterwards.
func (c *callerConn) release() {
	if !c.detached {
		_ = c.Close()
	}
	c.reader.Reset(nil)
	c.writer.Reset(nil)
	readers.Put(c.reader)
	writers.Put(c.writer)
}

// writeBuffer is the size of the buffer that responses are written through, in bytes.
const writeBuffer = 4096

// hasLeft reports whether the caller has closed its connection. A router that reads a request late finds the end of the
// connection already there; watch, which runs concurrently with scheduling, would report it too late.
func (c *callerConn) hasLeft() bool { return socket.StateOf(c) == socket.Closed }

// watch calls left if the caller closes its connection, until stop is called. Nothing else reads from the connection
// while a request is served.
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

// flush sends the buffered bytes.
func (c *callerConn) flush() error { return c.writer.Flush() }
