package socket

import (
	"errors"
	"net"
	"time"
)

// acceptRetryDelay is the delay after a failure to accept a connection.
const acceptRetryDelay = 20 * time.Millisecond

// RetryListener is a listener that retries when accepting a connection fails. Servers that stop at the first failure
// accept no more connections once the process has run out of file descriptors for a moment.
type RetryListener struct{ net.Listener }

// Accept implements net.Listener. It fails only once the listener is closed.
func (l RetryListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return c, err
		}
		time.Sleep(acceptRetryDelay)
	}
}
