package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/tamarindstep/tamarindstep/config"
	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/core/member"
	"github.com/tamarindstep/tamarindstep/internal/exchange"
	"github.com/tamarindstep/tamarindstep/scheduler"
	"github.com/tamarindstep/tamarindstep/telemetry"
)

// TestSlowCallersDoNotHoldServers guards against a whole answer's server that counts as busy, and as slow, for as long
// as the caller takes to read it.
func TestSlowCallersDoNotHoldServers(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "an answer") }))
	defer server.Close()
	client := exchange.NewClient(server.Listener.Addr().String(), time.Second)
	defer client.Close()
	req := &fasthttp.Request{}
	req.Header.SetHost("h")
	answer, err := client.Do(t.Context(), req, exchange.Options{Patient: time.Minute})
	is.NoErr(err)
	defer answer.Close()
	metrics := telemetry.NewMetrics()
	s := New(Settings{}, zerolog.Nop(), metrics)
	s.scheduler = scheduler.New(member.Member{}, zerolog.Nop(), metrics)
	ours, theirs := net.Pipe()
	a := &attempt{
		service: s, conn: newCallerConn(ours, 4096, time.Minute), req: &fasthttp.Request{}, route: &config.CompiledRoute{},
		held: s.scheduler.Submit(core.Arrive{}), keep: true, ctx: context.Background(),
	}
	ended := make(chan error, 1)
	go func() { ended <- a.relay.run(a, answer) }()
	_, err = theirs.Read(make([]byte, 1)) // the rest isn't taken yet
	is.NoErr(err)
	is.True(a.held == nil) // the server is free
	is.NoErr(theirs.Close())
	is.True(<-ended != nil)
	a.finish(core.Failed, 0) // the server hasn't failed: nothing more is told
}

// TestCallersDoNotFailServers guards against a backend server that counts as failing since callers took no more of its answers.
func TestCallersDoNotFailServers(t *testing.T) {
	is := is.New(t)
	a := &attempt{ctx: t.Context()}
	is.Equal(a.endingOf(callerError(io.ErrClosedPipe)), core.Broken)
	is.Equal(a.endingOf(io.ErrUnexpectedEOF), core.Failed)
	is.Equal(a.endingOf(errNameless), core.Failed)
}
