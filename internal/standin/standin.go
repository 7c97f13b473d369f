// Package standin provides stand-ins for the systems around the routers: the platform's key-value service and VM
// list, model engines and plain services. They are for tests and the demo.
//
// Each stand-in accepts injected faults over HTTP, at POST /standin/faults, so that a test can make it fail while it
// runs.
package standin

import (
	"encoding/json"
	"maps"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Faults are the faults injected into a stand-in until they are replaced.
type Faults struct {
	// Unavailable makes every call fail without effect, like a service that is down.
	Unavailable bool `json:"out"`
	// DelayMS delays each answer, in milliseconds, after the call has taken effect.
	DelayMS int `json:"slow_ms"`
	// LoseAnswers drops the answers to that many writes, after they have taken effect.
	LoseAnswers int `json:"lose_answers"`
	// AbortAfter aborts an answer after that many tokens; 0 for never.
	AbortAfter int `json:"break_after"`
	// Reset closes the connection: "accept" before the request is read, "read" after it was read and counted, "" for
	// never.
	Reset string `json:"reset"`
	// Leaving makes a backend server report that it is shutting down.
	Leaving bool `json:"leaving"`
	// RetryAfter makes a backend server reject requests with this Retry-After value, in seconds; "" for not.
	RetryAfter string `json:"rest"`
}

// faultInjector holds the injected faults; it is embedded in all stand-ins.
type faultInjector struct {
	mu     sync.Mutex
	faults Faults
}

func (f *faultInjector) currentFaults() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

// consumeLostAnswer reports whether an answer is to be dropped, and decrements the number of those left.
func (f *faultInjector) consumeLostAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.LoseAnswers == 0 {
		return false
	}
	f.faults.LoseAnswers--
	return true
}

// handleFaults handles POST /standin/faults, and reports whether the request was that.
func (f *faultInjector) handleFaults(ctx *fasthttp.RequestCtx) bool {
	if string(ctx.Path()) != "/standin/faults" {
		return false
	}
	var faults Faults
	if err := json.Unmarshal(ctx.PostBody(), &faults); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return true
	}
	f.SetFaults(faults)
	return true
}

// dropConnection closes the caller's connection without an answer.
func dropConnection(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _ = c.Close() })
}

// SetFaults replaces the injected faults.
func (f *faultInjector) SetFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// backend is embedded in the stand-ins of backend servers.
type backend struct {
	faultInjector
	runsMu   sync.Mutex
	runs     map[string]int
	rejected int
}

// Rejected returns the number of rejected requests.
func (b *backend) Rejected() int {
	b.runsMu.Lock()
	defer b.runsMu.Unlock()
	return b.rejected
}

// Runs returns the number of runs of each request, by its X-Request-Id.
func (b *backend) Runs() map[string]int {
	b.runsMu.Lock()
	defer b.runsMu.Unlock()
	return maps.Clone(b.runs)
}

// recordRun counts a run of a request and returns its identifier.
func (b *backend) recordRun(ctx *fasthttp.RequestCtx) string {
	id := string(ctx.Request.Header.Peek("X-Request-Id"))
	b.runsMu.Lock()
	defer b.runsMu.Unlock()
	if b.runs == nil {
		b.runs = map[string]int{}
	}
	b.runs[id]++
	return id
}

// handleCommon handles the requests that all backend servers support and the faults that occur before a request is
// read. It reports whether the request is finished.
func (b *backend) handleCommon(ctx *fasthttp.RequestCtx, faults Faults) bool {
	if b.handleFaults(ctx) {
		return true
	}
	if faults.Unavailable || faults.Reset == "accept" {
		dropConnection(ctx)
		return true
	}
	switch string(ctx.Path()) {
	case "/standin/runs":
		writeJSON(ctx, b.Runs())
	case "/health":
		if faults.Leaving {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	case "/metrics":
		return false
	default:
		return faults.RetryAfter != "" && b.reject(ctx, faults.RetryAfter)
	}
	return true
}

// reject refuses a request without running it and sets Retry-After.
func (b *backend) reject(ctx *fasthttp.RequestCtx, retryAfter string) bool {
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, retryAfter)
	b.runsMu.Lock()
	defer b.runsMu.Unlock()
	b.rejected++
	return true
}

func applyDelay(f Faults) {
	time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// Server is a running stand-in.
type Server struct {
	server   *fasthttp.Server
	listener net.Listener
	done     chan struct{}
}

// Serve listens on an address and serves requests in the background.
func Serve(address string, handler fasthttp.RequestHandler) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{
		server:   &fasthttp.Server{Handler: handler, Name: "standin", NoDefaultServerHeader: true},
		listener: listener,
		done:     make(chan struct{}),
	}
	go func() {
		defer close(s.done)
		_ = s.server.Serve(listener)
	}()
	return s, nil
}

// Address returns the IP and port that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops listening.
func (s *Server) Close() {
	_ = s.listener.Close()
	<-s.done
}
