package fleet

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/internal/exchange"
	"github.com/tamarindstep/tamarindstep/internal/standin/users"
)

// TestPollEndsWhileBytesArrive guards against a backend server that sends a byte now and then keeping the polls of all
// others from being reported: a round ends with its last poll, and each byte extended the wait for the next one.
func TestPollEndsWhileBytesArrive(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(c))
		users.WriteEndless(c, users.EndlessExtensions, "id", "seal", time.Millisecond)
		_ = c.Close()
	}()
	client := exchange.NewClient(listener.Addr().String(), loadTimeout)
	t.Cleanup(client.Close)
	polled := make(chan core.Load, 1)
	go func() { polled <- pollBackend(t.Context(), client, false) }()
	select {
	case load := <-polled:
		is.True(load.Failed)
	case <-time.After(8 * pollLimit):
		t.Fatal("the poll doesn't end")
	}
}

// TestBrokenHealthIsFailure guards against a broken answer to a health check counting as good health.
func TestBrokenHealthIsFailure(t *testing.T) {
	for name, text := range users.BrokenAround("well") {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, stop, err := users.ServeText(text)
			is.NoErr(err)
			defer stop()
			client := exchange.NewClient(address, loadTimeout)
			defer client.Close()
			is.True(pollBackend(t.Context(), client, false).Failed)
		})
	}
}
