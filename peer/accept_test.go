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

// exhaustedListener is a listener whose first Accept fails for lack of a file descriptor.
type exhaustedListener struct {
	net.Listener
	failed atomic.Bool
}

// Accept implements net.Listener.
func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.failed.CompareAndSwap(false, true) {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// TestCallsAfterDescriptorExhaustion guards against a router that permanently stops serving calls after it had no file
// descriptor for a connection.
func TestCallsAfterDescriptorExhaustion(t *testing.T) {
	is := is.New(t)
	a := startPeer(t, is, "a", "one key for both")
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	b := New(Settings{Name: "b", Boot: 2, Key: []byte("one key for both")}, telemetry.NewMetrics().Peer)
	b.HandleCalls(&traceHandler{})
	b.callListener = &exhaustedListener{Listener: raw}
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
