package prompt

import (
	"testing"

	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/model"
)

// TestStartupAssumesEqualRemoteLoad sends many requests at once to one of eight routers before it has received any
// report: it dispatches a fraction of what it would alone, and all of it once a report shows that the others send
// nothing.
func TestStartupAssumesEqualRemoteLoad(t *testing.T) {
	is := is.New(t)
	sent := func(routers int, reported bool) int {
		m := newMachine(4)
		m.SetRouters(routers)
		if reported {
			m.ApplyLoadReport(0, "other", 1, LoadReport{Sequence: 1})
		}
		for i := range 10 {
			m.Arrive(0, newRequest(model.RequestID(i), 1, uint64(i), 1000))
			m.lastPass = -passInterval // process each at once
		}
		n := 0
		for _, a := range m.TakeActions() {
			if _, ok := a.(Dispatch); ok {
				n++
			}
		}
		return n
	}
	alone := sent(1, false)
	is.True(alone >= 8)
	is.True(sent(8, false) <= alone/2)
	is.Equal(sent(8, true), alone)
}
