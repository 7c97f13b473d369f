package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/tamarindstep/tamarindstep/core/member"
	"github.com/tamarindstep/tamarindstep/internal/clock"
	"github.com/tamarindstep/tamarindstep/telemetry"
)

// TestSuspensionAdvancesCoreTime suspends the VM: the core's time is advanced by the duration, and observers
// are notified once.
func TestSuspensionAdvancesCoreTime(t *testing.T) {
	is := is.New(t)
	awake, asleep := time.Duration(0), time.Duration(0)
	s := New(member.Member{}, zerolog.Nop(), telemetry.NewMetrics())
	s.clock = clock.New(func() time.Duration { return awake }, func() (time.Duration, error) { return awake + asleep, nil })
	s.epoch = s.clock.Now()
	var slept []time.Duration
	s.Observe(Observer{Suspended: func(duration time.Duration) { slept = append(slept, duration) }})
	awake += time.Second
	s.checkSuspension()
	is.Equal(s.now(), time.Second)
	asleep += 7 * time.Second
	awake += time.Second
	s.checkSuspension()
	s.checkSuspension()
	is.Equal(s.now(), 9*time.Second)
	is.Equal(slept, []time.Duration{7 * time.Second})
}
