package back

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

func TestEndedIfNothingListens(t *testing.T) {
	is := is.New(t)
	s := New()
	defer func() { is.NoErr(s.Stop(t.Context())) }()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.True(!s.Ended(listener.Addr().String())) // it accepts connections but doesn't respond
	is.NoErr(listener.Close())
	is.True(s.Ended(listener.Addr().String()))
}
