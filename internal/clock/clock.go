// Package clock is the time by which ages and bounds count.
//
// The steady clock of the runtime stands still while a machine is suspended, and so does everything that
// is measured by it: a lease, a deadline, a belief about another process would be as fresh after an hour of
// sleep as before. The time of day counts on, but is stepped. Linux has a third, CLOCK_BOOTTIME, that is
// steady and counts sleep. Reading it takes a system call, so that a Clock reads it now and then (Look) and adds
// what was slept to the steady clock in between.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// lookEvery is how often the boot clock is read at the most: a sleep is noticed that much late.
	lookEvery = 50 * time.Millisecond
	// shortest is the shortest sleep that counts. The two clocks aren't read at one moment, between which a
	// busy process may lose its processor.
	shortest = 100 * time.Millisecond
)

// Clock counts time, sleep included, from its own beginning.
type Clock struct {
	steady func() time.Duration
	boot   func() (time.Duration, error)

	asleep atomic.Int64 // in ns, since the beginning
	looked atomic.Int64 // steady time of the last look, in ns
	ahead  time.Duration
}

// System is the machine's.
var System = newSystem()

func newSystem() *Clock {
	began := time.Now()
	return New(func() time.Duration { return time.Since(began) }, bootTime)
}

// bootTime reads CLOCK_BOOTTIME.
func bootTime() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}

// New returns a clock that rests on a steady one and one that counts sleep as well. Where the second one
// can't be read, no sleep is noticed.
func New(steady func() time.Duration, boot func() (time.Duration, error)) *Clock {
	c := &Clock{steady: steady, boot: boot}
	if at, err := boot(); err == nil {
		c.ahead = at - steady()
	}
	return c
}

// Now returns the time since the clock's beginning. It may be called from any goroutine.
func (c *Clock) Now() time.Duration { return c.steady() + time.Duration(c.asleep.Load()) }

// Since returns how long ago a reading was taken.
func (c *Clock) Since(at time.Duration) time.Duration { return c.Now() - at }

// Until returns how long it is until a time.
func (c *Clock) Until(at time.Duration) time.Duration { return at - c.Now() }

// Look reads the boot clock, if it wasn't read just before, and returns how long the machine has slept since.
// One goroutine of a process calls it.
func (c *Clock) Look() time.Duration {
	steady := c.steady()
	if steady-time.Duration(c.looked.Load()) < lookEvery {
		return 0
	}
	c.looked.Store(int64(steady))
	boot, err := c.boot()
	if err != nil {
		return 0
	}
	slept := boot - steady - c.ahead - time.Duration(c.asleep.Load())
	if slept < shortest {
		return 0
	}
	c.asleep.Add(int64(slept))
	return slept
}
