package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
	"go.opentelemetry.io/otel/trace"

	"github.com/tamarindstep/tamarindstep/telemetry"
	"github.com/tamarindstep/tamarindstep/wire"
)

// traceHandler responds to status calls with the trace ID that they carry.
type traceHandler struct {
	wire.DRPCPeerUnimplementedServer
}

// Status implements wire.DRPCPeerServer.
func (*traceHandler) Status(ctx context.Context, _ *wire.StatusRequest) (*wire.StatusResponse, error) {
	carried := trace.SpanContextFromContext(telemetry.FromPeer(ctx))
	return &wire.StatusResponse{Name: carried.TraceID().String()}, nil
}

func startPeer(t *testing.T, is *is.I, name, key string) *Service {
	t.Helper()
	return startAt(t, is, Settings{Name: name, Boot: 1, Listen: freeAddress(is), Key: []byte(key)})
}

// freeAddress returns a loopback address with a free port.
func freeAddress(is *is.I) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { is.NoErr(l.Close()) }()
	return l.Addr().String()
}

func startAt(t *testing.T, is *is.I, settings Settings) *Service {
	t.Helper()
	s := New(settings, telemetry.NewMetrics().Peer)
	is.NoErr(s.Start(context.Background(), nil))
	t.Cleanup(func() { is.NoErr(s.Stop(context.Background())) })
	return s
}

// TestFailedStartReleasesThePort guards against a router that can't start again on its port after a start that failed
// because the port for datagrams was in use.
func TestFailedStartReleasesThePort(t *testing.T) {
	is := is.New(t)
	address := freeAddress(is)
	taken, err := net.ListenPacket("udp", address)
	is.NoErr(err)
	settings := Settings{Name: "a", Boot: 1, Listen: address, Key: []byte("one key for both")}
	is.True(New(settings, telemetry.NewMetrics().Peer).Start(context.Background(), nil) != nil)
	is.NoErr(taken.Close())
	startAt(t, is, settings)
}

func TestCallsCarryTheTrace(t *testing.T) {
	is := is.New(t)
	a, b := startPeer(t, is, "a", "one key for both"), startPeer(t, is, "b", "one key for both")
	b.HandleCalls(&traceHandler{})
	id := trace.TraceID{1, 2, 3}
	ctx := trace.ContextWithSpanContext(context.Background(), trace.NewSpanContext(trace.SpanContextConfig{
		TraceID: id, SpanID: trace.SpanID{4}, TraceFlags: trace.FlagsSampled,
	}))
	err := a.Call(ctx, b.settings.Listen, func(ctx context.Context, c wire.DRPCPeerClient) error {
		out, err := c.Status(ctx, &wire.StatusRequest{})
		is.NoErr(err)
		is.Equal(out.Name, id.String())
		return nil
	})
	is.NoErr(err)
}

func TestCallsNeedTheKey(t *testing.T) {
	is := is.New(t)
	a, b := startPeer(t, is, "a", "one key"), startPeer(t, is, "b", "another key")
	b.HandleCalls(&traceHandler{})
	err := a.Call(context.Background(), b.settings.Listen, func(context.Context, wire.DRPCPeerClient) error {
		is.Fail() // must not be called
		return nil
	})
	is.True(errorx.IsOfType(err, Unreachable))
}

// TestCallsEndWithTheirContext guards against a call to a stopped router that outlasts its context.
func TestCallsEndWithTheirContext(t *testing.T) {
	is := is.New(t)
	a := startPeer(t, is, "a", "one key for both")
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { is.NoErr(silent.Close()) }()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	began := time.Now()
	err = a.Call(ctx, silent.Addr().String(), func(context.Context, wire.DRPCPeerClient) error { return nil })
	is.True(err != nil)
	is.True(time.Since(began) < time.Second)
}

// TestBrokenAnswerOfPeerIsNoAnswer guards against bytes of another router that are no answer being taken for an empty one.
func TestBrokenAnswerOfPeerIsNoAnswer(t *testing.T) {
	const key = "one key for both"
	for name, text := range map[string]string{
		"nothing": "", "a byte": "\x00", "another protocol": "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"bytes of ones": "\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff", "zero bytes": "\x00\x00\x00\x00\x00\x00\x00\x00",
		"a frame that ends early": "\x05\x01\x01\x20name",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := startPeer(t, is, "a", key)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { is.NoErr(listener.Close()) }()
			go func() {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				if handshake(c, []byte(key), roleAcceptor, roleDialer) == nil {
					_, _ = c.Write([]byte(text))
				}
			}()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			err = a.Call(ctx, listener.Addr().String(), func(ctx context.Context, c wire.DRPCPeerClient) error {
				_, err := c.Status(ctx, &wire.StatusRequest{})
				return err
			})
			is.True(err != nil)
			is.NoErr(ctx.Err())
		})
	}
}
