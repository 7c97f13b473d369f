package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/tamarindstep/tamarindstep/back"
	"github.com/tamarindstep/tamarindstep/config"
	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/core/member"
	"github.com/tamarindstep/tamarindstep/scheduler"
	"github.com/tamarindstep/tamarindstep/telemetry"
)

// relayed is what became of an answer that was relayed.
type relayed struct {
	relay  error  // the error of relaying
	body   string // received by the caller
	err    error  // of reading the answer: not nil if it is incomplete
	close  bool   // the connection isn't kept
	framed bool   // a length or a last chunk says where the answer ends
}

// relayAnswer relays an answer of a backend server to a caller.
func relayAnswer(t *testing.T, method string, through config.HostOptions, answer string) relayed {
	t.Helper()
	return relayAnswerOf(t, newServer(t, answer, false), method, through)
}

// relayAnswerOf relays the answer of a backend server to a caller, and breaks it off if that fails after it has begun.
func relayAnswerOf(t *testing.T, from *server, method string, through config.HostOptions) relayed {
	t.Helper()
	response := from.ask(t, method)
	metrics := telemetry.NewMetrics()
	s := New(Settings{}, zerolog.Nop(), metrics)
	s.scheduler = scheduler.New(member.Member{}, zerolog.Nop(), metrics)
	s.back = back.New(nil)
	ours, theirs := net.Pipe()
	req := &fasthttp.Request{}
	req.Header.SetMethod(method)
	a := &attempt{
		service: s, conn: newCallerConn(pipeSocket{ours}, 4096, time.Minute), req: req, route: &config.CompiledRoute{Through: through},
		sentTo: from.address(), scheduled: s.scheduler.Submit(core.Arrive{}), keepAlive: true, ctx: context.Background(),
	}
	out := make(chan relayed, 1)
	go func() { out <- readAnswer(theirs, method) }()
	err := a.relay.run(a, response)
	_ = ours.Close()
	got := <-out
	got.relay = err
	return got
}

// readAnswer reads the answer to a request as a caller does.
func readAnswer(caller io.Reader, method string) relayed {
	got, err := http.ReadResponse(bufio.NewReader(caller), &http.Request{Method: method})
	if err != nil {
		return relayed{err: err}
	}
	body, err := io.ReadAll(got.Body)
	return relayed{body: string(body), err: err, close: got.Close, framed: got.ContentLength >= 0 || len(got.TransferEncoding) > 0}
}

// framings are the ways in which an answer marks its end, and how to write a body in each.
var framings = map[string]func(body string) string{
	"length": func(body string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body) },
	"chunks": func(body string) string {
		if body == "" {
			return "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
		}
		return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	},
	"close": func(body string) string { return "Connection: close\r\n\r\n" + body },
}

const (
	eventStreamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	eventLF         = "id: 1\ndata: word\n\n"
	eventCRLF       = "id: 1\r\ndata: word\r\n\r\n"
	eventCR         = "id: 1\rdata: word\r\r"
)

var (
	resumableStream   = config.HostOptions{Streaming: true, Resumable: true}
	unresumableStream = config.HostOptions{Streaming: true}
)

// TestStreamCutWithinEventIsBrokenOff guards against a stream that ends within an event being relayed as complete,
// however its end is marked and wherever it is cut.
func TestStreamCutWithinEventIsBrokenOff(t *testing.T) {
	for _, through := range []config.HostOptions{resumableStream, unresumableStream} {
		for name, write := range framings {
			for _, event := range []string{eventLF, eventCRLF, eventCR} {
				for cut := 1; cut < shortestWhole(event); cut++ {
					got := relayAnswer(t, "POST", through, eventStreamHead+write(event+event[:cut]))
					checkBrokenOff(t, fmt.Sprintf("%s, resumable %v, %q cut at %d", name, through.Resumable, event, cut), got)
					if through.Resumable && got.body != event {
						t.Errorf("%s, %q cut at %d: the caller received %q", name, event, cut, got.body)
					}
				}
			}
		}
	}
}

// shortestWhole returns the number of bytes from which on an event is whole: the last CR of CRLF lines ends it.
func shortestWhole(event string) int {
	if event == eventCRLF {
		return len(event) - 1
	}
	return len(event)
}

