package standin

import (
	"encoding/json"
	"maps"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Service stands in for a plain service. It echoes each call and counts how
// often it ran each.
type Service struct {
	faulty

	name string
	work time.Duration
	mu   sync.Mutex
	runs map[string]int
}

// NewService returns a service whose calls take work.
func NewService(name string, work time.Duration) *Service {
	return &Service{name: name, work: work, runs: map[string]int{}}
}

// Runs returns how often each request was run.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// SetFaults sets the failures that the service shows.
func (s *Service) SetFaults(f Faults) {
	s.faulty.mu.Lock()
	defer s.faulty.mu.Unlock()
	s.faulty.faults = f
}

// Handle answers one call.
func (s *Service) Handle(ctx *fasthttp.RequestCtx) {
	if s.handleFaults(ctx) {
		return
	}
	faults := s.get()
	if faults.Out || faults.Reset == "accept" {
		dropConnection(ctx)
		return
	}
	switch string(ctx.Path()) {
	case "/standin/runs":
		writeJSON(ctx, s.Runs())
		return
	case "/health":
		if faults.Leaving {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
		return
	}
	id := string(ctx.Request.Header.Peek("X-Request-Id"))
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	if faults.Reset == "read" {
		dropConnection(ctx)
		return
	}
	time.Sleep(s.work)
	slow(faults)
	body := json.RawMessage(ctx.PostBody())
	if !json.Valid(body) {
		body = nil
	}
	writeJSON(ctx, map[string]any{
		"served_by": s.name, "method": string(ctx.Method()), "path": string(ctx.Path()),
		"request_id": id, "body": body,
	})
}
