package suspect

import (
	"math"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

// Ends returns the ends that count against a request: those since its last complete answer.
func (b *Tracker) Ends(f model.Fingerprint) []End {
	e := b.entries[f]
	if e == nil {
		return nil
	}
	return e.countedEnds()
}

// Failed returns the number of failed tries of a request since its last complete answer.
func (b *Tracker) Failed(f model.Fingerprint) int {
	failed := 0
	for _, end := range b.Ends(f) {
		if end.Try {
			failed++
		}
	}
	return failed
}

// due returns when a held-back request is to be tried, before its postponement by calm.
func (b *Tracker) due(e *entry) model.Time {
	last := e.Answered
	for _, end := range e.countedEnds() {
		last = max(last, end.At)
	}
	if tried := max(e.Tried, e.tryRequested); tried > last {
		return tried + tryOutcomeWait + b.jitter(e.Fingerprint)
	}
	return last + b.tryDelay(e) + b.jitter(e.Fingerprint)
}

// calm postpones a try until no backend server has ended for calmPeriod, by at most maxPostponement.
func (b *Tracker) calm(due model.Time) model.Time {
	last := Never
	for _, at := range b.ended {
		last = max(last, at)
	}
	return max(due, min(last+calmPeriod, due+maxPostponement))
}

// tryDelay returns how long a request is held back until it is tried.
func (b *Tracker) tryDelay(e *entry) time.Duration {
	failed := 0
	for _, end := range e.countedEnds() {
		if !end.Try {
			continue
		}
		failed++
		if b.points(e, end, b.held) == strongPoints {
			return failedTryDelay
		}
	}
	if failed >= maxDoubtfulTries {
		return doubtfulTryDelay
	}
	return firstTryDelay
}

// jitter returns a fraction of tryJitter that differs between routers. Its square is uniformly distributed, so that
// only few routers try early.
func (b *Tracker) jitter(f model.Fingerprint) time.Duration {
	return time.Duration(float64(tryJitter) * math.Sqrt(b.fraction(f)))
}

// fraction returns a number from 0 to 1 that differs between routers.
func (b *Tracker) fraction(f model.Fingerprint) float64 {
	mixed := (uint64(f) ^ b.salt) * 0x9E3779B97F4A7C15 // the golden ratio, as in Fibonacci hashing
	return float64(mixed>>32) / (1 << 32)
}

// evaluate determines which requests are held back: first without, then with the ends explained by other held-back
// requests.
func (b *Tracker) evaluate() {
	if !b.stale {
		return
	}
	b.stale = false
	first := b.aboveThreshold(nil)
	b.held = b.aboveThreshold(first)
	b.digest = b.computeDigest()
}

// aboveThreshold returns the requests with at least heldThreshold points, where the others given may explain ends.
func (b *Tracker) aboveThreshold(others map[model.Fingerprint]bool) map[model.Fingerprint]bool {
	out := map[model.Fingerprint]bool{}
	for f, e := range b.entries {
		sum := 0
		if !e.inDigest() {
			continue // one end isn't enough
		}
		if e.restored > e.Answered {
			sum = e.threshold()
		}
		sum += b.pointsOf(e, others)
		if sum >= e.threshold() {
			out[f] = true
		}
	}
	return out
}

// threshold returns the points at which the request or part is held back.
func (e *entry) threshold() int {
	if e.isPart() {
		return partThreshold
	}
	return heldThreshold
}

// pointsOf returns the weight of the ends that count, where the others given may explain them.
func (b *Tracker) pointsOf(e *entry, others map[model.Fingerprint]bool) int {
	if e.isPart() {
		return b.partPoints(e, others)
	}
	sum := 0
	for _, end := range e.countedEnds() {
		sum += b.points(e, end, others)
	}
	return sum
}

// points returns the weight of an end of a request.
func (b *Tracker) points(e *entry, end End, others map[model.Fingerprint]bool) int {
	if end.Begun || b.correlated(e, end) || b.explained(e, end, others) {
		return weakPoints
	}
	return strongPoints
}

// explained reports whether another held-back request was running on the backend server when it ended, and has more
// ends or was being tried as well.
func (b *Tracker) explained(e *entry, end End, others map[model.Fingerprint]bool) bool {
	own := len(e.countedEnds())
	for f := range others {
		other := b.entries[f]
		if other == nil || f == e.Fingerprint || !other.ranOn(end.Backend, end.At) {
			continue
		}
		if len(other.countedEnds()) > own || end.Try && other.triedOn(end) {
			return true
		}
	}
	return false
}

// correlated reports whether a backend server on which the request didn't run ended at about the same time.
func (b *Tracker) correlated(e *entry, end End) bool {
	for backend, at := range b.ended {
		if (at-end.At).Abs() <= correlatedWithin && !e.ranOn(backend, at) {
			return true
		}
	}
	return false
}

func (b *Tracker) computeDigest() uint64 {
	var out uint64
	for f, e := range b.entries {
		if !e.inDigest() {
			continue
		}
		// A sum doesn't depend on the order of the map.
		out += uint64(f) * uint64(len(e.countedEnds())+1)
		for _, end := range e.countedEnds() {
			out += uint64(f) ^ uint64(end.Backend)<<17
		}
	}
	return out
}
