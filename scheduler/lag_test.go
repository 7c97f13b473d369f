package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestOnePauseIsNotBeingBehind(t *testing.T) {
	is := is.New(t)
	s := &Service{}
	s.noteLag(time.Minute)
	is.True(!s.Behind())
}

func TestLateTimersAreBeingBehind(t *testing.T) {
	is := is.New(t)
	s := &Service{}
	for range 5 {
		s.noteLag(time.Second)
	}
	is.True(s.Behind())
	for range 4 * lagWeight {
		s.noteLag(0)
	}
	is.True(!s.Behind())
}
