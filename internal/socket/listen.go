package socket

import (
	"context"
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
func (l RetryListener) Accept() (net.Conn, error) { return retryAccept(l.Listener.Accept) }

// retryAccept accepts a connection. It fails only once the listener is closed.
func retryAccept[C net.Conn](accept func() (C, error)) (C, error) {
	for {
		c, err := accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return c, err
		}
		time.Sleep(acceptRetryDelay)
	}
}

// TCPListener is a RetryListener whose connections are known to be TCP connections.
type TCPListener struct{ *net.TCPListener }

// ListenTCP listens on an IP address and port.
func ListenTCP(ctx context.Context, config net.ListenConfig, address string) (TCPListener, error) {
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return TCPListener{}, err
	}
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return TCPListener{}, errors.Join(errNoDescriptor, listener.Close())
	}
	return TCPListener{tcp}, nil
}

// Accept implements net.Listener. It fails only once the listener is closed.
func (l TCPListener) Accept() (net.Conn, error) { return retryAccept(l.TCPListener.Accept) }

// AcceptTCP accepts a connection. It fails only once the listener is closed.
func (l TCPListener) AcceptTCP() (*net.TCPConn, error) { return retryAccept(l.TCPListener.AcceptTCP) }
