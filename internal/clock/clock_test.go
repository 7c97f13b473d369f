package clock

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

// machine is a machine that can be suspended.
type machine struct {
	awake, asleep time.Duration
	blind         bool // its boot clock can't be read
}

func (m *machine) clock() *Clock {
	return New(func() time.Duration { return m.awake }, func() (time.Duration, error) {
		if m.blind {
			return 0, errors.New("no such clock")
		}
		return time.Hour + m.awake + m.asleep, nil
	})
}

func TestSleepCounts(t *testing.T) {
	is := is.New(t)
	m := &machine{}
	c := m.clock()
	at := c.Now()
	m.awake += time.Second
	is.Equal(c.Look(), time.Duration(0))
	is.Equal(c.Since(at), time.Second)
	m.asleep += 5 * time.Second
	m.awake += lookEvery
	is.Equal(c.Look(), 5*time.Second)
	is.Equal(c.Since(at), 6*time.Second+lookEvery)
	is.Equal(c.Until(at+7*time.Second), time.Second-lookEvery)
	m.awake += lookEvery
	is.Equal(c.Look(), time.Duration(0)) // told once
	m.asleep += 2 * time.Second
	m.awake += lookEvery
	is.Equal(c.Look(), 2*time.Second)
}

func TestClocksThatDifferALittleAreNotSleep(t *testing.T) {
	is := is.New(t)
	m := &machine{}
	c := m.clock()
	m.awake += time.Second
	m.asleep = shortest / 2
	is.Equal(c.Look(), time.Duration(0))
	is.Equal(c.Now(), time.Second)
}

func TestWithoutTheBootClockTimeIsSteady(t *testing.T) {
	is := is.New(t)
	m := &machine{blind: true}
	c := m.clock()
	m.awake += time.Second
	is.Equal(c.Look(), time.Duration(0))
	is.Equal(c.Now(), time.Second)
}

func TestTheMachinesClockRuns(t *testing.T) {
	is := is.New(t)
	at := System.Now()
	time.Sleep(2 * lookEvery)
	System.Look()
	is.True(System.Since(at) >= 2*lookEvery)
}
