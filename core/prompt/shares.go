package prompt

import (
	"math"
	"math/bits"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

const (
	// window is the time over which shares are counted.
	window = 4 * time.Second
	// burst is the time over which they are counted as well, so that nobody begins the
	// whole window's share at once: engines can't, and a share that others have begun
	// before leaves those that come later no room, though the window has it. Over a whole second, the
	// first half of it is over before routers know of each other's: of 24 emulated cold starts with a busy
	// router 14 gave an account less than half of its part, and 4 do with half a second.
	burst = 500 * time.Millisecond
	// sampleEvery is how often the accounts' amounts are sampled.
	sampleEvery = 250 * time.Millisecond
	samples     = int(window/sampleEvery) + 1
	inBurst     = int(burst / sampleEvery)
)

// Usage are what an account has asked for and what has begun of it, in tokens, since a
// start that doesn't matter.
type Usage struct {
	Asked float64
	Begun float64
}

// history holds an account's amounts over the window.
type history struct {
	now    Usage          // over the fleet, as far as known
	untold Usage          // of this router, that the others don't know of
	past   [samples]Usage // of now: a ring
	last   int            // the newest entry
	unread float64        // of what was asked for here, turned away unread in the time of a window; fades
	held   uint32         // samples at which it was held back as beyond reach, the newest in the lowest bit
}

// heldFrom is in how many samples of the window an account was beyond reach that counts as held back.
// One sample is chance: where little begins for a moment, the bound is below what anybody has begun. With one
// being enough, the account behind a busy router counted as held back for a whole window, and
// the best served one went on without any bound (16 of 24 emulated runs below half, 4 now, of small accounts).
const heldFrom = 4

// heldBack tells whether it is because the account was held back that it has begun little.
func (h *history) heldBack() bool {
	return bits.OnesCount32(h.held&(1<<samples-1)) >= heldFrom
}

// inWindow returns the amounts of the window. Entries that aren't filled yet are
// zero, as the amounts are when the history begins.
func (h *history) inWindow() Usage {
	oldest := h.past[(h.last+1)%samples]
	return Usage{Asked: max(h.now.Asked-oldest.Asked, 0), Begun: max(h.now.Begun-oldest.Begun, 0)}
}

// lately returns the amounts of the time of a burst, less up to one sample.
func (h *history) lately() Usage {
	then := h.past[(h.last+samples+1-inBurst)%samples]
	return Usage{Asked: max(h.now.Asked-then.Asked, 0), Begun: max(h.now.Begun-then.Begun, 0)}
}

// shares knows the max-min share of each account. Each router counts what it has itself
// asked and begun for an account, and the others' from their load reports. A router that has
// just started knows of no more than what it has heard since.
type shares struct {
	accounts map[model.AccountID]*history
	order    []model.AccountID // as they were first seen
	largest  float64           // cost of the largest request of late, in tokens; fades
	sampled  model.Time
	idle     model.Time // the newest sample at which nothing had been asked for in the window
}

func newShares() shares { return shares{accounts: map[model.AccountID]*history{}} }

// of returns an account's history.
func (s *shares) of(account model.AccountID) *history {
	h := s.accounts[account]
	if h == nil {
		h = &history{}
		s.accounts[account] = h
		s.order = append(s.order, account)
	}
	return h
}

// Count adds to what an account has asked for at this router, and to what has begun of
// it, in tokens. Of what wasn't run in the end, begun takes the cost back.
func (m *Machine) Count(account model.AccountID, asked, begun float64) {
	h := m.shares.of(account)
	h.now.add(Usage{asked, begun})
	h.untold.add(Usage{asked, begun})
}

// CountUnread adds to what an account has asked for at this router what was turned away unread, in tokens.
func (m *Machine) CountUnread(account model.AccountID, asked float64) {
	m.Count(account, asked, 0)
	m.shares.of(account).unread += asked
}

// unreadPart is the part of all that an account asks for that one router turns away unread, from which
// on that router is what holds the account up.
const unreadPart = 0.25

// heldUpHere tells whether it is this router that has no time for what the account asks for: what it may
// begin here keeps nobody from following.
func (h *history) heldUpHere() bool { return h.unread > unreadPart*h.inWindow().Asked }

func (a *Usage) add(b Usage) {
	a.Asked += b.Asked
	a.Begun += b.Begun
}

// AccountIncrement is what an account has newly asked for at a router, and what has begun
// of it, in tokens.
type AccountIncrement struct {
	Account model.AccountID
	Asked   int64
	Begun   int64
}

// tell returns what the other routers don't know of an account, and takes it as told.
func (h *history) tell(account model.AccountID) (AccountIncrement, bool) {
	n := AccountIncrement{Account: account, Asked: int64(h.untold.Asked), Begun: int64(h.untold.Begun)}
	h.untold.add(Usage{-float64(n.Asked), -float64(n.Begun)})
	return n, n.Asked != 0 || n.Begun != 0
}

// Usage returns what an account has asked for, and what has begun of it, in the
// window.
func (m *Machine) Usage(account model.AccountID) Usage {
	if h := m.shares.accounts[account]; h != nil {
		return h.inWindow()
	}
	return Usage{}
}

// Begun returns what has begun of an account over the fleet since this router's start, in
// tokens, as far as it has heard.
func (m *Machine) Begun(account model.AccountID) float64 {
	if h := m.shares.accounts[account]; h != nil {
		return h.now.Begun
	}
	return 0
}

// Sample lets the window move on; it is due as often as sampleEvery.
func (m *Machine) Sample(now model.Time) {
	for now >= m.shares.sampled+sampleEvery {
		passed := sampleEvery
		m.shares.sampled += sampleEvery
		if now >= m.shares.sampled+window {
			passed += now - m.shares.sampled
			m.shares.sampled = now
		}
		asked := 0.0
		for _, h := range m.shares.accounts {
			asked += h.inWindow().Asked
			h.unread *= unreadKept
			h.last = (h.last + 1) % samples
			h.past[h.last] = h.now
		}
		if asked == 0 {
			m.shares.idle = m.shares.sampled
		}
		m.noteHeld()
		m.fade(passed)
		m.forgetUnheard()
		m.endColdQuiet()
	}
}

// unreadKept is what is left from one sample to the next of what was turned away unread.
const unreadKept = 1 - float64(sampleEvery)/float64(window)

// largestFade is how long the largest request counts, fading.
const largestFade = 10 * time.Second

// fadeLargest lets the size of the largest request fade.
func (s *shares) fadeLargest(passed time.Duration) {
	s.largest *= math.Exp(-passed.Seconds() / largestFade.Seconds())
}
