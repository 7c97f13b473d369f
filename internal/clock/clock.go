// Package clock provides a monotonic clock that includes time during which the VM is suspended.
//
// The runtime's monotonic clock stops while a VM is suspended. Leases, deadlines and the ages of other processes'
// states that are measured with it would not advance during a suspension of an hour. The wall clock advances, but may
// be set. CLOCK_BOOTTIME of Linux is monotonic and includes suspensions, but reading it requires a system call.
// Therefore a Clock reads it from time to time (see Refresh) and adds the time of suspensions to the monotonic clock.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// minReadInterval is the minimum time between reads of the boot clock, and thus the delay until a suspension is
	// detected.
	minReadInterval = 50 * time.Millisecond
	// minSuspension is the minimum length of a suspension. The two clocks aren't read at the same time, and a busy
	// process may be descheduled between the two reads.
	minSuspension = 100 * time.Millisecond
)

// Clock is a monotonic clock that includes suspensions and starts at 0.
type Clock struct {
	monotonic func() time.Duration
	boot      func() (time.Duration, error)

	suspended  atomic.Int64 // total time of suspensions, in ns
	lastRead   atomic.Int64 // monotonic time of the last read of the boot clock, in ns
	bootOffset time.Duration
}

// System is the clock of the VM.
var System = newSystem()

func newSystem() *Clock {
	began := time.Now()
	return New(func() time.Duration { return time.Since(began) }, bootTime)
}

// bootTime returns the value of CLOCK_BOOTTIME.
func bootTime() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}

// New returns a clock based on a monotonic clock and on a boot clock that includes suspensions. If the boot clock
// returns an error, suspensions are not detected.
func New(monotonic func() time.Duration, boot func() (time.Duration, error)) *Clock {
	c := &Clock{monotonic: monotonic, boot: boot}
	if at, err := boot(); err == nil {
		c.bootOffset = at - monotonic()
	}
	return c
}

// Now returns the time since the start of the clock. It is safe for concurrent use.
func (c *Clock) Now() time.Duration { return c.monotonic() + time.Duration(c.suspended.Load()) }

// Since returns the time elapsed since at.
func (c *Clock) Since(at time.Duration) time.Duration { return c.Now() - at }

// Until returns the time remaining until at.
func (c *Clock) Until(at time.Duration) time.Duration { return at - c.Now() }

// Refresh reads the boot clock, unless it was read within the minimum interval, and returns the time of suspensions
// since the previous read. It must be called by only one goroutine.
func (c *Clock) Refresh() time.Duration {
	monotonic := c.monotonic()
	if monotonic-time.Duration(c.lastRead.Load()) < minReadInterval {
		return 0
	}
	c.lastRead.Store(int64(monotonic))
	boot, err := c.boot()
	if err != nil {
		return 0
	}
	newlySuspended := boot - monotonic - c.bootOffset - time.Duration(c.suspended.Load())
	if newlySuspended < minSuspension {
		return 0
	}
	c.suspended.Add(int64(newlySuspended))
	return newlySuspended
}
