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

// TestRequestsExpiredDuringSuspensionEnd suspends a VM with two requests on it. By the monotonic clock both would have
// most of their time left: the one whose deadline has passed must be cancelled, and the other's remaining time must be
// reduced by the suspension.
func TestRequestsExpiredDuringSuspensionEnd(t *testing.T) {
	is := is.New(t)
	awake, asleep := time.Duration(0), time.Duration(0)
	s := New(Settings{}, zerolog.Nop(), telemetry.NewMetrics())
	s.clock = clock.New(func() time.Duration { return awake }, func() (time.Duration, error) { return awake + asleep, nil })
	serve := func(long time.Duration) *attempt {
		a := &attempt{service: s, began: s.clock.Now()}
		a.deadline = a.began + long
		ctx, end := context.WithTimeout(t.Context(), a.left())
		a.ctx = ctx
		s.inFlight.add(a, end)
		return a
	}
	short, long := serve(2*time.Second), serve(time.Minute)
	awake += time.Second
	asleep += 10 * time.Second
	is.Equal(s.clock.Refresh(), 10*time.Second)
	s.inFlight.cancelExpired()
	is.True(short.ctx.Err() != nil)
	is.True(!short.callerLeft()) // it gets a response, as its deadline has passed
	is.NoErr(long.ctx.Err())
	is.Equal(long.left(), 49*time.Second)
	s.inFlight.remove(short)
	s.inFlight.remove(long)
	is.Equal(len(s.inFlight.cancel), 0)
}
