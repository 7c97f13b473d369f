package prompt

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/model"
)

// learnHomes lets so many answers to prompts this router never sent before begin after
// so long each.
func learnHomes(t *testing.T, m *Machine, answers int, now, began time.Duration) time.Duration {
	t.Helper()
	for range answers {
		now += 2 * time.Second
		id := model.RequestID(now)
		m.Arrive(now, ask(id, 1, uint64(now), 1000))
		dispatched(t, m)
		m.Began(now+began, id)
		m.Finish(now+time.Second, id, Done, 50)
	}
	return now + 2*time.Second
}

// TestHomesAreTrustedAsTheyAnswer lets other routers, of which nothing is heard,
// have sent every prompt to its home before, and then none.
func TestHomesAreTrustedAsTheyAnswer(t *testing.T) {
	is := is.New(t)
	m := newMachine(9)
	now := learnHomes(t, m, 40, 0, 85*time.Millisecond)
	m.Arrive(now, ask(1, 1, 7, 1000))
	is.True(dispatched(t, m).Basis.Unread < 1500) // though never sent from here
	m.Finish(now, 1, Done, 50)
	now = learnHomes(t, m, 40, now, 290*time.Millisecond)
	m.Arrive(now, ask(2, 1, 8, 1000))
	is.True(dispatched(t, m).Basis.Unread > 10_500)
}

// TestHomesAreTrustedSoon restarts a router before engines that keep all prompts: some
// answers are enough for it to know.
func TestHomesAreTrustedSoon(t *testing.T) {
	is := is.New(t)
	m := newMachine(9)
	now := learnHomes(t, m, 4, 0, 85*time.Millisecond)
	m.Arrive(now, ask(1, 1, 7, 1000))
	is.True(dispatched(t, m).Basis.Unread < 5000)
}

// TestCopiesComeFromHomes fills the home of a prompt: another backend server is
// chosen, and copies what the home is expected to keep.
func TestCopiesComeFromHomes(t *testing.T) {
	is := is.New(t)
	m := New(0, newMachine(0).random)
	c := testConfig(9)
	c.Pools[pool] = Pool{Engine: true, Memory: 500_000, CopyRate: 400_000}
	m.Configure(0, c)
	now := learnHomes(t, m, 40, 0, 85*time.Millisecond)
	m.Arrive(now, ask(1, 1, 7, 1000))
	home := dispatched(t, m).Backend
	m.servers[home].sentElsewhere(now, 12_000)
	m.Arrive(now, ask(2, 1, 9, 1000))
	dispatched(t, m)
	m.servers[home].kept.used = map[uint32]float64{}
	m.Arrive(now, ask(3, 1, 7, 1000))
	third := dispatched(t, m)
	is.True(third.Backend != home)
	is.Equal(third.CopyFrom, home)
	is.True(third.Basis.Unread < 1500)
}

// TestOwnLagTellsNothingAgainstServers lets a router that is late itself take answers
// for begun as much later: its backend servers must not look slow.
func TestOwnLagTellsNothingAgainstServers(t *testing.T) {
	is := is.New(t)
	const lag = 150 * time.Millisecond
	m := newMachine(1)
	now := time.Duration(0)
	for i := range 40 {
		now += 2 * time.Second
		r := ask(model.RequestID(i+1), 1, uint64(i), 1000)
		r.Lag = lag
		m.Arrive(now, r)
		d := dispatched(t, m)
		m.Began(now+d.Basis.Delay+lag, r.ID)
		m.Finish(now+time.Second, r.ID, Done, 50)
	}
	for _, s := range m.servers {
		is.True(s.health.slowness() < 1.1)
	}
}
