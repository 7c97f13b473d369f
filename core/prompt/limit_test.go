package prompt

import (
	"testing"

	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/model"
)

// constrained returns a machine of many engines and the share status of account 1. Account 1 has started much, and
// account 2, with the given demand, the given fraction of that, both at a steady rate over a window.
func constrained(requested, fraction float64) (*Machine, shareStatus) {
	m := newMachine(9)
	m.Sample(0)
	each := m.config.TokensPerSecond * sampleInterval.Seconds()
	now := model.Time(0)
	for range samples {
		m.AddUsage(1, 3*each, 1.2*each)
		m.AddUsage(2, requested*each, fraction*1.2*each)
		now += sampleInterval
		m.now = now
		m.Sample(now)
	}
	return m, m.shareStatusOf(1, m.levels())
}

// TestConstrainedAccountLimitsOthers has an account that is served by idle engines get far ahead of one with as much
// demand that is constrained at its router.
func TestConstrainedAccountLimitsOthers(t *testing.T) {
	is := is.New(t)
	m, status := constrained(3, 0.4)
	is.Equal(status, statusLimited)
	m.Arrive(m.now, newRequest(1, 1, 7, 100))
	_, refused := m.TakeActions()[0].(Refuse) // although the engines are idle
	is.True(refused)
	is.Equal(m.shareStatusOf(2, m.levels()), statusWithin)
}

// TestLimitRequiresEqualDemand has the other account start almost as much, request little, or start nothing at all.
func TestLimitRequiresEqualDemand(t *testing.T) {
	is := is.New(t)
	_, status := constrained(3, 0.9)
	is.True(status != statusLimited)
	_, status = constrained(0.5, 0.4)
	is.True(status != statusLimited)
	_, status = constrained(3, 0)
	is.True(status != statusLimited)
}

// TestLimitedAccountDoesNotLimitOthers has the limited account start little for a while, which must not limit the
// other one.
func TestLimitedAccountDoesNotLimitOthers(t *testing.T) {
	is := is.New(t)
	m, status := constrained(3, 0.4)
	is.Equal(status, statusLimited)
	each := m.config.TokensPerSecond * sampleInterval.Seconds()
	for range samples - 3 {
		m.AddUsage(1, 3*each, 0.05*each)
		m.AddUsage(2, 3*each, 0.5*each)
		m.now += sampleInterval
		m.Sample(m.now)
	}
	is.True(m.shareStatusOf(2, m.levels()) != statusLimited)
}

// TestLimitedAccountKeepsBurstMinimum guards against accounts being refused entirely for up to two seconds when
// others begin to send requests, because of what they had started in the window before,
// however little they had started recently.
func TestLimitedAccountKeepsBurstMinimum(t *testing.T) {
	is := is.New(t)
	m, status := constrained(3, 0.4)
	is.Equal(status, statusLimited)
	each := m.config.TokensPerSecond * sampleInterval.Seconds()
	for range burstSamples + 1 {
		m.AddUsage(1, 3*each, 0)
		m.AddUsage(2, 3*each, 0.48*each)
		m.now += sampleInterval
		m.Sample(m.now)
	}
	l := m.levels()
	is.True(m.shares.accounts[1].isLimited(l))
	is.True(m.shareStatusOf(1, l) != statusLimited)
	is.True(!m.shares.accounts[2].recentlyLimited())
	m.AddUsage(1, 0, 2*l.burstMinimum)
	is.Equal(m.shareStatusOf(1, m.levels()), statusLimited)
}

// TestSingleLimitedSampleIsIgnored has the constrained account be limited for one sample, as little has been started
// recently: it must still limit the other one.
func TestSingleLimitedSampleIsIgnored(t *testing.T) {
	is := is.New(t)
	m, _ := constrained(3, 0.4)
	each := m.config.TokensPerSecond * sampleInterval.Seconds()
	m.shares.accounts[2].limitedSamples |= 1
	for range 3 {
		m.AddUsage(1, 3*each, 1.2*each)
		m.AddUsage(2, 3*each, 0.48*each)
		m.now += sampleInterval
		m.Sample(m.now)
	}
	is.Equal(m.shareStatusOf(1, m.levels()), statusLimited)
	m.shares.accounts[2].limitedSamples |= 0b11110000
	is.True(m.shareStatusOf(1, m.levels()) != statusLimited) // the limit is why it has started little
}

// TestLimitAppliesAtStart has an account that is served by many routers start much in the first second after an idle
// period, for which the capacity of the window suffices.
func TestLimitAppliesAtStart(t *testing.T) {
	is := is.New(t)
	m := newMachine(9)
	second := m.config.TokensPerSecond
	m.Sample(0)
	now := model.Time(0)
	for range 3 {
		m.AddUsage(1, 0.5*second, 0.2*second)
		m.AddUsage(2, 0.5*second, 0.03*second)
		now += sampleInterval
		m.now = now
		m.Sample(now)
	}
	l := m.levels()
	is.True(l.sufficient && !l.activeSufficient)
	is.Equal(m.shareStatusOf(1, l), statusLimited)
	is.True(m.shareStatusOf(2, l) != statusLimited)
}

// TestLimitDoesNotApplyBelowFloor has a third account start far less than the second one: this limits the account
// that has started most, but not the second one, which is behind it.
func TestLimitDoesNotApplyBelowFloor(t *testing.T) {
	is := is.New(t)
	m := newMachine(9)
	m.Sample(0)
	each := m.config.TokensPerSecond * sampleInterval.Seconds()
	for range samples {
		m.AddUsage(1, 3*each, 1.2*each)
		m.AddUsage(2, 3*each, 0.6*each)
		m.AddUsage(3, 3*each, 0.2*each)
		m.now += sampleInterval
		m.Sample(m.now)
	}
	l := m.levels()
	is.True(m.Usage(2).Started > l.windowLimit) // over the limit
	is.Equal(m.shareStatusOf(1, l), statusLimited)
	is.Equal(m.shareStatusOf(2, l), statusWithin)
	is.Equal(m.shareStatusOf(3, l), statusWithin)
}

// TestLocallyConstrainedAccountIsNotLimited guards against an account being refused entirely for a second and a half
// when others begin to send requests, at the only router that its callers use, which had time for a twentieth of its
// requests.
func TestLocallyConstrainedAccountIsNotLimited(t *testing.T) {
	is := is.New(t)
	m, status := constrained(3, 0.4)
	is.Equal(status, statusLimited)
	requested := m.Usage(1).Requested
	m.AddRefusedUnread(1, 0.8*requested)
	is.Equal(m.shareStatusOf(1, m.levels()), statusLimited) // it has still started most
	m.shares.accounts[1].refusedUnread = 0
	m.AddUsage(3, 2*requested, 1.2*m.Usage(1).Started)
	m.AddRefusedUnread(1, 0.1*requested)
	is.Equal(m.shareStatusOf(1, m.levels()), statusLimited) // other routers may serve its other callers
	m.AddRefusedUnread(1, 0.6*requested)
	is.True(m.shareStatusOf(1, m.levels()) != statusLimited)
	for range 2 * samples { // now its router has time for all its requests
		m.AddUsage(1, requested/float64(samples), 0)
		m.now += sampleInterval
		m.Sample(m.now)
	}
	is.True(!m.shares.accounts[1].isLocallyConstrained())
}
