package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestSinglePauseIsNotBehind(t *testing.T) {
	is := is.New(t)
	l := &lag{}
	l.record(time.Minute)
	is.True(!l.behind())
}

func TestRepeatedLagIsBehind(t *testing.T) {
	is := is.New(t)
	l := &lag{}
	for range 5 {
		l.record(time.Second)
	}
	is.True(l.behind())
	for range 4 * lagWeight {
		l.record(0)
	}
	is.True(!l.behind())
}
