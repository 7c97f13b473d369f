package admin

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// TestSilentConnectionsEnd guards against connections that stay open forever after sending nothing or half a request,
// as the idle timeout applies only after the first request.
func TestSilentConnectionsEnd(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := newServer(func(*fasthttp.RequestCtx) {}, 50*time.Millisecond)
	done := make(chan error, 1)
	go func() { done <- server.Serve(l) }()
	for _, text := range []string{"", "GET / HT"} {
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		_, err = io.WriteString(c, text)
		is.NoErr(err)
		is.NoErr(c.SetReadDeadline(time.Now().Add(5 * time.Second)))
		_, err = io.ReadAll(c)
		is.NoErr(err) // end of file, not a timeout
		is.NoErr(c.Close())
	}
	is.NoErr(server.Shutdown())
	is.NoErr(<-done)
}
