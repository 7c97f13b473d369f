package prompt

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

const (
	// failureWeight is the weight of the newest ending in the share of failures.
	failureWeight = 0.2
	// failuresBad is the share of failures from which a backend server is left
	// out, but for a trial now and then.
	failuresBad = 0.3
	// trialPause is how long it is left out; it varies by as much again.
	trialPause = 700 * time.Millisecond
	// unreachedPause is how long one that couldn't be reached is left out.
	unreachedPause = 500 * time.Millisecond
	// rejectedPause is how long one that was full is left out.
	rejectedPause = 50 * time.Millisecond
	// forgetting is the time in which what was seen of failures fades to a third.
	forgetting = 3 * time.Second
	// slowWeight is the weight of the newest answer in the slowness, and maxSlow
	// the greatest slowness.
	slowWeight = 0.15
	maxSlow    = 8
	// slowKept is the time in which the slowness fades to a third unless answers confirm
	// it: one that is taken for slow gets few requests, whose answers alone would tell
	// that it isn't any more.
	slowKept = 20 * time.Second
	// slowFrom is the expected delay from which on an answer tells of slowness.
	slowFrom = 120 * time.Millisecond
)

// health is what requests have shown of a backend server's state.
type health struct {
	failures float64    // share of the last endings that were failures
	noted    model.Time // when it was last known
	until    model.Time
	slow     float64 // 0 for not known, else how much slower than its rate it reads
}

func (h *health) slowness() float64 {
	if h.slow < 1 {
		return 1
	}
	return h.slow
}

// fade lets some of the slowness fade.
func (h *health) fade(passed time.Duration) {
	if h.slow != 0 {
		h.slow = 1 + (h.slow-1)*math.Exp(-passed.Seconds()/slowKept.Seconds())
	}
}

// began takes how long an answer took to begin and what was expected.
func (h *health) began(took, expected time.Duration) {
	if expected < slowFrom {
		return
	}
	ratio := min(took.Seconds()/expected.Seconds()*h.slowness(), maxSlow)
	if h.slow == 0 {
		h.slow = 1
	}
	h.slow += slowWeight * (ratio - h.slow)
}

// finished takes how a request ended.
func (h *health) finished(now model.Time, ending Ending, random *rand.Rand) {
	if ending == Done || ending == Failed {
		h.failures = h.failing(now)
		h.noted = now
	}
	switch ending {
	case Done:
		h.failures -= failureWeight * h.failures
	case Failed:
		h.failures += failureWeight * (1 - h.failures)
		if h.failures > failuresBad {
			h.until = max(h.until, now+trialPause+time.Duration(random.Int64N(int64(trialPause))))
		}
	case NotSent:
		h.until = max(h.until, now+unreachedPause)
	case Rejected:
		h.until = max(h.until, now+rejectedPause)
	case Left:
	}
}

// failing returns the share of failures to reckon with: what was seen counts for
// less as time passes, so that a backend server that failed is tried again.
func (h *health) failing(now model.Time) float64 {
	if h.failures == 0 {
		return 0
	}
	return h.failures * math.Exp(-(now-h.noted).Seconds()/forgetting.Seconds())
}

// out tells whether the backend server gets nothing new at present.
func (h *health) out(now model.Time) bool { return now < h.until }
