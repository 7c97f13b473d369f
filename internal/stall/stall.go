// Package stall bounds how long the other side of a connection may take nothing of what is written to it.
//
// The deadline of a net.Conn holds until another one is set, so that one which an exchange leaves behind ends the
// next, however soon that is written. A Conn sets its own for each write and lets none be set from outside. A
// write is bounded by progress, not by its size: it goes on for as long as the other side acknowledges something.
//
// Who may take how long, from when, and what happens then:
//
//	connection                | operation            | bound                            | from            | then
//	--------------------------|----------------------|----------------------------------|-----------------|---------------------
//	caller, passed through    | rest                 | the configuration's idle time    | answer before   | closed
//	                          | read a header        | the configuration's header time  | first byte      | closed
//	                          | read a body          | 30 s                             | header          | closed
//	                          | write                | the setting caller-stall-seconds | last progress   | reset
//	                          | write, turned away   | 0.5 s without progress           | last progress   | closed
//	caller, operator, product | rest                 | 60 s                             | answer before   | closed
//	                          | read a request       | 30 s                             | first byte      | closed
//	                          | write                | as above (operators: 10 s)       | last progress   | closed
//	backend server, store     | connect              | 0.5 s; the store 1 s             | begin           | "not sent"
//	                          | write                | its patience; 2.5 s unacknowledged | last progress | "sent"
//	                          | read a head          | the exchange's patience          | begin           | "sent"
//	                          | read part of a body  | the exchange's patience          | part before     | broken off
//	                          | all of it            | the request's own time           | arrival         | closed
//	router                    | handshake            | 2 s for all that is read         | begin           | closed
//	                          | write                | 2 s without progress             | last progress   | closed
//
// All of these count the time in which the machine runs: after a suspension the other side has as long as it had
// left before. Times that count a suspension are those of package clock.
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

// looks is how often progress is looked for in the time that there may be none.
const looks = 4

// Error is the error for a write of which the other side took nothing for too long.
type Error struct {
	Taken int           // bytes of the write that the system took
	For   time.Duration // how long the other side acknowledged nothing, at least
	From  net.Addr      // of this side
	To    net.Addr      // of the other side
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("write %v->%v: nothing was acknowledged for %v, %d bytes into it", e.From, e.To, e.For, e.Taken)
}

// Timeout tells that a time has run out, as net.Error does.
func (e *Error) Timeout() bool { return true }

// Unwrap returns the error of a deadline that has passed.
func (e *Error) Unwrap() error { return os.ErrDeadlineExceeded }

// Conn is a connection whose writes fail once the other side has taken nothing for too long. One goroutine at a
// time writes to it.
type Conn struct {
	net.Conn
	patience time.Duration
	stalled  bool
}

// New returns a connection whose writes may go without progress for so long.
func New(c net.Conn, patience time.Duration) *Conn { return &Conn{Conn: c, patience: patience} }

// SetPatience sets how long writes may go without progress from now on.
func (c *Conn) SetPatience(patience time.Duration) { c.patience = patience }

// SetDeadline sets the deadline of reading; writes have their own.
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

// WriteBuffers writes buffers at once, and lets go of each as the system has taken it.
func (c *Conn) WriteBuffers(buffers *net.Buffers) (int, error) {
	return c.write(func() (int, error) {
		n, err := buffers.WriteTo(c.Conn)
		return int(n), err
	})
}

// write calls part, which writes what is left, until it is done or the other side has taken nothing for too long.
func (c *Conn) write(part func() (int, error)) (int, error) {
	taken := 0
	still := progress{}
	for {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(c.patience / looks)); err != nil {
			return taken, err
		}
		n, err := part()
		taken += n
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return taken, err
		}
		if missed := still.missed(n, c.unacknowledged()); missed >= looks {
			c.stalled = true
			return taken, &Error{Taken: taken, For: c.patience, From: c.LocalAddr(), To: c.RemoteAddr()}
		}
	}
}

// Stalled tells whether a write has failed as the other side took nothing. It is for who writes.
func (c *Conn) Stalled() bool { return c.stalled }

// progress counts for how many looks in a row nothing was acknowledged.
type progress struct {
	queued int // bytes that were unacknowledged at the last look, 0 for none yet
	looks  int
}

// missed takes what the system has taken since the last look, and how much is unacknowledged now, -1 where it
// can't be told. It returns how many looks in a row have shown no progress.
func (p *progress) missed(taken, queued int) int {
	acknowledged := taken > 0
	if queued >= 0 {
		acknowledged = acknowledged || queued < p.queued
		p.queued = queued
	}
	p.looks++
	if acknowledged {
		p.looks = 0
	}
	return p.looks
}

// unacknowledged returns how many bytes the other side hasn't acknowledged, -1 where it can't be told. Of a slow
// reader the system takes nothing for long, in spite of progress, as it frees its buffer in large pieces.
func (c *Conn) unacknowledged() int {
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

// errNoDescriptor is the error for a connection without a descriptor.
var errNoDescriptor = errors.New("the connection has no descriptor")

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errNoDescriptor
	}
	return raw.SyscallConn()
}

// CloseWrite ends what is written, and leaves reading open.
func (c *Conn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return c.Close()
	}
	return half.CloseWrite()
}

// Abort closes the connection at once by a reset: the other side can't take what it has got for a whole answer.
func (c *Conn) Abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// Listener is a listener of connections whose writes are bounded.
type Listener struct {
	net.Listener
	Patience time.Duration // how long their writes may go without progress
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return New(c, l.Patience), nil
}
