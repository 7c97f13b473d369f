package scheduler

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/tamarindstep/tamarindstep/core"
)

// TestDelayedEventsAreLogged guards against delays that can't be traced: the line tells a long step from a process that
// had no processor, and there is at most one a second.
func TestDelayedEventsAreLogged(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	d := &delayLog{log: zerolog.New(&out)}
	d.recordWait(time.Second, 900*time.Millisecond, core.Tick{}, 3)
	is.Equal(out.Len(), 0)
	d.recordStep(1000*time.Millisecond, 1250*time.Millisecond)
	d.recordWait(1300*time.Millisecond, 1010*time.Millisecond, core.Arrive{}, 7)
	d.recordWait(1400*time.Millisecond, 1010*time.Millisecond, core.Arrive{}, 7)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 1)
	is.True(strings.Contains(lines[0], `"event":"Arrive","waited_ms":290,"unscheduled_ms":50,"step_ms":250,"queue":7`))
	d.recordWait(2500*time.Millisecond, 1010*time.Millisecond, core.Tick{}, 0)
	is.True(strings.Contains(out.String(), `"omitted":1`))
}
