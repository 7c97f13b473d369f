package gateway

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// occasionalEvery is how often a line is written of what happens many times a
// second.
const occasionalEvery = 100 * time.Millisecond

// occasional counts connections that were turned away, and writes a line with
// their number now and then. A router that can't keep up has no time for a line of
// each.
type occasional struct {
	count atomic.Int64
	last  atomic.Int64 // nanoseconds since the epoch of the process
	began time.Time
}

func newOccasional() *occasional { return &occasional{began: time.Now()} }

// note counts one.
func (o *occasional) note(log zerolog.Logger) {
	o.count.Add(1)
	now := int64(time.Since(o.began))
	last := o.last.Load()
	if now-last < int64(occasionalEvery) || !o.last.CompareAndSwap(last, now) {
		return
	}
	log.Info().Str("outcome", "turned-away").Int64("connections", o.count.Swap(0)).
		Msg("router is behind: connections refused unread")
}
