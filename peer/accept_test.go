package peer

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/telemetry"
	"github.com/tamarindstep/tamarindstep/wire"
)

// exhausted is a listener that has no descriptor for one connection.
type exhausted struct {
	net.Listener
	failed atomic.Bool
}

// Accept implements net.Listener.
func (l *exhausted) Accept() (net.Conn, error) {
	if l.failed.CompareAndSwap(false, true) {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// TestCallsOutlastExhaustion guards against a router that takes no calls for good once it had no descriptor for one.
func TestCallsOutlastExhaustion(t *testing.T) {
	is := is.New(t)
	a := startPeer(t, is, "a", "one key for both")
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	b := New(Settings{Name: "b", Boot: 2, Key: []byte("one key for both")}, telemetry.NewMetrics().Peer)
	b.HandleCalls(&answering{})
	b.calls = &exhausted{Listener: raw}
	run, stop := context.WithCancel(context.Background())
	b.ended.Add(1)
	go b.acceptCalls(run)
	t.Cleanup(func() { stop(); _ = raw.Close(); b.ended.Wait() })
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	is.NoErr(a.Call(ctx, raw.Addr().String(), func(ctx context.Context, c wire.DRPCPeerClient) error {
		_, err := c.Status(ctx, &wire.StatusRequest{})
		return err
	}))
}
