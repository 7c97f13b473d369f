package prompt

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/model"
)

// firstRefusal advances the time until the only waiting request is refused.
func firstRefusal(t *testing.T, m *Machine) Refuse {
	t.Helper()
	for now := time.Duration(0); now < time.Second; now += passInterval {
		m.Tick(now)
		for _, a := range m.TakeActions() {
			if r, ok := a.(Refuse); ok {
				return r
			}
		}
	}
	t.Fatal("the request was not refused")
	return Refuse{}
}

// TestRefusalValidity checks ValidFor, the time for which the reason of a refusal is expected to apply: for lack of
// room, until the engine with the least delay has prefilled part of its backlog; over the share, at most until the next
// sample, and only if the account is limited; without an available backend server, not at all.
func TestRefusalValidity(t *testing.T) {
	is := is.New(t)
	m := newMachine(2)
	for i, s := range m.order {
		m.servers[s].addRemote(0, float64(i+1)*100_000) // two and four seconds
	}
	in := newRequest(1, 1, 7, 1000)
	m.Arrive(0, in)
	r := firstRefusal(t, m)
	is.Equal(r.Reason, NoRoom)
	is.True(r.ValidFor > time.Second && r.ValidFor < 2*time.Second)

	for _, behind := range []bool{false, true} {
		m = newMachine(1)
		owed := m.config.TokensPerSecond * window.Seconds()
		m.AddUsage(1, 0, 0)
		m.AddUsage(2, 0, 0)
		m.Sample(0)
		m.AddUsage(1, 9*owed, 3*owed)
		m.AddUsage(2, 9*owed, 3*owed)
		if behind { // the other account is constrained
			m.AddUsage(2, 0, -2.5*owed)
		}
		m.Arrive(0, newRequest(1, 1, 8, 1000))
		r = firstRefusal(t, m)
		is.Equal(r.Reason, OverShare)
		is.Equal(r.ValidFor > 0, behind)
		is.True(r.ValidFor <= sampleInterval)
	}

	m = newMachine(1)
	in = newRequest(3, 1, 7, 1000)
	in.Exclude = []model.BackendID{m.order[0]}
	m.Arrive(0, in)
	r = firstRefusal(t, m)
	is.Equal(r.Reason, NoBackend)
	is.Equal(r.ValidFor, time.Duration(0)) // other requests may be dispatched there
}
