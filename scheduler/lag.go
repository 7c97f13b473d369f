package scheduler

import (
	"sync/atomic"
	"time"
)

const (
	// lagFrom is how late the process may come to what is due, in the mean,
	// before it counts as behind.
	lagFrom = 30 * time.Millisecond
	// maxLag is the most that one time counts for: a process that was paused was
	// late once, which doesn't tell that it can't keep up.
	maxLag = 4 * lagFrom
	// lateFrom is how late it may come to one thing before it can't judge by others' silence: two thirds of the time in
	// which the probes of package member are answered.
	lateFrom = 100 * time.Millisecond
	// lagWeight is the part, one in so many, of the newest time in the mean.
	lagWeight = 16
)

// lag is the mean of how late this process comes to what is due: a timer that goes
// off, or an event that another goroutine has for the core. Where goroutines wait
// for the processor, both do.
type lag struct{ mean atomic.Int64 } // nanoseconds

// note takes how late something was. Only the core's goroutine calls it.
func (l *lag) note(late time.Duration) {
	mean := l.mean.Load()
	l.mean.Store(mean + (int64(min(max(late, 0), maxLag))-mean)/lagWeight)
}

// ofAnswers returns how late this process takes an answer for begun: the goroutine
// that reads it and then the core come late.
func (l *lag) ofAnswers() time.Duration { return 2 * time.Duration(l.mean.Load()) }

// behind tells whether the process can't keep up.
func (l *lag) behind() bool { return time.Duration(l.mean.Load()) > lagFrom }
