package gateway

import (
	"errors"

	"github.com/tamarindstep/tamarindstep/internal/stall"
	"github.com/tamarindstep/tamarindstep/telemetry"
)

// breachOf returns why a response that had begun was truncated. cause is the read or write error, nil if no backend
// server can continue the response.
func (a *attempt) breachOf(cause error) telemetry.Breach {
	var stalled *stall.Error
	switch {
	case errors.As(cause, &stalled):
		return telemetry.BreachStalled
	case errors.Is(cause, errCallerStopped) || a.callerLeft():
		return telemetry.BreachLeft
	case a.ctx.Err() != nil:
		return telemetry.BreachLate
	default:
		return telemetry.BreachBackend
	}
}

// countBreach counts a response that had begun and was truncated.
func (a *attempt) countBreach(why telemetry.Breach) {
	a.service.metrics.Front.Breaches.WithLabelValues(string(why)).Inc()
}
