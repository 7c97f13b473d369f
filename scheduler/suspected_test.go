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

// TestAnAskedTryIsNoLateDecision guards against a store that is slow to grant a try making the router take itself for busy, and
// refuse requests that aren't suspected.
func TestAnAskedTryIsNoLateDecision(t *testing.T) {
	is := is.New(t)
	s := New(member.Member{Name: "router-1", Boot: 1}, zerolog.Nop(), telemetry.NewMetrics())
	const storeTakes = 20 * time.Millisecond
	for _, d := range []Decision{{Dispatched: true}, {Refusal: core.HeldBack}} {
		r := s.Submit(core.Arrive{})
		s.askTry(core.AskTry{ID: r.id})
		time.Sleep(storeTakes)
		s.decide(r.id, d)
		is.True((<-r.Decisions).Waited >= storeTakes)
	}
	left := s.Submit(core.Arrive{})
	s.askTry(core.AskTry{ID: left.id})
	left.Abandon()
	is.Equal(len(s.asked), 0)
}
