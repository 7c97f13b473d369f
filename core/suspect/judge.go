package suspect

import (
	"math"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

// Ends returns the ends that count against a request.
func (b *Book) Ends(f model.Fingerprint) []End {
	e := b.entries[f]
	if e == nil {
		return nil
	}
	return e.counting()
}

// Failed returns how many tries of a request have failed since its last whole answer.
func (b *Book) Failed(f model.Fingerprint) int {
	failed := 0
	for _, end := range b.Ends(f) {
		if end.Try {
			failed++
		}
	}
	return failed
}

// due returns when a held-back request is to be tried.
func (b *Book) due(e *entry) model.Time {
	last := e.Answered
	for _, end := range e.counting() {
		last = max(last, end.At)
	}
	if tried := max(e.Tried, e.asked); tried > last {
		return tried + tryPause + b.jitter(e.Fingerprint)
	}
	return last + b.wait(e) + b.jitter(e.Fingerprint)
}

// calm returns when a try that is due is made: once no backend server has ended for a while.
func (b *Book) calm(due model.Time) model.Time {
	last := Never
	for _, at := range b.ended {
		last = max(last, at)
	}
	return max(due, min(last+calmFor, due+postponed))
}

// wait returns how long a request is held back until it is tried.
func (b *Book) wait(e *entry) time.Duration {
	failed := 0
	for _, end := range e.counting() {
		if !end.Try {
			continue
		}
		failed++
		if b.points(e, end, b.held) == strongPoints {
			return tryLast
		}
	}
	if failed >= doubtfulTries {
		return tryRare
	}
	return tryFirst
}

// jitter returns a part of tryJitter that differs between routers. Its square is spread evenly, so that
// only few of the routers come early.
func (b *Book) jitter(f model.Fingerprint) time.Duration {
	mixed := (uint64(f) ^ b.salt) * 0x9E3779B97F4A7C15 // the golden ratio, as in Fibonacci hashing
	return time.Duration(float64(tryJitter) * math.Sqrt(float64(mixed>>32)/(1<<32)))
}

// judge works out which requests are held back: first without what others explain, then with it.
func (b *Book) judge() {
	if !b.stale {
		return
	}
	b.stale = false
	first := b.judged(nil)
	b.held = b.judged(first)
	b.digest = b.digested()
}

// judged returns the requests with points enough, where some others explain ends.
func (b *Book) judged(others map[model.Fingerprint]bool) map[model.Fingerprint]bool {
	out := map[model.Fingerprint]bool{}
	for f, e := range b.entries {
		sum := 0
		if !e.covered() {
			continue // one end isn't enough
		}
		if e.restored > e.Answered {
			sum = heldFrom
		}
		for _, end := range e.counting() {
			sum += b.points(e, end, others)
		}
		if sum >= heldFrom {
			out[f] = true
		}
	}
	return out
}

// points returns what an end counts against a request.
func (b *Book) points(e *entry, end End, others map[model.Fingerprint]bool) int {
	if end.Begun || b.withOthers(e, end) || b.explained(e, end, others) {
		return weakPoints
	}
	return strongPoints
}

// explained tells whether another held-back request ran on a backend server as it ended, which has more
// ends or was being tried as well.
func (b *Book) explained(e *entry, end End, others map[model.Fingerprint]bool) bool {
	own := len(e.counting())
	for f := range others {
		other := b.entries[f]
		if other == nil || f == e.Fingerprint || !other.has(end.Backend, end.At) {
			continue
		}
		if len(other.counting()) > own || end.Try && other.triedOn(end) {
			return true
		}
	}
	return false
}

// withOthers tells whether a backend server ended together with one on which the request didn't run.
func (b *Book) withOthers(e *entry, end End) bool {
	for backend, at := range b.ended {
		if (at-end.At).Abs() <= together && !e.has(backend, at) {
			return true
		}
	}
	return false
}

func (b *Book) digested() uint64 {
	var out uint64
	for f, e := range b.entries {
		if !e.covered() {
			continue
		}
		// Sums don't depend on the order of the map.
		out += uint64(f) * uint64(len(e.counting())+1)
		for _, end := range e.counting() {
			out += uint64(f) ^ uint64(end.Backend)<<17
		}
	}
	return out
}
