package prompt

import (
	"slices"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

// levels holds the max-min shares and limits that apply to all accounts, in tokens of the window unless stated
// otherwise.
type levels struct {
	// fairShare is the share of the configured capacity, or a fraction of what the account that has started most has
	// started, whichever is larger. observedShare is the share of what has been started in the window, if that is
	// larger still.
	fairShare, observedShare float64
	sufficient               bool // the capacity suffices for all demand
	// burstShare is the share of the capacity of a burst period. burstSufficient reports whether that capacity
	// suffices for all demand.
	burstShare      float64
	burstSufficient bool
	// windowLimit is the most that an account may start in the window regardless of idle capacity, so that
	// constrained accounts do not fall too far behind. burstLimit is the same for a burst period.
	windowLimit, burstLimit float64
	// windowLimitFloor is what an account must have started in the window for windowLimit to apply to it, and
	// burstLimitFloor the same for a burst period. An account that is behind the one that has started most does not
	// prevent others from catching up.
	windowLimitFloor, burstLimitFloor float64
	// burstMinimum is what an account may start in a burst period even if a limit applies to it.
	burstMinimum float64
	mostStarted  float64 // most that any account has started in the window
	// activeSufficient reports whether the capacity suffices for all demand in the part of the window that had any.
	// At a cold start, the capacity of the whole window is sufficient for seconds, though engines cannot have
	// processed that much yet.
	activeSufficient bool
}

// levels computes the shares and limits.
func (m *Machine) levels() levels {
	capacity := m.config.TokensPerSecond * m.usableFraction * window.Seconds() * m.config.Tuning.CapacityFraction
	if capacity <= 0 {
		return levels{sufficient: true, burstSufficient: true, activeSufficient: true}
	}
	t := &m.config.Tuning
	inWindow, inBurst := m.shares.demandOver((*history).inWindow), m.shares.demandOver((*history).inBurst)
	var out levels
	out.fairShare, out.sufficient = maxMin(inWindow.requested, capacity)
	span := m.activeSpan()
	var activeShare float64
	activeShare, out.activeSufficient = maxMin(inWindow.requested, capacity*span.Seconds()/window.Seconds())
	out.mostStarted = inWindow.mostStarted
	out.windowLimitFloor, out.burstLimitFloor = t.ConstrainedFraction*inWindow.mostStarted, t.ConstrainedFraction*inBurst.mostStarted
	out.windowLimit = max(t.GuaranteedFraction*activeShare, m.fairnessLimit((*history).inWindow, inWindow.mostStarted, span))
	out.fairShare = max(out.fairShare+t.ShareSlack*capacity, t.MostStartedFraction*inWindow.mostStarted)
	out.observedShare, _ = maxMin(inWindow.requested, max(inWindow.started*t.ObservedCapacityFactor, capacity))
	out.observedShare = max(out.observedShare, out.fairShare)
	burstCapacity := max(inWindow.started, capacity) * burst.Seconds() / window.Seconds()
	out.burstShare, out.burstSufficient = maxMin(inBurst.requested, burstCapacity)
	out.burstMinimum = burstMinimumFraction * out.burstShare
	ratedBurstShare, _ := maxMin(inBurst.requested, capacity*burst.Seconds()/window.Seconds())
	out.burstLimit = max(t.GuaranteedFraction*ratedBurstShare, m.fairnessLimit((*history).inBurst, inBurst.mostStarted, burst))
	out.burstShare = max(out.burstShare, t.MostStartedFraction*inBurst.mostStarted)
	return out
}

// activeSpan returns the length of the part of the window with demand. Engines that were idle before cannot have
// processed more in it than their rate allows.
func (m *Machine) activeSpan() time.Duration {
	return min(max(m.now-m.shares.lastIdle, burst), window)
}

// fairnessLimit returns the most that an account may have started in a period, so that constrained accounts have started
// at least LimitFraction of it, less their largest requests. An account is constrained if it has requested as much as
// the account that has started most has started, has itself started less than ConstrainedFraction of that, and is not
// limited itself; for example, because all its callers use one router that lacks processor time. Without the limit,
// an account served by 295 other routers goes on using idle capacity: on a day of the heaviest load it started 2.4
// times as much as one behind a router of 0.192 cores. An account that starts nothing at all is not considered.
func (m *Machine) fairnessLimit(usageOf func(*history) Usage, mostStarted float64, period time.Duration) float64 {
	t := &m.config.Tuning
	allowance := requestAllowance * m.shares.largestCost * period.Seconds() / comparisonPeriod.Seconds()
	out := mostStarted
	for _, account := range m.shares.order {
		h := m.shares.accounts[account]
		if h.inBurst().Started <= 0 || h.recentlyLimited() {
			continue
		}
		u := usageOf(h)
		if u.Requested >= mostStarted && u.Started/t.ConstrainedFraction+allowance < mostStarted {
			out = min(out, u.Started/t.LimitFraction+allowance)
		}
	}
	return out
}

// recordLimited records which accounts are limited, as an account that starts little for this reason is not
// constrained.
func (m *Machine) recordLimited() {
	l := m.levels()
	for _, account := range m.shares.order {
		h := m.shares.accounts[account]
		h.limitedSamples <<= 1
		if h.isLimited(l) {
			h.limitedSamples |= 1
		}
	}
}

// comparisonPeriod is the period over which users compare accounts.
const comparisonPeriod = 6 * time.Second

// requestAllowance is how many of its largest requests an account may be short of without being constrained; a
// difference of some requests can be chance.
const requestAllowance = 3

// demand is what all accounts together have requested and started within a period, in tokens.
type demand struct {
	requested   []float64 // of each account that has requested anything, sorted
	started     float64
	mostStarted float64 // most that any account has started
}

// demandOver sums up the usage that a function returns for each account.
func (s *shares) demandOver(usageOf func(*history) Usage) demand {
	var out demand
	for _, account := range s.order {
		a := usageOf(s.accounts[account])
		out.started += a.Started
		out.mostStarted = max(out.mostStarted, a.Started)
		if a.Requested > 0 {
			out.requested = append(out.requested, a.Requested)
		}
	}
	slices.Sort(out.requested)
	return out
}

// maxMin returns the max-min share: accounts that request less than it get everything, and the others get the share.
// sufficient reports whether all get everything. The requested amounts must be sorted.
func maxMin(requested []float64, capacity float64) (share float64, sufficient bool) {
	left := capacity
	for i, a := range requested {
		even := left / float64(len(requested)-i)
		if a > even {
			return even, false
		}
		left -= a
	}
	return capacity, true
}

// shareStatus classifies what an account has started relative to its share.
type shareStatus uint8

const (
	statusWithin  shareStatus = iota // at most fairShare
	statusOver                       // over fairShare or burstShare, but at most observedShare
	statusFarOver                    // over observedShare
	statusLimited                    // over a limit that keeps constrained accounts from falling too far behind
)

// String returns the status as it appears in log lines.
func (s shareStatus) String() string {
	return [...]string{statusWithin: "within", statusOver: "over", statusFarOver: "far-over", statusLimited: "beyond-reach"}[s]
}

// burstMinimumFraction is the fraction of its burst share that an account may start regardless of what it has started
// in the window. Users compare accounts by the second, and an account that is refused entirely until the window has
// passed gets nothing for seconds.
const burstMinimumFraction = 0.1

// isLimited reports whether an account has started as much as a limit allows.
func (h *history) isLimited(l levels) bool {
	started, recent := h.inWindow().Started, h.inBurst().Started
	if started < l.mostStarted && h.isLocallyConstrained() {
		return false
	}
	return !l.activeSufficient && started > max(l.windowLimit, l.windowLimitFloor) ||
		!l.burstSufficient && recent > max(l.burstLimit, l.burstLimitFloor)
}

// shareStatusOf returns the share status of an account.
func (m *Machine) shareStatusOf(account model.AccountID, l levels) shareStatus {
	h := m.shares.accounts[account]
	if h == nil {
		return statusWithin
	}
	started, recent := h.inWindow().Started, h.inBurst().Started
	switch {
	case recent > l.burstMinimum && h.isLimited(l):
		return statusLimited
	case !l.sufficient && started > l.observedShare:
		return statusFarOver
	case !l.sufficient && started > l.fairShare, !l.burstSufficient && recent > l.burstShare:
		return statusOver
	}
	return statusWithin
}

// recentStartedFraction returns the fraction of its burst share that an account has started.
func (m *Machine) recentStartedFraction(account model.AccountID, l levels) float64 {
	h := m.shares.accounts[account]
	if h == nil || l.burstShare <= 0 {
		return 0
	}
	return h.inBurst().Started / l.burstShare
}

// startedFraction returns the fraction of a share that an account has started in the window.
func (m *Machine) startedFraction(account model.AccountID, share float64) float64 {
	h := m.shares.accounts[account]
	if h == nil || share <= 0 {
		return 0
	}
	return h.inWindow().Started / share
}
