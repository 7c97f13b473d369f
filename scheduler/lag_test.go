package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestOnePauseIsNotBeingBehind(t *testing.T) {
	is := is.New(t)
	l := &lag{}
	l.note(time.Minute)
	is.True(!l.behind())
}

func TestLateTimersAreBeingBehind(t *testing.T) {
	is := is.New(t)
	l := &lag{}
	for range 5 {
		l.note(time.Second)
	}
	is.True(l.behind())
	for range 4 * lagWeight {
		l.note(0)
	}
	is.True(!l.behind())
}
