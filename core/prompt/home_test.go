package prompt

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/model"
)

// answerAtHomes lets answers to prompts that this router never sent before begin after the given delay.
func answerAtHomes(t *testing.T, m *Machine, answers int, now, delay time.Duration) time.Duration {
	t.Helper()
	for range answers {
		now += 2 * time.Second
		id := model.RequestID(now)
		m.Arrive(now, newRequest(id, 1, uint64(now), 1000))
		onlyDispatch(t, m)
		m.RecordBegin(now+delay, id)
		m.Finish(now+time.Second, id, Done, 50)
	}
	return now + 2*time.Second
}

// TestHomeHitRateFollowsAnswers first observes answers from homes to which other routers, whose placements are not
// received, have sent every prompt before, and then answers from homes to which no router has.
func TestHomeHitRateFollowsAnswers(t *testing.T) {
	is := is.New(t)
	m := newMachine(9)
	now := answerAtHomes(t, m, 40, 0, 85*time.Millisecond)
	m.Arrive(now, newRequest(1, 1, 7, 1000))
	is.True(onlyDispatch(t, m).Basis.PrefillTokens < 1500) // though never sent by this router
	m.Finish(now, 1, Done, 50)
	now = answerAtHomes(t, m, 40, now, 290*time.Millisecond)
	m.Arrive(now, newRequest(2, 1, 8, 1000))
	is.True(onlyDispatch(t, m).Basis.PrefillTokens > 10_500)
}

// TestHomeHitRateConvergesQuickly restarts a router while the engines cache all prompts: a few answers suffice.
func TestHomeHitRateConvergesQuickly(t *testing.T) {
	is := is.New(t)
	m := newMachine(9)
	now := answerAtHomes(t, m, 4, 0, 85*time.Millisecond)
	m.Arrive(now, newRequest(1, 1, 7, 1000))
	is.True(onlyDispatch(t, m).Basis.PrefillTokens < 5000)
}

// TestCopiesComeFromHomes fills the home of a prompt: another backend server is chosen and copies what the home is
// expected to cache.
func TestCopiesComeFromHomes(t *testing.T) {
	is := is.New(t)
	m := New(0, newMachine(0).random)
	c := testConfig(9)
	c.Pools[pool] = Pool{Engine: true, CacheTokens: 500_000, CopyRate: 400_000}
	m.Configure(0, c)
	now := answerAtHomes(t, m, 40, 0, 85*time.Millisecond)
	m.Arrive(now, newRequest(1, 1, 7, 1000))
	home := onlyDispatch(t, m).Backend
	m.servers[home].addRemote(now, 12_000)
	m.Arrive(now, newRequest(2, 1, 9, 1000))
	onlyDispatch(t, m)
	m.servers[home].cache.lastUsed = map[uint32]float64{}
	m.Arrive(now, newRequest(3, 1, 7, 1000))
	third := onlyDispatch(t, m)
	is.True(third.Backend != home)
	is.Equal(third.CopyFrom, home)
	is.True(third.Basis.PrefillTokens < 1500)
}

// TestRouterLagDoesNotAffectSlowness has a router observe answers late because of its own lag, which must not make
// its backend servers appear slow.
func TestRouterLagDoesNotAffectSlowness(t *testing.T) {
	is := is.New(t)
	const lag = 150 * time.Millisecond
	m := newMachine(1)
	now := time.Duration(0)
	for i := range 40 {
		now += 2 * time.Second
		r := newRequest(model.RequestID(i+1), 1, uint64(i), 1000)
		r.Lag = lag
		m.Arrive(now, r)
		d := onlyDispatch(t, m)
		m.RecordBegin(now+d.Basis.Delay+lag, r.ID)
		m.Finish(now+time.Second, r.ID, Done, 50)
	}
	for _, s := range m.servers {
		is.True(s.health.slowness() < 1.1)
	}
}
