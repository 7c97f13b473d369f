package prompt

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/model"
)

// refusal lets time pass until the only request that waits is refused.
func refusal(t *testing.T, m *Machine) Refuse {
	t.Helper()
	for now := time.Duration(0); now < time.Second; now += recheck {
		m.Tick(now)
		for _, a := range m.Take() {
			if r, ok := a.(Refuse); ok {
				return r
			}
		}
	}
	t.Fatal("never refused")
	return Refuse{}
}

// TestRefusalsTellHowLongTheyHold refuses for lack of room: the reason holds until an engine has read what
// keeps the next one out. Beyond its share an account may find room for another prompt, unless it is
// beyond the reach of others.
func TestRefusalsTellHowLongTheyHold(t *testing.T) {
	is := is.New(t)
	m := newMachine(2)
	for i, s := range m.order {
		m.servers[s].sentElsewhere(0, float64(i+1)*100_000) // two seconds and four
	}
	in := ask(1, 1, 7, 1000)
	m.Arrive(0, in)
	r := refusal(t, m)
	is.Equal(r.Reason, NoRoom)
	is.True(r.Holds > time.Second && r.Holds < 2*time.Second)

	for _, behind := range []bool{false, true} {
		m = newMachine(1)
		owed := m.config.TokensPerSecond * window.Seconds()
		m.Count(1, 0, 0)
		m.Count(2, 0, 0)
		m.Sample(0)
		m.Count(1, 9*owed, 3*owed)
		m.Count(2, 9*owed, 3*owed)
		if behind { // another account can't follow
			m.Count(2, 0, -2.5*owed)
		}
		m.Arrive(0, ask(1, 1, 8, 1000))
		r = refusal(t, m)
		is.Equal(r.Reason, OverShare)
		is.Equal(r.Holds > 0, behind)
		is.True(r.Holds <= sampleEvery)
	}

	m = newMachine(1)
	in = ask(3, 1, 7, 1000)
	in.Except = []model.BackendID{m.order[0]}
	m.Arrive(0, in)
	r = refusal(t, m)
	is.Equal(r.Reason, NoBackend)
	is.Equal(r.Holds, time.Duration(0)) // others may go there
}
