package prompt

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/model"
)

// TestTryGoesWhereItHarmsTheFewest guards against a try of a request that may end its backend server being sent to the one
// that runs the most requests, because the shared part of its prompt is cached there.
func TestTryGoesWhereItHarmsTheFewest(t *testing.T) {
	is := is.New(t)
	m := newMachine(3)
	m.Arrive(0, newRequest(1, 1, 7, 10))
	home := onlyDispatch(t, m).Backend
	m.Finish(time.Second, 1, Done, 10)
	for id := model.RequestID(2); id < 8; id++ {
		m.Arrive(time.Second, newRequest(id, 1, 7, 10))
		is.Equal(onlyDispatch(t, m).Backend, home)
	}
	try := newRequest(20, 1, 7, 10)
	try.Try, try.Objective = true, 0
	m.Arrive(time.Second, try)
	is.True(onlyDispatch(t, m).Backend != home)
}
