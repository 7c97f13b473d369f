package prompt

import (
	"testing"

	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/model"
)

// TestUnheardRoutersAreTakenToSendAlike lets a router of eight get many requests at once
// before it has heard any other: it sends a part of what it would send alone, and all of
// it once it has heard that the others send nothing.
func TestUnheardRoutersAreTakenToSendAlike(t *testing.T) {
	is := is.New(t)
	sent := func(routers int, hear bool) int {
		m := newMachine(4)
		m.SetRouters(routers)
		if hear {
			m.TakeLoadReport(0, "other", 1, LoadReport{Sequence: 1})
		}
		for i := range 10 {
			m.Arrive(0, ask(model.RequestID(i), 1, uint64(i), 1000))
			m.passed = -recheck // each is decided on at once
		}
		n := 0
		for _, a := range m.Take() {
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
