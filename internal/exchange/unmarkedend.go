package exchange

import (
	"errors"
	"io"
	"time"

	"github.com/tamarindstep/tamarindstep/internal/socket"
)

var (
	// errReset is the error for a connection whose reset was reported to another call than the read.
	errReset = errors.New("connection was reset")
	// errRequestNotReceived is the error for a connection that ended before the server had received the whole request.
	errRequestNotReceived = errors.New("connection ended before the server had received the whole request")
)

// unmarkedEnd returns io.EOF for the end of the connection if that ends a body whose end isn't marked, and an error if the
// body may be truncated: the connection was reset, or ended while the request was being written, in which case a reset
// follows if the server has closed it.
func (a *Response) unmarkedEnd() error {
	if err := a.checkReceived(); err != nil {
		return err
	}
	if err := a.awaitWritten(); err != nil {
		return errors.Join(errRequestNotReceived, err)
	}
	if err := a.checkReceived(); err != nil {
		return err
	}
	return io.EOF
}

// checkReceived returns an error if the connection was reset, or the server hasn't acknowledged all that was written. A
// server that closes its connection after it has read the whole request acknowledges that at the latest with its end.
func (a *Response) checkReceived() error {
	if socket.WasReset(a.conn) {
		return errReset
	}
	if a.conn.Unacknowledged() > 0 {
		return errRequestNotReceived
	}
	return nil
}

// awaitWritten waits until the request has been written, and returns the error of that.
func (a *Response) awaitWritten() error {
	if a.written == nil {
		return a.writeErr
	}
	select {
	case a.writeErr = <-a.written:
		a.written = nil
		return a.writeErr
	case <-time.After(a.options.Timeout):
		return errRequestNotReceived
	}
}
