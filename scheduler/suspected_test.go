package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/core/member"
	"github.com/tamarindstep/tamarindstep/telemetry"
)

// TestTryGrantCountsAsWaiting guards against a store that is slow to grant a try: if that time isn't part of the
// request's wait, the router considers itself overloaded and refuses requests that aren't suspected.
func TestTryGrantCountsAsWaiting(t *testing.T) {
	is := is.New(t)
	s := New(member.Member{Name: "router-1", Boot: 1}, zerolog.Nop(), telemetry.NewMetrics())
	const grantDelay = 20 * time.Millisecond
	for _, d := range []Decision{{Dispatched: true}, {Refusal: core.HeldBack}} {
		r := s.Submit(core.Arrive{})
		s.requestTry(core.RequestTry{ID: r.id})
		time.Sleep(grantDelay)
		s.deliver(r.id, d)
		is.True((<-r.Decisions).Waited >= grantDelay)
	}
	abandoned := s.Submit(core.Arrive{})
	s.requestTry(core.RequestTry{ID: abandoned.id})
	abandoned.Withdraw()
	is.Equal(len(s.tryRequested), 0)
}
