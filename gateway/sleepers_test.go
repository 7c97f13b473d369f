package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/tamarindstep/tamarindstep/internal/clock"
	"github.com/tamarindstep/tamarindstep/telemetry"
)

// TestRequestsWhoseTimeWasSleptThroughEnd suspends a machine with two requests on it. By the steady clock
// both would have most of their time left: the one whose caller has given it up is ended, the other one
// has as much less as was slept.
func TestRequestsWhoseTimeWasSleptThroughEnd(t *testing.T) {
	is := is.New(t)
	awake, asleep := time.Duration(0), time.Duration(0)
	s := New(Settings{}, zerolog.Nop(), telemetry.NewMetrics())
	s.clock = clock.New(func() time.Duration { return awake }, func() (time.Duration, error) { return awake + asleep, nil })
	serve := func(long time.Duration) *attempt {
		a := &attempt{service: s, began: s.clock.Now()}
		a.deadline = a.began + long
		ctx, end := context.WithTimeout(t.Context(), a.left())
		a.ctx = ctx
		s.sleepers.add(a, end)
		return a
	}
	short, long := serve(2*time.Second), serve(time.Minute)
	awake += time.Second
	asleep += 10 * time.Second
	is.Equal(s.clock.Look(), 10*time.Second)
	s.sleepers.wake()
	is.True(short.ctx.Err() != nil)
	is.True(!short.callerLeft()) // it gets an answer, as its time is over
	is.NoErr(long.ctx.Err())
	is.Equal(long.left(), 49*time.Second)
	s.sleepers.remove(short)
	s.sleepers.remove(long)
	is.Equal(len(s.sleepers.end), 0)
}
