package gateway

import (
	"errors"

	"github.com/tamarindstep/tamarindstep/internal/exchange"
	"github.com/tamarindstep/tamarindstep/internal/stall"
	"github.com/tamarindstep/tamarindstep/telemetry"
)

// breakCauseOf returns why a response that had begun was truncated. cause is the read or write error, nil if no backend
// server can continue the response.
func (a *attempt) breakCauseOf(cause error) telemetry.BreakCause {
	var stalled *stall.Error
	switch {
	case errors.As(cause, &stalled):
		return telemetry.BreakCallerStalled
	case errors.Is(cause, errCallerStopped) || a.callerLeft():
		return telemetry.BreakCallerLeft
	case a.cut.Load():
		return telemetry.BreakStop
	case a.ctx.Err() != nil:
		return telemetry.BreakTimeout
	case isOverLimit(cause):
		return telemetry.BreakLimit
	default:
		return telemetry.BreakBackend
	}
}

// countBreach counts a response that had begun and was truncated.
func (a *attempt) countBreach(why telemetry.BreakCause) {
	a.service.metrics.Front.IncompleteAnswers.WithLabelValues(string(why)).Inc()
}

// isOverLimit reports whether a backend server sent more than is accepted, or bytes that are no response.
func isOverLimit(cause error) bool {
	var limit *exchange.LimitError
	return errors.As(cause, &limit) || errors.Is(cause, exchange.ErrNoResponse)
}
