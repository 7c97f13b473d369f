package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/tamarindstep/tamarindstep/back"
	"github.com/tamarindstep/tamarindstep/config"
	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/core/member"
	"github.com/tamarindstep/tamarindstep/internal/exchange"
	"github.com/tamarindstep/tamarindstep/scheduler"
	"github.com/tamarindstep/tamarindstep/telemetry"
)

// server answers requests on a loopback port, each connection with the same bytes.
type server struct {
	listener net.Listener
	answer   string
	crashes  bool // it closes its listener before it ends the first answer
	hangs    bool // it doesn't respond after the first answer
}

func newServer(t *testing.T, answer string, crashes bool) *server {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := &server{listener: listener, answer: answer, crashes: crashes}
	t.Cleanup(func() { _ = listener.Close() })
	go s.serve()
	return s
}

func (s *server) address() string { return s.listener.Addr().String() }

func (s *server) serve() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, s.answer)
		if s.crashes {
			_ = s.listener.Close()
		}
		_ = c.Close()
		if s.hangs {
			return
		}
	}
}

// ask sends a request to a server and returns the response.
func (s *server) ask(t *testing.T, method string) *exchange.Response {
	t.Helper()
	is := is.New(t)
	client := exchange.NewClient(s.address(), time.Second)
	t.Cleanup(client.Close)
	req := &fasthttp.Request{}
	req.Header.SetHost("h")
	req.Header.SetMethod(method)
	response, err := client.Do(t.Context(), req, exchange.Options{Timeout: time.Minute, AllowUndelimited: true})
	is.NoErr(err)
	t.Cleanup(response.Close)
	return response
}

// joinAnswers relays a stream of a server, which is cut, and the answer of another server that goes on with it. The route
// allows no third server.
func joinAnswers(t *testing.T, first, second *server) relayed {
	t.Helper()
	is := is.New(t)
	metrics := telemetry.NewMetrics()
	s := New(Settings{}, zerolog.Nop(), metrics)
	s.scheduler = scheduler.New(member.Member{}, zerolog.Nop(), metrics)
	s.back = back.New(nil)
	ours, theirs := net.Pipe()
	route := &config.CompiledRoute{Through: config.HostOptions{Streaming: true, Resumable: true, Attempts: 2}, Repeatable: true}
	a := &attempt{
		service: s, conn: newCallerConn(pipeSocket{ours}, 4096, time.Minute), req: &fasthttp.Request{}, route: route,
		deadline: s.clock.Now() + time.Minute, scheduled: s.scheduler.Submit(core.Arrive{}), keepAlive: true, ctx: context.Background(),
	}
	out := make(chan relayed, 1)
	go func() { out <- readAnswer(theirs, "POST") }()
	a.sentTo, a.sends = first.address(), 1
	is.True(a.relay.run(a, first.ask(t, "POST")) != nil) // it is cut
	is.True(a.mayResend())
	a.sentTo, a.sends = second.address(), 2
	err := a.relay.run(a, second.ask(t, "POST"))
	if err != nil {
		a.conn.Abort()
	}
	_ = ours.Close()
	got := <-out
	got.relay = err
	return got
}

const (
	chunkedStreamHead = eventStreamHead + "Tamarindstep-Request-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n"
	event2LF          = "id: 2\ndata: word\n\n"
)

// cutStream is a stream in chunks that ends after its first event, without its last chunk.
const cutStream = chunkedStreamHead + "12\r\n" + eventLF + "\r\n"

// TestStreamJoinedFromChunksAndClosedConnectionIsNotCompleted guards against a stream that began in chunks getting its
// last chunk when the server that goes on with it crashes, where that server marks the end only by closing its connection.
func TestStreamJoinedFromChunksAndClosedConnectionIsNotCompleted(t *testing.T) {
	is := is.New(t)
	got := joinAnswers(t, newServer(t, cutStream, false), newServer(t, eventStreamHead+"Connection: close\r\n\r\n"+event2LF, true))
	is.True(got.relay != nil)
	is.Equal(got.body, eventLF+event2LF)
	is.True(got.err != nil) // no last chunk
}

// TestWholeJoinedStreamIsCompleted checks that a stream in chunks gets its last chunk where the server that goes on with it
// lives on, in whatever way that marks its end.
func TestWholeJoinedStreamIsCompleted(t *testing.T) {
	for name, write := range framings {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := joinAnswers(t, newServer(t, cutStream, false), newServer(t, eventStreamHead+write(event2LF), false))
			is.NoErr(got.relay)
			is.NoErr(got.err)
			is.Equal(got.body, eventLF+event2LF)
			is.True(got.framed)
		})
	}
}
