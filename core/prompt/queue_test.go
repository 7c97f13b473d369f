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

// TestBeyondTheShareNothingWaits asks for something beyond its account's share where an
// engine is busy: it is refused at once, and takes no place of what may still be sent.
func TestBeyondTheShareNothingWaits(t *testing.T) {
	is := is.New(t)
	m := newMachine(1)
	m.Sample(0)
	m.Count(1, 1e7, 1e7) // it has begun more than all engines make
	m.Count(2, 1e7, 0)
	m.Arrive(0, ask(1, 2, 7, 1000))
	dispatched(t, m)
	m.Arrive(0, ask(2, 1, 8, 1000))
	actions := m.Take()
	is.Equal(len(actions), 1)
	refusal, ok := actions[0].(Refuse)
	is.True(ok)
	is.Equal(refusal.Reason, OverShare)
	is.Equal(refusal.Waited, time.Duration(0))
	is.Equal(len(m.waiting), 0)
}
