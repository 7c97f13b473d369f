package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/tamarindstep/tamarindstep/internal/usage"
	"github.com/tamarindstep/tamarindstep/telemetry"
)

const (
	// workInterval is the interval at which work and processor time are reported.
	workInterval = time.Second
	// workLogThreshold is the fraction of its processor share from which on a router logs its work.
	workLogThreshold = 0.5
)

// work counts the operations performed for callers, by kind.
type work struct {
	kinds [numWorkKinds]atomic.Int64
}

// workKind is a kind of operation performed for callers.
type workKind int

// The kinds of work.
const (
	workAccepted    workKind = iota // connections accepted and served by a goroutine
	workSent                        // requests written to a backend server
	workParts                       // parts of streams relayed
	workRefusedNew                  // requests refused by their header, the first of their connection
	workRefusedKept                 // requests refused by their header, not the first of their connection
	workUnread                      // connections rejected unread
	workScreened                    // requests refused by the screener
	numWorkKinds
)

// workNames are the names of the kinds in metrics and log lines.
var workNames = [numWorkKinds]string{
	workAccepted: "accepted", workSent: "sent", workParts: "parts", workRefusedNew: "refused_new",
	workRefusedKept: "refused_kept", workUnread: "refused_unread", workScreened: "refused_at_door",
}

// add counts one operation.
func (w *work) add(kind workKind) { w.kinds[kind].Add(1) }

// take returns the counts since the last call.
func (w *work) take() (out [numWorkKinds]int64) {
	for kind := range w.kinds {
		out[kind] = w.kinds[kind].Swap(0)
	}
	return out
}

// report adds the counts of each interval to the metrics until ctx is done. While the router uses much of its processor
// share, it also logs the counts with the processor time used, so that the cost per kind can be estimated: over several
// intervals the time is the sum of the costs of all operations.
func (w *work) report(ctx context.Context, processor float64, log zerolog.Logger, metrics *telemetry.Front) {
	var counters [numWorkKinds]prometheus.Counter
	for kind, name := range workNames {
		counters[kind] = metrics.Work.WithLabelValues(name)
	}
	ticker := time.NewTicker(workInterval)
	defer ticker.Stop()
	last, err := usage.ProcessorTime()
	if err != nil {
		log.Warn().Err(err).Msg("reading the processor time used failed")
	}
	at := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		done := w.take()
		for kind, n := range done {
			counters[kind].Add(float64(n))
		}
		used, err := usage.ProcessorTime()
		if err != nil {
			continue
		}
		now := time.Now()
		had := time.Duration(processor * float64(now.Sub(at)))
		if had > 0 && float64(used-last) >= workLogThreshold*float64(had) {
			logWork(log.Info(), done).Dur("used_ms", used-last).Dur("had_ms", had).Msg("processor time and what it was used for")
		}
		last, at = used, now
	}
}

// logWork adds the counts by kind to a log line.
func logWork(line *zerolog.Event, done [numWorkKinds]int64) *zerolog.Event {
	for kind, n := range done {
		line.Int64(workNames[kind], n)
	}
	return line
}
