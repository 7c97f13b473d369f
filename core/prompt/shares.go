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
	seen int              // how many entries there are
}

// inWindow returns the amounts of the window.
func (h *history) inWindow() Amounts {
	oldest := h.past[(h.last+1)%samples]
	if h.seen < samples {
		oldest = h.past[(h.last+samples-h.seen+1)%samples]
	}
	if h.seen == 0 {
		return Amounts{}
	}
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
	h.now.Asked += max(a.Asked-h.told.Asked, 0)
	h.now.Begun += max(a.Begun-h.told.Begun, 0)
	h.told = a
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
			h.seen = min(h.seen+1, samples)
		}
	}
}

// share returns the max-min share of an account that asks for enough, in tokens
// of the window; enough tells whether there is enough for all.
func (m *Machine) share() (level float64, enough bool) {
	capacity := m.config.TokensPerSecond * window.Seconds() * m.config.Tuning.Share
	if capacity <= 0 {
		return 0, true
	}
	var asked []float64
	sum := 0.0
	for _, h := range m.shares.accounts {
		a := h.inWindow().Asked
		if a > 0 {
			asked = append(asked, a)
			sum += a
		}
	}
	if sum <= capacity {
		return capacity, true
	}
	slices.Sort(asked)
	left := capacity
	for i, a := range asked {
		even := left / float64(len(asked)-i)
		if a > even {
			return even, false
		}
		left -= a
	}
	return left, true
}

// had returns what part of the level an account has begun in the window.
func (m *Machine) had(account model.AccountID, level float64) float64 {
	h := m.shares.accounts[account]
	if h == nil || level <= 0 {
		return 0
	}
	return h.inWindow().Begun / level
}
