package socket

import (
	"net"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// failing is a listener whose first calls of Accept fail for lack of file descriptors.
type failing struct {
	net.Listener
	failures int
}

func (l *failing) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// TestRetryListenerRetries accepts a connection after failures, and fails once the listener is closed.
func TestRetryListenerRetries(t *testing.T) {
	is := is.New(t)
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := RetryListener{&failing{Listener: raw, failures: 3}}
	out, err := net.Dial("tcp", raw.Addr().String())
	is.NoErr(err)
	defer func() { _ = out.Close() }()
	in, err := l.Accept()
	is.NoErr(err)
	is.NoErr(in.Close())
	is.NoErr(raw.Close())
	_, err = l.Accept()
	is.True(err != nil)
}
