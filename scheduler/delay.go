package scheduler

import (
	"fmt"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/model"
)

const (
	// delayLogged is the wait of an event from which on it is logged: callers need a decision within a quarter of their
	// latency objective, which is 800 ms at the users with the longest ones.
	delayLogged = 200 * time.Millisecond
	// delayLogInterval is the shortest time between two such lines.
	delayLogInterval = time.Second
)

// delayLog logs events that waited for long, and what the core's goroutine did meanwhile.
type delayLog struct {
	log      zerolog.Logger
	last     model.Time // when a line was last written
	omitted  int        // events without a line since
	stepped  model.Time // end of the last step
	stepTook time.Duration
}

// recordStep records a step from its beginning to its end.
func (d *delayLog) recordStep(began, ended model.Time) { d.stepped, d.stepTook = ended, ended-began }

// recordWait logs an event that was queued at the given time and is handled now. unscheduled_ms is how long it waited
// after the last step had ended: the goroutine could have handled it then, but had no processor.
func (d *delayLog) recordWait(now, queuedAt model.Time, e core.Event, queue int) {
	waited := now - queuedAt
	if waited < delayLogged {
		return
	}
	if d.last > 0 && now < d.last+delayLogInterval {
		d.omitted++
		return
	}
	d.log.Warn().Str("event", eventName(e)).Dur("waited_ms", waited).Dur("unscheduled_ms", now-max(queuedAt, d.stepped)).
		Dur("step_ms", d.stepTook).Int("queue", queue).Int("omitted", d.omitted).Msg("event waited for the decisions")
	d.last, d.omitted = now, 0
}

// eventName returns the name of an event's type.
func eventName(e core.Event) string {
	name := fmt.Sprintf("%T", e)
	return name[strings.LastIndexByte(name, '.')+1:]
}
