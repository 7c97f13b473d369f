// Package standin holds small stand-ins for what surrounds the routers: the
// platform's key-value service and VM list, model engines and plain services.
// They are for tests and the demo.
//
// Each stand-in takes its failures over HTTP, at POST /standin/faults, so that
// a test can break it while it runs.
package standin

import (
	"encoding/json"
	"maps"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Faults are the failures a stand-in shows until told otherwise.
type Faults struct {
	// Out makes every call fail without effect, as a service that is down.
	Out bool `json:"out"`
	// SlowMS delays each answer, in milliseconds, after its effect.
	SlowMS int `json:"slow_ms"`
	// LoseAnswers loses the answers to that many writes, after their effect.
	LoseAnswers int `json:"lose_answers"`
	// BreakAfter breaks an answer off after that many tokens; 0 for never.
	BreakAfter int `json:"break_after"`
	// Reset closes the connection: "accept" before the request is read, "read"
	// after it was read and counted, "" for never.
	Reset string `json:"reset"`
	// Leaving makes a backend server report that it is leaving.
	Leaving bool `json:"leaving"`
	// Rest makes a backend server turn requests away and ask for so many seconds of rest, "" for not.
	Rest string `json:"rest"`
}

// faulty is the part that all stand-ins share.
type faulty struct {
	mu     sync.Mutex
	faults Faults
}

func (f *faulty) get() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

// loseAnswer uses up one lost answer, where one is due.
func (f *faulty) loseAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.LoseAnswers == 0 {
		return false
	}
	f.faults.LoseAnswers--
	return true
}

// handleFaults answers POST /standin/faults, and tells whether it was that.
func (f *faulty) handleFaults(ctx *fasthttp.RequestCtx) bool {
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

// dropConnection closes the caller's connection with no answer.
func dropConnection(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _ = c.Close() })
}

// SetFaults sets the failures that the stand-in shows.
func (f *faulty) SetFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// backend is the part that the stand-ins of backend servers share.
type backend struct {
	faulty
	runsMu sync.Mutex
	runs   map[string]int
	turned int
}

// Turned returns how many requests were turned away.
func (b *backend) Turned() int {
	b.runsMu.Lock()
	defer b.runsMu.Unlock()
	return b.turned
}

// Runs returns how often each request was run, by its X-Request-Id.
func (b *backend) Runs() map[string]int {
	b.runsMu.Lock()
	defer b.runsMu.Unlock()
	return maps.Clone(b.runs)
}

// ran counts a run of a request and returns its identifier.
func (b *backend) ran(ctx *fasthttp.RequestCtx) string {
	id := string(ctx.Request.Header.Peek("X-Request-Id"))
	b.runsMu.Lock()
	defer b.runsMu.Unlock()
	if b.runs == nil {
		b.runs = map[string]int{}
	}
	b.runs[id]++
	return id
}

// handleCommon answers the calls that all backend servers have, shows the faults
// that come before a request is read, and tells whether that was all.
func (b *backend) handleCommon(ctx *fasthttp.RequestCtx, faults Faults) bool {
	if b.handleFaults(ctx) {
		return true
	}
	if faults.Out || faults.Reset == "accept" {
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
		return faults.Rest != "" && b.turnAway(ctx, faults.Rest)
	}
	return true
}

// turnAway refuses a request that isn't run, and asks for rest.
func (b *backend) turnAway(ctx *fasthttp.RequestCtx, rest string) bool {
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, rest)
	b.runsMu.Lock()
	defer b.runsMu.Unlock()
	b.turned++
	return true
}

func slow(f Faults) {
	time.Sleep(time.Duration(f.SlowMS) * time.Millisecond)
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

// Server is a stand-in that listens.
type Server struct {
	server   *fasthttp.Server
	listener net.Listener
	done     chan struct{}
}

// Serve starts a handler on an address and returns once it listens.
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
