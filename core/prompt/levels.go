package prompt

import (
	"slices"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

// levels are the max-min shares of accounts that ask for more, in tokens of the
// window.
type levels struct {
	// owed is the share of what the engines are said to make, or a part of what the
	// account that has had the most has begun, where that is more; real is the share
	// of what has begun in the window, where that is more still.
	owed, real float64
	enough     bool // there is enough for all
	// even is the share of what is made in the time of a burst; plenty tells that there
	// is enough for all then.
	even   float64
	plenty bool
	// bound is what an account may begin in the window at the most, whatever idles, for others that
	// are held up to stay within reach; brief is the same of the time of a burst.
	bound, brief float64
	// ahead is what an account must have begun in the window for that bound to hold for it, and aheadLately
	// in the time of a burst: one that is behind the best served one itself keeps nobody from following.
	ahead, aheadLately float64
	// goOn is what an account may begin in the time of a burst though that bound holds for it.
	goOn float64
	best float64 // what the best served account has begun in the window
	// spare tells that there is enough for all in the part of the window in which anything was asked
	// for. At a cold start the whole window has enough for seconds, though engines can't make it yet.
	spare bool
}

// levels works out the shares.
func (m *Machine) levels() levels {
	capacity := m.config.TokensPerSecond * m.usable * window.Seconds() * m.config.Tuning.Share
	if capacity <= 0 {
		return levels{enough: true, plenty: true, spare: true}
	}
	t := &m.config.Tuning
	all, lately := m.shares.demandOver((*history).inWindow), m.shares.demandOver((*history).lately)
	var out levels
	out.owed, out.enough = maxMin(all.asked, capacity)
	span := m.span()
	var kept float64
	kept, out.spare = maxMin(all.asked, capacity*span.Seconds()/window.Seconds())
	out.best = all.best
	out.ahead, out.aheadLately = t.BehindPart*all.best, t.BehindPart*lately.best
	out.bound = max(t.KeepPart*kept, m.reach((*history).inWindow, all.best, span))
	out.owed = max(out.owed+t.Slack*capacity, t.BestPart*all.best)
	out.real, _ = maxMin(all.asked, max(all.begun*t.RealFactor, capacity))
	out.real = max(out.real, out.owed)
	made := max(all.begun, capacity) * burst.Seconds() / window.Seconds()
	out.even, out.plenty = maxMin(lately.asked, made)
	out.goOn = goOnPart * out.even
	owed, _ := maxMin(lately.asked, capacity*burst.Seconds()/window.Seconds())
	out.brief = max(t.KeepPart*owed, m.reach((*history).lately, lately.best, burst))
	out.even = max(out.even, t.BestPart*lately.best)
	return out
}

// span is the part of the window in which anything was asked for: engines that have idled before can't
// have made more in it than their rate.
func (m *Machine) span() time.Duration {
	return min(max(m.now-m.shares.idle, burst), window)
}

// reach returns the most that an account may have begun, of amounts over some time, for others that
// are held up to have begun the part ReachPart of it, less their largest requests. Held up are those
// that ask for as much as the best served one has begun, have begun less than the part BehindPart of
// that, and aren't held back themselves: all their callers reach one router, say, whose processor isn't
// enough for more. An account that 295 routers send else goes on taking what idles: on a day of the
// heaviest load it began 2.4 times what one behind a router of 0.192 cores did. One that gets nothing at
// all isn't waited for.
func (m *Machine) reach(amounts func(*history) Usage, best float64, over time.Duration) float64 {
	t := &m.config.Tuning
	left := largestLeft * m.shares.largest * over.Seconds() / compared.Seconds()
	out := best
	for _, account := range m.shares.order {
		h := m.shares.accounts[account]
		if h.lately().Begun <= 0 || h.heldBack() {
			continue
		}
		u := amounts(h)
		if u.Asked >= best && u.Begun/t.BehindPart+left < best {
			out = min(out, u.Begun/t.ReachPart+left)
		}
	}
	return out
}

// noteHeld notes which accounts are held back as they are beyond reach: that they begin little
// for a while isn't because anything holds them up.
func (m *Machine) noteHeld() {
	l := m.levels()
	for _, account := range m.shares.order {
		h := m.shares.accounts[account]
		h.held <<= 1
		if h.isBounded(l) {
			h.held |= 1
		}
	}
}

// compared is the time over which users compare accounts.
const compared = 6 * time.Second

// largestLeft is how many of its largest requests an account may be short of: some requests
// more or less are chance.
const largestLeft = 3

// demand is what all accounts together have asked for and begun over some time, in tokens.
type demand struct {
	asked []float64 // by each account that has asked for anything, sorted
	begun float64
	best  float64 // begun by the account that has begun the most
}

// demandOver adds up the amounts that a function returns of each account.
func (s *shares) demandOver(amounts func(*history) Usage) demand {
	var out demand
	for _, account := range s.order {
		a := amounts(s.accounts[account])
		out.begun += a.Begun
		out.best = max(out.best, a.Begun)
		if a.Asked > 0 {
			out.asked = append(out.asked, a.Asked)
		}
	}
	slices.Sort(out.asked)
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
	within      standing = iota // of what it is owed
	over                        // beyond that, or the even part of a burst; within an even part of what really goes
	farOver                     // beyond both
	beyondReach                 // and so far that others which ask for more can't follow
)

// String returns the standing in a word, as lines have it.
func (s standing) String() string {
	return [...]string{within: "within", over: "over", farOver: "far-over", beyondReach: "beyond-reach"}[s]
}

// goOnPart is the part of its even part of a burst up to which an account goes on, whatever it has begun in the window: users
// compare accounts second by second, and one that is refused altogether until the window has passed stops for seconds.
const goOnPart = 0.1

// isBounded tells whether an account has begun as much as it may, for others that are held up to stay within reach.
func (h *history) isBounded(l levels) bool {
	begun, lately := h.inWindow().Begun, h.lately().Begun
	if begun < l.best && h.heldUpHere() {
		return false
	}
	return !l.spare && begun > max(l.bound, l.ahead) || !l.plenty && lately > max(l.brief, l.aheadLately)
}

// standingOf returns how an account stands.
func (m *Machine) standingOf(account model.AccountID, l levels) standing {
	h := m.shares.accounts[account]
	if h == nil {
		return within
	}
	begun, lately := h.inWindow().Begun, h.lately().Begun
	switch {
	case lately > l.goOn && h.isBounded(l):
		return beyondReach
	case !l.enough && begun > l.real:
		return farOver
	case !l.enough && begun > l.owed, !l.plenty && lately > l.even:
		return over
	}
	return within
}

// hadLately returns what part of its even part of a burst an account has begun.
func (m *Machine) hadLately(account model.AccountID, l levels) float64 {
	h := m.shares.accounts[account]
	if h == nil || l.even <= 0 {
		return 0
	}
	return h.lately().Begun / l.even
}

// had returns what part of the level an account has begun in the window.
func (m *Machine) had(account model.AccountID, level float64) float64 {
	h := m.shares.accounts[account]
	if h == nil || level <= 0 {
		return 0
	}
	return h.inWindow().Begun / level
}
