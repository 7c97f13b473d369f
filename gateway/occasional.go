package gateway

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// occasionalEvery is how often a line is written of what happens many times a
// second.
const occasionalEvery = 100 * time.Millisecond

// occasional counts what happens many times a second, such as connections that are
// turned away, and lets a line with their number be written now and then. A router that
// can't keep up has no time for a line of each.
type occasional struct {
	count atomic.Int64
	last  atomic.Int64 // nanoseconds since the epoch of the process
	began time.Time
}

func newOccasional() *occasional { return &occasional{began: time.Now()} }

// due counts one, and returns how many a line is due for, 0 for none now.
func (o *occasional) due() int64 {
	o.count.Add(1)
	now := int64(time.Since(o.began))
	last := o.last.Load()
	if now-last < int64(occasionalEvery) || !o.last.CompareAndSwap(last, now) {
		return 0
	}
	return o.count.Swap(0)
}

// note counts a connection that was turned away, as the router comes so late to what is due
// while so many requests are open.
func (o *occasional) note(log zerolog.Logger, late time.Duration, open int64) {
	if n := o.due(); n > 0 {
		log.Info().Str("outcome", "turned-away").Int64("connections", n).Dur("late_ms", late).Int64("open", open).
			Msg("router is behind: connections refused unread")
	}
}
