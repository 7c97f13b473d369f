// Package socket tells the state of a connection without reading from it.
package socket

import (
	"errors"
	"net"
	"syscall"
)

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
	err = control.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, peekErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(peekErr, syscall.EAGAIN):
			state = Silent
		case peekErr == nil && n > 0:
			state = Talking
		}
		return true
	})
	if err != nil {
		return Ended
	}
	return state
}
