package prompt

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

const (
	// failureWeight is the weight of the newest ending in the failure rate.
	failureWeight = 0.2
	// maxFailureRate is the failure rate above which a backend server is excluded, except for occasional trials.
	maxFailureRate = 0.3
	// trialPause is the minimum time of this exclusion; a random time of up to trialPause is added.
	trialPause = 700 * time.Millisecond
	// unreachablePause is how long a backend server is excluded that could not be reached.
	unreachablePause = 500 * time.Millisecond
	// unreachableMemory is how long a backend server that could not be reached counts as unreachable, unless it is reached
	// in the meantime: until its entry expires if it has ended.
	unreachableMemory = 5 * time.Second
	// rejectedPause is how long a backend server is excluded that was full.
	rejectedPause = 50 * time.Millisecond
	// failureDecay is the time constant with which the failure rate decays.
	failureDecay = 3 * time.Second
	// slownessWeight is the weight of the newest answer in the slowness, and maxSlowness the largest slowness.
	slownessWeight = 0.15
	maxSlowness    = 8
	// slownessDecay is the time constant with which the slowness decays towards 1 unless answers confirm it. A
	// backend server that is considered slow receives few requests, and only their answers would show that it has
	// recovered.
	slownessDecay = 20 * time.Second
	// minSlownessDelay is the least expected delay for which an answer is used to estimate the slowness.
	minSlownessDelay = 120 * time.Millisecond
)

// health is the state of a backend server as observed from requests.
type health struct {
	failures      float64    // failure rate of recent endings
	updated       model.Time // time of the last change of failures
	excludedUntil model.Time
	// unreachableUntil is until when it counts as unreachable, 0 if it was reached since.
	unreachableUntil model.Time
	slowFactor       float64 // 0 if unknown, else by how many times the answers take longer than expected
}

func (h *health) slowness() float64 {
	if h.slowFactor < 1 {
		return 1
	}
	return h.slowFactor
}

// decay reduces the slowness for the time elapsed.
func (h *health) decay(elapsed time.Duration) {
	if h.slowFactor != 0 {
		h.slowFactor = 1 + (h.slowFactor-1)*math.Exp(-elapsed.Seconds()/slownessDecay.Seconds())
	}
}

// recordBegin updates the slowness from the time that an answer took to begin and the time expected.
func (h *health) recordBegin(took, expected time.Duration) {
	h.unreachableUntil = 0
	if expected < minSlownessDelay {
		return
	}
	ratio := min(took.Seconds()/expected.Seconds()*h.slowness(), maxSlowness)
	if h.slowFactor == 0 {
		h.slowFactor = 1
	}
	h.slowFactor += slownessWeight * (ratio - h.slowFactor)
}

// recordEnd updates the failure rate and the exclusion from the outcome of a request.
func (h *health) recordEnd(now model.Time, ending Ending, random *rand.Rand) {
	if ending == Done || ending == Failed {
		h.failures = h.failureRate(now)
		h.updated = now
	}
	switch ending {
	case Done:
		h.failures -= failureWeight * h.failures
		h.unreachableUntil = 0
	case Failed:
		h.failures += failureWeight * (1 - h.failures)
		if h.failures > maxFailureRate {
			h.excludedUntil = max(h.excludedUntil, now+trialPause+time.Duration(random.Int64N(int64(trialPause))))
			h.unreachableUntil = max(h.unreachableUntil, h.excludedUntil)
		}
	case NotSent:
		h.excludedUntil = max(h.excludedUntil, now+unreachablePause)
		h.unreachableUntil = max(h.unreachableUntil, now+unreachableMemory)
	case Rejected:
		h.unreachableUntil = 0
		h.excludedUntil = max(h.excludedUntil, now+rejectedPause)
	case Disconnected:
	}
}

// failureRate returns the failure rate, which decays over time, so that a backend server that failed is tried again.
func (h *health) failureRate(now model.Time) float64 {
	if h.failures == 0 {
		return 0
	}
	return h.failures * math.Exp(-(now-h.updated).Seconds()/failureDecay.Seconds())
}

// excluded reports whether the backend server currently receives no new requests.
func (h *health) excluded(now model.Time) bool { return now < h.excludedUntil }

// unreachable reports whether the backend server could not be reached lately, or failed too often to get new requests.
func (h *health) unreachable(now model.Time) bool { return now < h.unreachableUntil }
