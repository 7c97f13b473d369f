package prompt

import (
	"math"
	"math/bits"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

const (
	// window is the period over which shares are computed.
	window = 4 * time.Second
	// burst is another, shorter period over which shares are computed, so that no account starts its share of a
	// whole window at once: engines cannot process it, and a share that others have started before leaves no room to
	// accounts that come later, though the window would allow them more. With a whole second, its first half is over
	// before routers receive each other's reports: of 24 emulated cold starts with a busy router, 14 gave an account
	// less than half of its share, and 4 do with half a second.
	burst = 500 * time.Millisecond
	// sampleInterval is the interval at which the accounts' usage is sampled.
	sampleInterval = 250 * time.Millisecond
	samples        = int(window/sampleInterval) + 1
	burstSamples   = int(burst / sampleInterval)
)

// Usage is how many tokens an account has requested and how many of these have been started. Only differences between
// two values are meaningful.
type Usage struct {
	Requested float64
	Started   float64
}

// history holds an account's usage over the window.
type history struct {
	total          Usage          // of all routers, as far as reported
	unreported     Usage          // of this router, not yet reported to the others
	ring           [samples]Usage // ring buffer of samples of total
	newest         int            // index of the newest sample
	refusedUnread  float64        // tokens refused unread by this router within about one window; decays
	limitedSamples uint32         // samples at which the account was limited, the newest in the lowest bit
}

// minLimitedSamples is the number of samples in the window from which an account counts as recently limited. A single
// sample can be chance: when little is started for a moment, the limit is below what any account has started. With
// one sample, the account behind a busy router counted as limited for a whole window, and the account that had
// started most had no limit (16 of 24 emulated runs gave small accounts less than half; 4 do with this value).
const minLimitedSamples = 4

// recentlyLimited reports whether the account has started little because it was limited.
func (h *history) recentlyLimited() bool {
	return bits.OnesCount32(h.limitedSamples&(1<<samples-1)) >= minLimitedSamples
}

// inWindow returns the usage within the window. Entries of the ring that are not filled yet are zero, which is the
// usage at the beginning of the history.
func (h *history) inWindow() Usage {
	oldest := h.ring[(h.newest+1)%samples]
	return Usage{Requested: max(h.total.Requested-oldest.Requested, 0), Started: max(h.total.Started-oldest.Started, 0)}
}

// inBurst returns the usage within the burst period, less up to one sample interval.
func (h *history) inBurst() Usage {
	oldest := h.ring[(h.newest+samples+1-burstSamples)%samples]
	return Usage{Requested: max(h.total.Requested-oldest.Requested, 0), Started: max(h.total.Started-oldest.Started, 0)}
}

// shares computes the max-min share of each account. Each router counts what is requested and started for an account
// locally and adds the other routers' load reports. A router that has just started only has what was reported since.
type shares struct {
	accounts    map[model.AccountID]*history
	order       []model.AccountID // in order of first use
	largestCost float64           // cost of the largest recent request, in tokens; decays
	lastSample  model.Time
	lastIdle    model.Time // newest sample without any demand in its window
}

func newShares() shares { return shares{accounts: map[model.AccountID]*history{}} }

// historyOf returns an account's history and creates it if necessary.
func (s *shares) historyOf(account model.AccountID) *history {
	h := s.accounts[account]
	if h == nil {
		h = &history{}
		s.accounts[account] = h
		s.order = append(s.order, account)
	}
	return h
}

// AddUsage adds to the tokens that an account has requested at this router and to those started. A negative value of
// started returns the cost of a request that was not run in the end.
func (m *Machine) AddUsage(account model.AccountID, requested, started float64) {
	h := m.shares.historyOf(account)
	h.total.add(Usage{requested, started})
	h.unreported.add(Usage{requested, started})
}

// AddRefusedUnread adds tokens of requests that this router refused unread to what an account has requested.
func (m *Machine) AddRefusedUnread(account model.AccountID, requested float64) {
	m.AddUsage(account, requested, 0)
	m.shares.historyOf(account).refusedUnread += requested
}

// refusedUnreadFraction is the fraction of an account's requested tokens from which on a router that refuses them
// unread is considered the account's bottleneck.
const refusedUnreadFraction = 0.25

// isLocallyConstrained reports whether this router is too busy for what the account requests. What the account starts
// here then does not prevent other accounts from reaching the same share.
func (h *history) isLocallyConstrained() bool {
	return h.refusedUnread > refusedUnreadFraction*h.inWindow().Requested
}

func (a *Usage) add(b Usage) {
	a.Requested += b.Requested
	a.Started += b.Started
}

// AccountIncrement is what an account has requested and started at a router since the report before, in tokens.
type AccountIncrement struct {
	Account   model.AccountID
	Requested int64
	Started   int64
}

// takeIncrement returns the usage of an account that has not been reported to the other routers, and marks it as
// reported.
func (h *history) takeIncrement(account model.AccountID) (AccountIncrement, bool) {
	n := AccountIncrement{Account: account, Requested: int64(h.unreported.Requested), Started: int64(h.unreported.Started)}
	h.unreported.add(Usage{-float64(n.Requested), -float64(n.Started)})
	return n, n.Requested != 0 || n.Started != 0
}

// Usage returns what an account has requested and started in the window.
func (m *Machine) Usage(account model.AccountID) Usage {
	if h := m.shares.accounts[account]; h != nil {
		return h.inWindow()
	}
	return Usage{}
}

// TotalStarted returns the tokens that an account has started on all routers since this router's start, as far as
// reported.
func (m *Machine) TotalStarted(account model.AccountID) float64 {
	if h := m.shares.accounts[account]; h != nil {
		return h.total.Started
	}
	return 0
}

// Sample advances the window. It must be called at least every sampleInterval.
func (m *Machine) Sample(now model.Time) {
	for now >= m.shares.lastSample+sampleInterval {
		elapsed := sampleInterval
		m.shares.lastSample += sampleInterval
		if now >= m.shares.lastSample+window {
			elapsed += now - m.shares.lastSample
			m.shares.lastSample = now
		}
		requested := 0.0
		for _, h := range m.shares.accounts {
			requested += h.inWindow().Requested
			h.refusedUnread *= refusedUnreadDecay
			h.newest = (h.newest + 1) % samples
			h.ring[h.newest] = h.total
		}
		if requested == 0 {
			m.shares.lastIdle = m.shares.lastSample
		}
		m.recordLimited()
		m.decay(elapsed)
		m.expireRunning()
		m.enableCold()
	}
}

// refusedUnreadDecay is the factor by which refusedUnread decays per sample.
const refusedUnreadDecay = 1 - float64(sampleInterval)/float64(window)

// largestCostDecay is the time constant with which the cost of the largest request decays.
const largestCostDecay = 10 * time.Second

// decayLargestCost reduces the cost of the largest request for the time elapsed.
func (s *shares) decayLargestCost(elapsed time.Duration) {
	s.largestCost *= math.Exp(-elapsed.Seconds() / largestCostDecay.Seconds())
}
