// Package socket determines the state of a connection without reading from it, sets how long written data may remain
// unacknowledged, and accepts connections.
package socket

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout returns a net.Dialer's ControlContext that sets TCP_USER_TIMEOUT: a connection fails once written data
// has remained unacknowledged for the given time.
func UserTimeout(timeout time.Duration) func(ctx context.Context, network, address string, c syscall.RawConn) error {
	return func(_ context.Context, _, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		return errors.Join(err, failed)
	}
}

// State is the state of a connection as seen from this side.
type State uint8

// The states of a connection.
const (
	Idle     State = iota // open, without unread data
	Readable              // open, with unread data
	Closed                // closed by the other side, or failed
)

// StateOf returns the state of a TCP connection, Closed if it can't be determined.
func StateOf(c net.Conn) State {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return Closed
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Closed
	// Read would wait for a concurrent read by another goroutine.
	err = control.Control(func(fd uintptr) {
		var b [1]byte
		n, _, peekErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(peekErr, syscall.EAGAIN):
			state = Idle
		case peekErr == nil && n > 0:
			state = Readable
		}
	})
	if err != nil {
		return Closed
	}
	return state
}

// tcpClose is the state in which a reset leaves a connection, TCP_CLOSE in Linux.
const tcpClose = 7

// WasReset reports whether a connection is known to have been reset. The kernel reports a reset to one call only, which may
// be a write; a read after it finds the end of the connection, as if it had been closed in order.
func WasReset(c syscall.Conn) bool {
	control, err := c.SyscallConn()
	if err != nil {
		return false
	}
	reset := false
	_ = control.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		reset = err == nil && info.State == tcpClose
	})
	return reset
}