// checkBrokenOff checks that an answer was not relayed as a whole one.
func checkBrokenOff(t *testing.T, which string, got relayed) {
	t.Helper()
	if got.relay == nil || got.framed && got.err == nil {
		t.Errorf("%s: relayed as %q, %v", which, got.body, got.relay)
	}
}

// TestWholeStreamsAreRelayed checks that streams that end between two events are relayed unchanged, and that only those
// whose end is marked are framed.
func TestWholeStreamsAreRelayed(t *testing.T) {
	for _, through := range []config.HostOptions{resumableStream, unresumableStream} {
		for name, write := range framings {
			for _, body := range []string{eventLF + "id: 2\n\n", eventCRLF, eventCR, eventLF + ": a comment\n", ": a comment\n\n" + eventLF} {
				got := relayAnswer(t, "POST", through, eventStreamHead+write(body))
				if got.relay != nil || got.err != nil || got.body != body || got.framed != (name != "close") {
					t.Errorf("%s, resumable %v, %q: relayed as %q, framed %v, %v", name, through.Resumable, body, got.body, got.framed, got.relay)
				}
			}
		}
	}
}

// TestStreamWithoutEvents guards against an empty stream being relayed without a head, and against taking one that ended
// with its connection for whole.
func TestStreamWithoutEvents(t *testing.T) {
	for name, write := range framings {
		got := relayAnswer(t, "POST", resumableStream, eventStreamHead+write(""))
		if whole := got.relay == nil && got.err == nil && got.framed; whole != (name != "close") {
			t.Errorf("%s: framed %v, %v, %v", name, got.framed, got.err, got.relay)
		}
	}
}

// TestHeadOfStream guards against the answer to a HEAD request being relayed without a head.
func TestHeadOfStream(t *testing.T) {
	is := is.New(t)
	for _, marked := range []string{"Transfer-Encoding: chunked\r\n\r\n", "\r\n"} {
		got := relayAnswer(t, "HEAD", resumableStream, eventStreamHead+marked)
		is.NoErr(got.relay)
		is.NoErr(got.err)
		is.True(!got.close)
	}
}

// TestOtherAnswersOfStreamingRoutes checks that an answer of a streaming route that isn't an event stream is relayed as
// it is.
func TestOtherAnswersOfStreamingRoutes(t *testing.T) {
	for name, write := range framings {
		got := relayAnswer(t, "POST", unresumableStream, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"+write(`{"text":"word"}`))
		if got.relay != nil || got.err != nil || got.body != `{"text":"word"}` || got.framed != (name != "close") {
			t.Errorf("%s: relayed as %q, framed %v, %v, %v", name, got.body, got.framed, got.err, got.relay)
		}
	}
}

// TestUndelimitedAnswerIsNotCompleted guards against an answer that ended with its connection being relayed with a
// length: it may have been cut short.
func TestUndelimitedAnswerIsNotCompleted(t *testing.T) {
	for _, protocol := range []string{"HTTP/1.0", "HTTP/1.1"} {
		got := relayAnswer(t, "POST", config.HostOptions{}, protocol+" 200 OK\r\n\r\nan answer, or a part of one")
		if got.relay != nil || got.err != nil || got.framed || got.body != "an answer, or a part of one" {
			t.Errorf("%s: relayed as %q, framed %v, %v, %v", protocol, got.body, got.framed, got.err, got.relay)
		}
	}
}

// TestUnmarkedEndOfCrashedServerIsNotRelayed guards against an answer that ended with its connection being relayed as a
// whole one though its server has crashed, or doesn't respond: where it can't be asked for again, its caller gets none of
// it, or a broken-off one.
func TestUnmarkedEndOfCrashedServerIsNotRelayed(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n"
	for name, test := range map[string]struct {
		through config.HostOptions
		answer  string
		begun   bool // the answer is relayed as it arrives
	}{
		"short answer": {config.HostOptions{}, head + "half of an answer", false},
		"long answer":  {config.HostOptions{}, head + strings.Repeat("x", 2*maxBuffer), true},
		"stream":       {unresumableStream, eventStreamHead + "\r\n" + eventLF, true},
	} {
		for _, crashes := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, crashes: %v", name, crashes), func(t *testing.T) {
				is := is.New(t)
				from := newServer(t, test.answer, crashes)
				from.hangs = !crashes
				got := relayAnswerOf(t, from, "POST", test.through)
				is.True(got.relay != nil)
				is.True(!got.framed)
				is.Equal(got.close, test.begun) // whether a head has been written
			})
		}
	}
}
