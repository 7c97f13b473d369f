package standin

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"
)

// Service stands in for a plain service. It echoes each call and counts how
// often it ran each.
type Service struct {
	backend

	name string
	work time.Duration
}

// NewService returns a service whose calls take work.
func NewService(name string, work time.Duration) *Service {
	return &Service{name: name, work: work}
}

// Handle answers one call.
func (s *Service) Handle(ctx *fasthttp.RequestCtx) {
	faults := s.get()
	if s.handleCommon(ctx, faults) {
		return
	}
	id := s.ran(ctx)
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
