package scheduler

import (
	"sync/atomic"
	"time"
)

const (
	// behindThreshold is the mean lag above which the process counts as behind.
	behindThreshold = 30 * time.Millisecond
	// maxSample limits a single sample: a process that was paused had one
	// large delay, which does not show that it is overloaded.
	maxSample = 4 * behindThreshold
	// lateThreshold is the lag of a single event above which the process must not suspect other routers: two thirds of
	// the time-out of the probes of package member.
	lateThreshold = 100 * time.Millisecond
	// lagWeight is the reciprocal of the newest sample's weight in the mean.
	lagWeight = 16
)

// lag is the moving mean of the delay with which this process handles timers
// and events for the core. When goroutines wait for the processor,
// both are delayed.
type lag struct{ mean atomic.Int64 } // nanoseconds

// record adds a sample. Only the core's goroutine calls it.
func (l *lag) record(late time.Duration) {
	mean := l.mean.Load()
	l.mean.Store(mean + (int64(min(max(late, 0), maxSample))-mean)/lagWeight)
}

// answerDelay returns the expected delay until the core processes the beginning of an answer:
// that of the goroutine that reads it and that of the core.
func (l *lag) answerDelay() time.Duration { return 2 * time.Duration(l.mean.Load()) }

// behind reports whether the mean exceeds behindThreshold.
func (l *lag) behind() bool { return time.Duration(l.mean.Load()) > behindThreshold }
