// Package stall provides connections whose writes fail once the other side has acknowledged nothing for a while.
//
// The deadline of a net.Conn applies until another one is set, so that a deadline left behind by one exchange, once it
// has passed, would fail the writes of the next one, however fast these are. A Conn sets its own deadline for each
// write and ignores those set by its users. A write is limited by its progress, not by its size: it continues for as
// long as the other side acknowledges data.
//
// The time limits of the router's connections:
//
//	connection                | operation            | limit                              | from            | on expiry
//	--------------------------|----------------------|------------------------------------|-----------------|---------------------
//	caller, package gateway   | idle                 | the configuration's idle timeout   | last response   | closed
//	                          | read a header        | the configuration's header timeout | first byte      | closed
//	                          | read a body          | 30 s                               | header          | closed
//	                          | write                | the setting caller-stall-seconds   | last progress   | reset
//	                          | write, rejected      | 0.5 s without progress             | last progress   | closed
//	caller, package front;    | idle                 | 60 s                               | last response   | closed
//	operator                  | read a request       | 30 s                               | first byte      | closed
//	                          | write                | as above (operators: 10 s)         | last progress   | closed
//	backend server, store     | connect              | 0.5 s; the store 1 s               | start           | "not sent"
//	                          | write                | the exchange's timeout; 2.5 s unacknowledged | last progress | "sent"
//	                          | read a head          | the exchange's timeout             | start           | "sent"
//	                          | read part of a body  | the exchange's timeout             | previous part   | truncated
//	                          | whole exchange       | the request's deadline             | arrival         | closed
//	router                    | handshake            | 2 s for all reads                  | start           | closed
//	                          | write                | 2 s without progress               | last progress   | closed
//
// All of these limits exclude the time for which the VM is suspended: after a suspension the other side has as much
// time left as before. Package clock provides times that include suspension.
package stall

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// checksPerTimeout is how often progress is checked within the timeout.
const checksPerTimeout = 4

// Error is the error for a write during which the other side acknowledged nothing for too long.
type Error struct {
	Written int           // bytes of the write accepted by the kernel
	For     time.Duration // minimum time without an acknowledgement
	From    net.Addr      // local address
	To      net.Addr      // remote address
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("write %v->%v: nothing was acknowledged for %v, %d bytes into it", e.From, e.To, e.For, e.Written)
}

// Timeout returns true, as the method of net.Error does for time-outs.
func (e *Error) Timeout() bool { return true }

// Unwrap returns os.ErrDeadlineExceeded.
func (e *Error) Unwrap() error { return os.ErrDeadlineExceeded }

// Conn is a connection whose writes fail once the other side has acknowledged nothing for the timeout. Only one
// goroutine at a time may write to it.
type Conn struct {
	net.Conn
	timeout time.Duration
	stalled bool
}

// New returns a Conn whose writes fail after the given time without progress.
func New(c net.Conn, timeout time.Duration) *Conn { return &Conn{Conn: c, timeout: timeout} }

// SetTimeout sets how long later writes may make no progress.
func (c *Conn) SetTimeout(timeout time.Duration) { c.timeout = timeout }

// SetDeadline sets the read deadline; writes have their own.
func (c *Conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetWriteDeadline does nothing: each write has a deadline of its own.
func (c *Conn) SetWriteDeadline(time.Time) error { return nil }

// Write implements io.Writer.
func (c *Conn) Write(p []byte) (int, error) {
	return c.write(func() (int, error) {
		n, err := c.Conn.Write(p)
		p = p[n:]
		return n, err
	})
}

// WriteBuffers writes buffers with as few system calls as possible and releases each once the kernel has accepted it.
func (c *Conn) WriteBuffers(buffers *net.Buffers) (int, error) {
	return c.write(func() (int, error) {
		n, err := buffers.WriteTo(c.Conn)
		return int(n), err
	})
}

// write calls part, which writes the remaining data, until all is written or the other side has acknowledged nothing
// for the timeout.
func (c *Conn) write(part func() (int, error)) (int, error) {
	written := 0
	acks := progress{}
	for {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(c.timeout / checksPerTimeout)); err != nil {
			return written, err
		}
		n, err := part()
		written += n
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		if missed := acks.update(n, c.Unacknowledged()); missed >= checksPerTimeout {
			c.stalled = true
			return written, &Error{Written: written, For: c.timeout, From: c.LocalAddr(), To: c.RemoteAddr()}
		}
	}
}

// Stalled reports whether a write has failed for lack of progress. It must be called by the writing goroutine.
func (c *Conn) Stalled() bool { return c.stalled }

// progress counts consecutive checks without an acknowledgement.
type progress struct {
	queued int // unacknowledged bytes at the last check, 0 before the first
	checks int
}

// update takes the number of bytes accepted by the kernel since the last check and of those unacknowledged now, -1 if
// unknown. It returns the number of consecutive checks without progress.
func (p *progress) update(accepted, queued int) int {
	acknowledged := accepted > 0
	if queued >= 0 {
		acknowledged = acknowledged || queued < p.queued
		p.queued = queued
	}
	p.checks++
	if acknowledged {
		p.checks = 0
	}
	return p.checks
}

// Unacknowledged returns the number of sent bytes that the other side hasn't acknowledged, -1 if unknown. Bytes
// accepted by the kernel don't suffice as a sign of progress: with a slow reader it accepts nothing for a long time,
// because it frees its send buffer in large pieces.
func (c *Conn) Unacknowledged() int {
	out := -1
	control, err := c.SyscallConn()
	if err != nil {
		return out
	}
	_ = control.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			out = n
		}
	})
	return out
}

// errNoDescriptor is the error for a connection without a file descriptor.
var errNoDescriptor = errors.New("connection has no file descriptor")

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errNoDescriptor
	}
	return raw.SyscallConn()
}

// CloseWrite closes the write side of the connection.
func (c *Conn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return c.Close()
	}
	return half.CloseWrite()
}

// Listener is a listener whose connections have a write timeout.
type Listener struct {
	net.Listener
	WriteTimeout time.Duration // how long their writes may make no progress
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return New(c, l.WriteTimeout), nil
}
