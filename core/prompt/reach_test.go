package prompt

import (
	"testing"

	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/model"
)

// heldUp returns a machine of many engines, where account 1 has begun much, and account 2, which asks
// for as much, a part of it, both steadily over a window; and the standing of account 1.
func heldUp(asked, part float64) (*Machine, standing) {
	m := newMachine(9)
	m.Sample(0)
	each := m.config.TokensPerSecond * sampleEvery.Seconds()
	now := model.Time(0)
	for range samples {
		m.Count(1, 3*each, 1.2*each)
		m.Count(2, asked*each, part*1.2*each)
		now += sampleEvery
		m.now = now
		m.Sample(now)
	}
	return m, m.standingOf(1, m.levels())
}

// TestNobodyGoesBeyondReachOfThoseHeldUp lets an account that is served by idling engines get far
// ahead of one that asks for as much, and is held up at its router.
func TestNobodyGoesBeyondReachOfThoseHeldUp(t *testing.T) {
	is := is.New(t)
	m, stands := heldUp(3, 0.4)
	is.Equal(stands, beyondReach)
	m.Arrive(m.now, ask(1, 1, 7, 100))
	_, refused := m.Take()[0].(Refuse) // though the engines idle
	is.True(refused)
	is.Equal(m.standingOf(2, m.levels()), within)
}

// TestReachIsOfThoseWhoAskForAsMuch lets the other account be served as much, ask for little, or
// get nothing at all.
func TestReachIsOfThoseWhoAskForAsMuch(t *testing.T) {
	is := is.New(t)
	_, stands := heldUp(3, 0.9)
	is.True(stands != beyondReach)
	_, stands = heldUp(0.5, 0.4)
	is.True(stands != beyondReach)
	_, stands = heldUp(3, 0)
	is.True(stands != beyondReach)
}

// TestHeldBackAccountsDontHoldOthersBack lets the account that was held back begin little for a
// while: the other one isn't held back for that.
func TestHeldBackAccountsDontHoldOthersBack(t *testing.T) {
	is := is.New(t)
	m, stands := heldUp(3, 0.4)
	is.Equal(stands, beyondReach)
	each := m.config.TokensPerSecond * sampleEvery.Seconds()
	for range samples - 3 {
		m.Count(1, 3*each, 0.05*each)
		m.Count(2, 3*each, 0.5*each)
		m.now += sampleEvery
		m.Sample(m.now)
	}
	is.True(m.standingOf(2, m.levels()) != beyondReach)
}

// TestBoundedAccountsGoOn is of accounts that were refused altogether for up to two seconds, as others began to ask: what they had
// begun before counted against them, whatever they had begun of late.
func TestBoundedAccountsGoOn(t *testing.T) {
	is := is.New(t)
	m, stands := heldUp(3, 0.4)
	is.Equal(stands, beyondReach)
	each := m.config.TokensPerSecond * sampleEvery.Seconds()
	for range inBurst + 1 {
		m.Count(1, 3*each, 0)
		m.Count(2, 3*each, 0.48*each)
		m.now += sampleEvery
		m.Sample(m.now)
	}
	l := m.levels()
	is.True(m.shares.accounts[1].isBounded(l))
	is.True(m.standingOf(1, l) != beyondReach)
	is.True(!m.shares.accounts[2].heldBack())
	m.Count(1, 0, 2*l.goOn)
	is.Equal(m.standingOf(1, m.levels()), beyondReach)
}

// TestAMomentBeyondReachIsntHeldBack lets the account that is held up be beyond reach for one sample, as little
// has begun of late: the other one is bounded by it all the same.
func TestAMomentBeyondReachIsntHeldBack(t *testing.T) {
	is := is.New(t)
	m, _ := heldUp(3, 0.4)
	each := m.config.TokensPerSecond * sampleEvery.Seconds()
	m.shares.accounts[2].held |= 1
	for range 3 {
		m.Count(1, 3*each, 1.2*each)
		m.Count(2, 3*each, 0.48*each)
		m.now += sampleEvery
		m.Sample(m.now)
	}
	is.Equal(m.standingOf(1, m.levels()), beyondReach)
	m.shares.accounts[2].held |= 0b11110000
	is.True(m.standingOf(1, m.levels()) != beyondReach) // that is why it has begun little
}

// TestTheBoundHoldsFromTheBeginning lets an account that is served from everywhere begin much in the first
// second after all were idle, of what the window has enough of.
func TestTheBoundHoldsFromTheBeginning(t *testing.T) {
	is := is.New(t)
	m := newMachine(9)
	second := m.config.TokensPerSecond
	m.Sample(0)
	now := model.Time(0)
	for range 3 {
		m.Count(1, 0.5*second, 0.2*second)
		m.Count(2, 0.5*second, 0.03*second)
		now += sampleEvery
		m.now = now
		m.Sample(now)
	}
	l := m.levels()
	is.True(l.enough && !l.spare)
	is.Equal(m.standingOf(1, l), beyondReach)
	is.True(m.standingOf(2, l) != beyondReach)
}

// TestWhoIsBehindIsntHeldBackForOthers lets a third account get far less still than the one that is held up: the
// best served one is bounded by that, and the one that is behind it itself isn't.
func TestWhoIsBehindIsntHeldBackForOthers(t *testing.T) {
	is := is.New(t)
	m := newMachine(9)
	m.Sample(0)
	each := m.config.TokensPerSecond * sampleEvery.Seconds()
	for range samples {
		m.Count(1, 3*each, 1.2*each)
		m.Count(2, 3*each, 0.6*each)
		m.Count(3, 3*each, 0.2*each)
		m.now += sampleEvery
		m.Sample(m.now)
	}
	l := m.levels()
	is.True(m.Usage(2).Begun > l.bound) // less than others could follow to
	is.Equal(m.standingOf(1, l), beyondReach)
	is.Equal(m.standingOf(2, l), within)
	is.Equal(m.standingOf(3, l), within)
}

// TestWhoIsHeldUpAtItsRouterIsntHeldBackThere is of an account that was refused altogether for a second and a half, as others
// had just begun to ask, at the only router that its callers reach, which had time for a twentieth of them.
func TestWhoIsHeldUpAtItsRouterIsntHeldBackThere(t *testing.T) {
	is := is.New(t)
	m, stands := heldUp(3, 0.4)
	is.Equal(stands, beyondReach)
	asked := m.Usage(1).Asked
	m.CountUnread(1, 0.8*asked)
	is.Equal(m.standingOf(1, m.levels()), beyondReach) // it is the best served one all the same
	m.shares.accounts[1].unread = 0
	m.Count(3, 2*asked, 1.2*m.Usage(1).Begun)
	m.CountUnread(1, 0.1*asked)
	is.Equal(m.standingOf(1, m.levels()), beyondReach) // its other callers may reach others
	m.CountUnread(1, 0.6*asked)
	is.True(m.standingOf(1, m.levels()) != beyondReach)
	for range 2 * samples { // now its router has time for all of it
		m.Count(1, asked/float64(samples), 0)
		m.now += sampleEvery
		m.Sample(m.now)
	}
	is.True(!m.shares.accounts[1].heldUpHere())
}
