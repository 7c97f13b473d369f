package prompt

import (
	"slices"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

const (
	// window is the time over which shares are counted.
	window = 4 * time.Second
	// sampleEvery is how often the accounts' amounts are sampled.
	sampleEvery = 250 * time.Millisecond
	samples     = int(window/sampleEvery) + 1
)

// Amounts are what an account has asked for and what has begun of it over the
// fleet, in tokens, since a start that doesn't matter.
type Amounts struct {
	Asked float64
	Begun float64
}

// history holds an account's amounts over the window.
type history struct {
	now  Amounts
	told Amounts          // as last told, which begins anew with another ledger
	past [samples]Amounts // a ring
	last int              // the newest entry
	// rebased is set where the next amounts only say from where to count on.
	rebased bool
}

// inWindow returns the amounts of the window. Entries that aren't filled yet are
// zero, as the amounts are when the history begins.
func (h *history) inWindow() Amounts {
	oldest := h.past[(h.last+1)%samples]
	return Amounts{Asked: max(h.now.Asked-oldest.Asked, 0), Begun: max(h.now.Begun-oldest.Begun, 0)}
}

// shares knows the max-min share of each account.
type shares struct {
	accounts map[model.AccountID]*history
	sampled  model.Time
}

func newShares() shares { return shares{accounts: map[model.AccountID]*history{}} }

// Observe takes an account's amounts.
func (m *Machine) Observe(account model.AccountID, a Amounts) {
	h := m.shares.accounts[account]
	if h == nil {
		h = &history{told: a}
		m.shares.accounts[account] = h
	}
	if h.rebased {
		h.rebased = false
		h.told = a
		return
	}
	h.now.Asked += max(a.Asked-h.told.Asked, 0)
	h.now.Begun += max(a.Begun-h.told.Begun, 0)
	h.told = a
}

// Rebase makes the next amounts of each account those to count on from: the ledger
// holds another view of the fleet from now on.
func (m *Machine) Rebase() {
	for _, h := range m.shares.accounts {
		h.rebased = true
	}
}

// Amounts returns what an account has asked for, and what has begun of it, in the
// window.
func (m *Machine) Amounts(account model.AccountID) Amounts {
	if h := m.shares.accounts[account]; h != nil {
		return h.inWindow()
	}
	return Amounts{}
}

// Sample lets the window move on; it is due as often as sampleEvery.
func (m *Machine) Sample(now model.Time) {
	for now >= m.shares.sampled+sampleEvery {
		m.shares.sampled += sampleEvery
		if now >= m.shares.sampled+window {
			m.shares.sampled = now
		}
		for _, h := range m.shares.accounts {
			h.last = (h.last + 1) % samples
			h.past[h.last] = h.now
		}
	}
}

// levels are the max-min shares of accounts that ask for more, in tokens of the
// window.
type levels struct {
	// owed is the share of what the engines are said to make, or a part of what the
	// account that has had the most has begun, where that is more; real is the share
	// of what has begun in the window, where that is more still.
	owed, real float64
	enough     bool // there is enough for all
}

// levels works out the shares.
func (m *Machine) levels() levels {
	capacity := m.config.TokensPerSecond * window.Seconds() * m.config.Tuning.Share
	if capacity <= 0 {
		return levels{enough: true}
	}
	var asked []float64
	begun, best := 0.0, 0.0
	for _, h := range m.shares.accounts {
		a := h.inWindow()
		begun += a.Begun
		best = max(best, a.Begun)
		if a.Asked > 0 {
			asked = append(asked, a.Asked)
		}
	}
	slices.Sort(asked)
	var out levels
	out.owed, out.enough = maxMin(asked, capacity)
	out.owed = max(out.owed+m.config.Tuning.Slack*capacity, m.config.Tuning.BestPart*best)
	out.real, _ = maxMin(asked, max(begun*m.config.Tuning.RealFactor, capacity))
	out.real = max(out.real, out.owed)
	return out
}

// maxMin returns the even share of those that ask for more than it, where
// everybody else gets all they ask for; enough tells whether all do. asked is
// sorted.
func maxMin(asked []float64, capacity float64) (share float64, enough bool) {
	left := capacity
	for i, a := range asked {
		even := left / float64(len(asked)-i)
		if a > even {
			return even, false
		}
		left -= a
	}
	return capacity, true
}

// standing is how an account stands to its share.
type standing uint8

const (
	within  standing = iota // of what it is owed
	over                    // beyond that, within an even part of what really goes
	farOver                 // beyond both
)

// standingOf returns how an account stands.
func (m *Machine) standingOf(account model.AccountID, l levels) standing {
	h := m.shares.accounts[account]
	if h == nil || l.enough {
		return within
	}
	switch begun := h.inWindow().Begun; {
	case begun <= l.owed:
		return within
	case begun <= l.real:
		return over
	}
	return farOver
}

// had returns what part of the level an account has begun in the window.
func (m *Machine) had(account model.AccountID, level float64) float64 {
	h := m.shares.accounts[account]
	if h == nil || level <= 0 {
		return 0
	}
	return h.inWindow().Begun / level
}
