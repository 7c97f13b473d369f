package front

import (
	"github.com/valyala/fasthttp"

	"github.com/tamarindstep/tamarindstep/core/notice"
	"github.com/tamarindstep/tamarindstep/internal/exchange"
	"github.com/tamarindstep/tamarindstep/internal/retryafter"
	"github.com/tamarindstep/tamarindstep/scheduler"
)

// recordRetryAfter records for how long an overloaded backend server must get no new requests. A backend server that is
// leaving reports this through its health checks.
func (a *attempt) recordRetryAfter(d scheduler.Decision, response *exchange.Response) {
	after := response.Header.Peek(fasthttp.HeaderRetryAfter)
	if response.StatusCode() != fasthttp.StatusServiceUnavailable || len(after) == 0 {
		return
	}
	s := a.service
	log := s.log.Info().Str("request", a.call.id).Str("backend", s.generation.InForce().Core.Backends[d.Backend].Name)
	rest, err := retryafter.Parse(string(after))
	if err != nil {
		s.notices.Unreadable()
		log.Err(err).Msg("what a backend server says of itself can't be read")
		return
	}
	if s.notices.Record(d.Backend, notice.Notice{Rest: rest}) {
		log.Dur("rest_ms", rest).Msg("backend server wants nothing new")
	}
}
