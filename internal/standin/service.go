package standin

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"
)

// Service stands in for a plain service. It echoes each request and counts the runs of each.
type Service struct {
	backend

	name     string
	duration time.Duration
}

// NewService returns a service that takes duration for each request.
func NewService(name string, duration time.Duration) *Service {
	return &Service{name: name, duration: duration}
}

// Handle handles a request.
func (s *Service) Handle(ctx *fasthttp.RequestCtx) {
	faults := s.currentFaults()
	if s.handleCommon(ctx, faults) {
		return
	}
	id := s.recordRun(ctx)
	if faults.Reset == "read" {
		dropConnection(ctx)
		return
	}
	time.Sleep(s.duration)
	applyDelay(faults)
	body := json.RawMessage(ctx.PostBody())
	if !json.Valid(body) {
		body = nil
	}
	writeJSON(ctx, map[string]any{
		"served_by": s.name, "method": string(ctx.Method()), "path": string(ctx.Path()),
		"request_id": id, "body": body,
	})
}
