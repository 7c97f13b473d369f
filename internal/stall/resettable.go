package stall

import (
	"net"
	"syscall"
	"time"
)

// Socket is a connection that can be reset. A type that wraps one must pass on all of these methods.
type Socket interface {
	net.Conn
	syscall.Conn
	// CloseWrite closes the write side of the connection.
	CloseWrite() error
	// SetLinger sets what becomes of unsent data when the connection is closed, as that of net.TCPConn.
	SetLinger(seconds int) error
}

// The arguments of SetLinger.
const (
	lingerReset   = 0  // the connection is reset
	lingerInOrder = -1 // it is closed in order, in the background
)

// Resettable is a Conn that can be reset.
type Resettable struct {
	Conn
	socket Socket
}

// NewResettable returns a Resettable whose writes fail after the given time without progress.
func NewResettable(c Socket, timeout time.Duration) *Resettable {
	return &Resettable{Conn: Conn{Conn: c, timeout: timeout}, socket: c}
}

// Abort resets the connection, so that the other side can't take the data received so far for a whole response.
func (c *Resettable) Abort() {
	c.ResetOnClose(true)
	_ = c.Close()
}

// ResetOnClose sets whether the connection is reset when it is closed, also by the end of this process, instead of being
// closed in order.
func (c *Resettable) ResetOnClose(reset bool) {
	seconds := lingerInOrder
	if reset {
		seconds = lingerReset
	}
	_ = c.socket.SetLinger(seconds) // fails only on a closed connection
}
