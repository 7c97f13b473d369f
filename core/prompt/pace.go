package prompt

import (
	"math"
	"time"
)

const (
	// firstBase is taken for how long an answer takes to begin when nothing is to be
	// read, until answers have shown it.
	firstBase = 60 * time.Millisecond
	// idleAhead is the longest that what is ahead of a request may take for its answer
	// to tell of the engine itself.
	idleAhead = 3 * time.Millisecond
	// littleRead is the most tokens to be read whose answer tells the base, and muchRead
	// the least whose answer tells the rate.
	littleRead = 1000
	muchRead   = 3000
	// baseStep is by how much an answer moves the base, and rateStep by what part of it
	// one moves the rate: each so follows the median of what is seen.
	baseStep = time.Millisecond
	rateStep = 0.03
	// ordinary is the slowness up to which an engine tells of its pool.
	ordinary = 1.5
	// minBase and maxBase bound the base.
	minBase = time.Millisecond
	maxBase = time.Second
	// maxRateOff is how many times the rate may differ from what it was first taken for.
	maxRateOff = 4
)

// pace is how soon the engines of a pool begin their answers. Both figures are the
// medians of what this router's requests met where nothing seemed to be ahead of them, and
// no other router has told since that it had sent anything there.
type pace struct {
	base  time.Duration // until an answer begins when nothing is to be read
	rate  float64       // tokens read in a second
	first float64       // the rate, before any answer
	seen  bool          // an answer has told the rate
}

func newPace() *pace { return &pace{base: firstBase} }

// expect sets the rate to be taken until answers show it.
func (p *pace) expect(rate float64) {
	p.first = rate
	if !p.seen {
		p.rate = rate
	}
}

// learn takes how long an answer took to begin. slowness is how many times slower than
// its pool this engine is taken to be.
func (p *pace) learn(took time.Duration, f *flight, slowness float64) {
	if f.ahead > idleAhead || f.copied || p.rate <= 0 || slowness > ordinary {
		return
	}
	if f.unread <= littleRead {
		reading := time.Duration(f.unread / p.rate * float64(time.Second))
		p.base = min(max(p.base+towards(baseStep, took-reading > p.base), minBase), maxBase)
		return
	}
	if f.unread < muchRead || took <= p.base {
		return
	}
	p.seen = true
	faster := f.unread/(took-p.base).Seconds() > p.rate
	p.rate *= math.Exp(towards(rateStep, faster))
	p.rate = min(max(p.rate, p.first/maxRateOff), p.first*maxRateOff)
}

// paceKept is the time in which what was learned fades to a third of its difference from
// what was taken at first, unless answers confirm it. A router that takes engines for
// slower than they are sends less, and one that sends nothing learns nothing: without
// fading it would believe for good a few answers that were late for other reasons.
const paceKept = 10 * time.Second

// fade lets some of what was learned fade.
func (p *pace) fade(passed time.Duration) {
	part := 1 - math.Exp(-passed.Seconds()/paceKept.Seconds())
	p.base += time.Duration(part * float64(firstBase-p.base))
	p.rate += part * (p.first - p.rate)
}

// towards returns a step up or down.
func towards[T time.Duration | float64](step T, up bool) T {
	if up {
		return step
	}
	return -step
}
