package gateway

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// logInterval is the minimum interval between log lines on events that occur many times a second.
const logInterval = 100 * time.Millisecond

// logLimiter counts frequent events, such as rejected connections, and limits the rate of log lines that report their
// number. An overloaded router has no time for a line for each.
type logLimiter struct {
	count atomic.Int64
	last  atomic.Int64 // nanoseconds since began
	began time.Time
}

func newLogLimiter() *logLimiter { return &logLimiter{began: time.Now()} }

// due counts one event and returns the number of events to log, 0 for none now.
func (l *logLimiter) due() int64 {
	l.count.Add(1)
	now := int64(time.Since(l.began))
	last := l.last.Load()
	if now-last < int64(logInterval) || !l.last.CompareAndSwap(last, now) {
		return 0
	}
	return l.count.Swap(0)
}

// logRejected counts a connection that was rejected because of overload; late is the router's lag and open the number
// of open requests.
func (l *logLimiter) logRejected(log zerolog.Logger, late time.Duration, open int64) {
	if n := l.due(); n > 0 {
		log.Info().Str("outcome", "turned-away").Int64("connections", n).Dur("late_ms", late).Int64("open", open).
			Msg("router is overloaded: connections refused unread")
	}
}
