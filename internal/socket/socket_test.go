package socket

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// connect returns the two ends of a connection.
func connect(t *testing.T) (ours, theirs *net.TCPConn) {
	t.Helper()
	is := is.New(t)
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	ours, err = net.DialTCP("tcp", nil, listener.Addr().(*net.TCPAddr))
	is.NoErr(err)
	theirs, err = listener.AcceptTCP()
	is.NoErr(err)
	t.Cleanup(func() { _ = ours.Close(); _ = theirs.Close() })
	return ours, theirs
}

// TestResetIsKnownAfterItWasReported guards against a reset that a write was told of being taken for an end in order by the
// read after it.
func TestResetIsKnownAfterItWasReported(t *testing.T) {
	is := is.New(t)
	ours, theirs := connect(t)
	is.True(!WasReset(ours))
	is.NoErr(theirs.SetLinger(0))
	is.NoErr(theirs.Close())
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); {
		if _, err := ours.Write([]byte("x")); err != nil {
			break
		}
	}
	_, err := ours.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	is.True(WasReset(ours))
}

// TestEndInOrderIsNoReset checks that a connection that was closed in order doesn't count as reset.
func TestEndInOrderIsNoReset(t *testing.T) {
	is := is.New(t)
	ours, theirs := connect(t)
	is.NoErr(theirs.Close())
	_, err := ours.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	is.True(!WasReset(ours))
	is.NoErr(ours.Close())
	is.True(!WasReset(ours)) // nothing is known of a closed one
}
