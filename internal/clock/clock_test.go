package clock

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fakeVM is a VM that can be suspended.
type fakeVM struct {
	running, suspended time.Duration
	noBootClock        bool // reading its boot clock fails
}

func (m *fakeVM) clock() *Clock {
	return New(func() time.Duration { return m.running }, func() (time.Duration, error) {
		if m.noBootClock {
			return 0, errors.New("no such clock")
		}
		return time.Hour + m.running + m.suspended, nil
	})
}

func TestSuspensionsCount(t *testing.T) {
	is := is.New(t)
	m := &fakeVM{}
	c := m.clock()
	at := c.Now()
	m.running += time.Second
	is.Equal(c.Refresh(), time.Duration(0))
	is.Equal(c.Since(at), time.Second)
	m.suspended += 5 * time.Second
	m.running += minReadInterval
	is.Equal(c.Refresh(), 5*time.Second)
	is.Equal(c.Since(at), 6*time.Second+minReadInterval)
	is.Equal(c.Until(at+7*time.Second), time.Second-minReadInterval)
	m.running += minReadInterval
	is.Equal(c.Refresh(), time.Duration(0)) // reported once
	m.suspended += 2 * time.Second
	m.running += minReadInterval
	is.Equal(c.Refresh(), 2*time.Second)
}

func TestSmallDifferencesAreNotSuspensions(t *testing.T) {
	is := is.New(t)
	m := &fakeVM{}
	c := m.clock()
	m.running += time.Second
	m.suspended = minSuspension / 2
	is.Equal(c.Refresh(), time.Duration(0))
	is.Equal(c.Now(), time.Second)
}

func TestWithoutBootClockTimeIsMonotonic(t *testing.T) {
	is := is.New(t)
	m := &fakeVM{noBootClock: true}
	c := m.clock()
	m.running += time.Second
	is.Equal(c.Refresh(), time.Duration(0))
	is.Equal(c.Now(), time.Second)
}

func TestSystemClockRuns(t *testing.T) {
	is := is.New(t)
	at := System.Now()
	time.Sleep(2 * minReadInterval)
	System.Refresh()
	is.True(System.Since(at) >= 2*minReadInterval)
}
