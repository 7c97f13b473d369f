// Package socket tells the state of a connection without reading from it, and sets how long
// one may go unacknowledged.
package socket

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// GiveUpAfter returns a net.Dialer's ControlContext under which a connection fails once what
// was written to it has not been acknowledged for so long.
func GiveUpAfter(long time.Duration) func(ctx context.Context, network, address string, c syscall.RawConn) error {
	return func(_ context.Context, _, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(long.Milliseconds()))
		})
		return errors.Join(err, failed)
	}
}

// State is what the other side of a connection has done.
type State uint8

// The states of a connection.
const (
	Silent  State = iota // open, with nothing to read
	Talking              // open, with something to read
	Ended                // closed by the other side, or broken
)

// Look returns the state of a TCP connection; one that can't be looked at
// counts as ended.
func Look(c net.Conn) State {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return Ended
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return Ended
	}
	state := Ended
	// Not by Read, which would wait for another goroutine that reads.
	err = control.Control(func(fd uintptr) {
		var b [1]byte
		n, _, peekErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(peekErr, syscall.EAGAIN):
			state = Silent
		case peekErr == nil && n > 0:
			state = Talking
		}
	})
	if err != nil {
		return Ended
	}
	return state
}
