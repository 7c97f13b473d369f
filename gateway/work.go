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
	// workEvery is how often it is looked what the processor was used for.
	workEvery = time.Second
	// workNotedFrom is the part of its processor from which on a router writes a line of what it was used for.
	workNotedFrom = 0.5
)

// work counts what callers' requests cost processor time for, by kind.
type work struct {
	kinds [kindsOfWork]atomic.Int64
}

// kindOfWork is one kind of what is done for callers.
type kindOfWork int

// The kinds of work.
const (
	workAccepted    kindOfWork = iota // connections taken in the ordinary way
	workSent                          // requests written to a backend server
	workParts                         // parts of streams passed on
	workRefusedNew                    // requests refused by their header, the first of their connection
	workRefusedKept                   // the same, a later one
	workUnread                        // connections refused unread
	workAtDoor                        // requests refused before their connection was taken
	kindsOfWork
)

// namesOfWork are the kinds' names in metrics and lines.
var namesOfWork = [kindsOfWork]string{
	workAccepted: "accepted", workSent: "sent", workParts: "parts", workRefusedNew: "refused_new",
	workRefusedKept: "refused_kept", workUnread: "refused_unread", workAtDoor: "refused_at_door",
}

// did counts one.
func (w *work) did(kind kindOfWork) { w.kinds[kind].Add(1) }

// take returns the counts since the last call.
func (w *work) take() (out [kindsOfWork]int64) {
	for kind := range w.kinds {
		out[kind] = w.kinds[kind].Swap(0)
	}
	return out
}

// follow counts the work of each second in the metrics until the context ends. While the router uses much of its
// processor, it also writes a line, so that the time can be told apart by kind: over some seconds the times are
// sums of the kinds' prices.
func (w *work) follow(ctx context.Context, processor float64, log zerolog.Logger, metrics *telemetry.Front) {
	var counters [kindsOfWork]prometheus.Counter
	for kind, name := range namesOfWork {
		counters[kind] = metrics.Work.WithLabelValues(name)
	}
	ticker := time.NewTicker(workEvery)
	defer ticker.Stop()
	last, err := usage.Processor()
	if err != nil {
		log.Warn().Err(err).Msg("the processor time used can't be read")
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
		used, err := usage.Processor()
		if err != nil {
			continue
		}
		now := time.Now()
		had := time.Duration(processor * float64(now.Sub(at)))
		if had > 0 && float64(used-last) >= workNotedFrom*float64(had) {
			logWork(log.Info(), done).Dur("used_ms", used-last).Dur("had_ms", had).Msg("processor time and what it was used for")
		}
		last, at = used, now
	}
}

// logWork adds counts by kind to a line.
func logWork(line *zerolog.Event, done [kindsOfWork]int64) *zerolog.Event {
	for kind, n := range done {
		line.Int64(namesOfWork[kind], n)
	}
	return line
}
