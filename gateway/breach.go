package gateway

import (
	"errors"

	"github.com/tamarindstep/tamarindstep/internal/stall"
	"github.com/tamarindstep/tamarindstep/telemetry"
)

// breachOf returns why an answer that had begun isn't whole: cause is what its writing or reading failed
// with, nil where nothing can continue it any more.
func (a *attempt) breachOf(cause error) telemetry.Breach {
	var stalled *stall.Error
	switch {
	case errors.As(cause, &stalled):
		return telemetry.BreachStalled
	case errors.Is(cause, errCaller) || a.callerLeft():
		return telemetry.BreachLeft
	case a.ctx.Err() != nil:
		return telemetry.BreachLate
	default:
		return telemetry.BreachBackend
	}
}

// countBreach counts an answer that had begun and isn't whole.
func (a *attempt) countBreach(why telemetry.Breach) {
	a.service.metrics.Front.Breaches.WithLabelValues(string(why)).Inc()
}
