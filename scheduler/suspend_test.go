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

// TestSleepAgesWhatTheCoreBelieves suspends the machine: the core's time goes on by as long, and the
// other services are told once.
func TestSleepAgesWhatTheCoreBelieves(t *testing.T) {
	is := is.New(t)
	awake, asleep := time.Duration(0), time.Duration(0)
	s := New(member.Member{}, zerolog.Nop(), telemetry.NewMetrics())
	s.clock = clock.New(func() time.Duration { return awake }, func() (time.Duration, error) { return awake + asleep, nil })
	s.began = s.clock.Now()
	var told []time.Duration
	s.Observe(Observer{Slept: func(long time.Duration) { told = append(told, long) }})
	awake += time.Second
	s.noteSleep()
	is.Equal(s.now(), time.Second)
	asleep += 7 * time.Second
	awake += time.Second
	s.noteSleep()
	s.noteSleep()
	is.Equal(s.now(), 9*time.Second)
	is.Equal(told, []time.Duration{7 * time.Second})
}
