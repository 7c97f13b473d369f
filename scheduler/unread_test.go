package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/core/member"
	"github.com/tamarindstep/tamarindstep/telemetry"
)

// TestUnreadRequestsAreBatched refuses many requests without a decision: all are reported to the core
// in a few events.
func TestUnreadRequestsAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := New(member.Member{}, zerolog.Nop(), telemetry.NewMetrics())
		const refused = 3000
		for i := range refused {
			s.ReportUnread(core.UnreadRequest{Account: 7})
			if i%100 == 0 {
				time.Sleep(time.Millisecond)
			}
		}
		time.Sleep(unreadInterval)
		synctest.Wait()
		events, reported := len(s.events), 0
		for range events {
			reported += len((<-s.events).event.(core.RefusedUnread).Requests)
		}
		is.Equal(reported, refused)
		is.True(events <= 3)
	})
}
