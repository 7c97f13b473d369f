package prompt

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/model"
)

// TestFloodLeavesPlacesToOthers floods a router whose engines are full with the
// requests of one account: a request of another one must still find a place, and the
// flood only so many.
func TestFloodLeavesPlacesToOthers(t *testing.T) {
	is := is.New(t)
	m := newMachine(1)
	for _, s := range m.servers {
		s.sentElsewhere(0, 200_000)
	}
	const flood, quiet = 1, 2
	for i := range 300 {
		m.Arrive(0, ask(model.RequestID(i+1), flood, uint64(i), 1000))
	}
	is.Equal(len(m.Take()), 300-maxWaitingOf) // refused at once
	m.Arrive(time.Millisecond, ask(1000, quiet, 7, 1000))
	is.Equal(len(m.Take()), 0) // it waits
	is.True(m.Has(1000))
}

// TestQueueIsSharedByAccounts fills the queue from many accounts: whoever has the
// most gives up a place.
func TestQueueIsSharedByAccounts(t *testing.T) {
	is := is.New(t)
	m := newMachine(1)
	for _, s := range m.servers {
		s.sentElsewhere(0, 200_000)
	}
	id := model.RequestID(0)
	for account := range model.AccountID(6) {
		for range maxWaitingOf {
			id++
			m.Arrive(0, ask(id, account+1, uint64(id), 1000))
		}
	}
	is.Equal(len(m.waiting), maxWaiting)
	held := map[model.AccountID]int{}
	for _, r := range m.waiting {
		held[r.Account]++
	}
	for account := range model.AccountID(6) {
		is.True(held[account+1] >= maxWaiting/6-1)
	}
}

// TestNobodyFallsFarBehindTheBest lets one account begin far more than it is owed, as
// its prompts are kept where there is room. Another one that has begun more than it is
// owed too, but less than three quarters of that, must still count as within its share; one
// that has begun nearly as much mustn't.
func TestNobodyFallsFarBehindTheBest(t *testing.T) {
	is := is.New(t)
	m := newMachine(9)
	owed := m.config.TokensPerSecond * window.Seconds()
	for account := range model.AccountID(3) {
		m.Count(account+1, 0, 0)
	}
	m.Sample(0)
	m.Count(1, 9*owed, 3*owed)
	m.Count(2, 9*owed, 2.25*owed)
	m.Count(3, 9*owed, 2.55*owed)
	l := m.levels()
	is.Equal(m.standingOf(2, l), within)
	is.True(m.standingOf(3, l) != within)
}

// TestShortObjectivesAreServedBeyondTheShare lets an account that has had its share ask
// for little, within an objective that an idle engine takes most of.
func TestShortObjectivesAreServedBeyondTheShare(t *testing.T) {
	is := is.New(t)
	m := newMachine(4)
	r := &request{Request: Request{Pool: pool, Objective: 4 * firstBase}}
	idle, ok := m.best(r)
	is.True(ok)
	for _, stands := range []standing{over, farOver} {
		is.True(m.mayBegin(r, idle, stands))
		busy := idle
		busy.delay += r.Objective / 4
		is.True(!m.mayBegin(r, busy, stands))
	}
}

// TestBeyondTheShareNothingWaits floods a router with requests of an account that is beyond
// its share while others ask for theirs: what isn't sent at once is refused at once, so that
// it takes no place of what may still be sent.
func TestBeyondTheShareNothingWaits(t *testing.T) {
	is := is.New(t)
	m := newMachine(2)
	id := model.RequestID(0)
	sent, refused := 0, 0
	for now := model.Time(0); now < 3*time.Second; now += 10 * time.Millisecond {
		m.Sample(now)
		for account := range model.AccountID(2) {
			id++
			r := ask(id, account+1, uint64(id), 100)
			m.Count(r.Account, m.CostOf(&r), 0)
			m.Arrive(now, r)
		}
		m.Tick(now)
		for _, a := range m.Take() {
			switch a := a.(type) {
			case Dispatch:
				sent++
				r := m.requests[a.ID]
				m.Count(r.Account, 0, r.cost)
			case Refuse:
				refused++
				if a.Basis.Over { // the account was beyond its share
					is.True(a.Waited < recheck) // it may have come within the pause of a pass
				}
			}
		}
		for _, r := range m.waiting {
			is.True(m.standingOf(r.Account, m.levels()) == within || now-r.arrived < recheck)
		}
	}
	is.True(sent > 0)
	is.True(refused > 0)
}
