package suspect

import (
	"slices"

	"github.com/tamarindstep/tamarindstep/model"
)

// Decide decides on a request that has arrived. A try that it returns counts as made.
func (b *Tracker) Decide(now model.Time, f model.Fingerprint) Decision {
	out := b.Check(now, f)
	if out.Try {
		b.StartTry(now, f)
	}
	return out
}

// Check decides on a request that has arrived, given its fingerprint and those of the parts of its prompt. A try must be
// requested before StartTry is called. No other try is due here while the request is pending.
func (b *Tracker) Check(now model.Time, fingerprints ...model.Fingerprint) Decision {
	held := b.HeldOf(fingerprints...)
	if len(held) == 0 {
		return Decision{}
	}
	out := Decision{Held: true}
	for _, f := range held {
		out.Ends = max(out.Ends, len(b.entries[f].countedEnds()))
		out.RetryAfter = max(out.RetryAfter, b.NextTry(f)-now)
	}
	if out.RetryAfter > 0 {
		return out
	}
	for _, f := range held {
		b.entries[f].tryRequested = now
	}
	out.Try = true
	return out
}

// HeldOf returns those of some fingerprints that are held back.
func (b *Tracker) HeldOf(fingerprints ...model.Fingerprint) []model.Fingerprint {
	b.evaluate()
	var out []model.Fingerprint
	for _, f := range fingerprints {
		if b.held[f] {
			out = append(out, f)
		}
	}
	return out
}

// HoldsAny reports whether anything is held back.
func (b *Tracker) HoldsAny() bool {
	b.evaluate()
	return len(b.held) > 0
}

// StartTry records that a try is made of what is held back among some fingerprints, and reports whether it may be made:
// not if a backend server on which it ran has ended since the try was requested.
func (b *Tracker) StartTry(now model.Time, fingerprints ...model.Fingerprint) bool {
	held := b.HeldOf(fingerprints...)
	for _, f := range held {
		e := b.entries[f]
		if slices.ContainsFunc(e.countedEnds(), func(end End) bool { return end.At > e.tryRequested }) {
			return false
		}
	}
	for _, f := range held {
		e := b.entries[f]
		e.Tried = now
		b.scheduleSend(now, e)
	}
	return true
}

// NextTry returns when a held-back request is tried here, Never for an unknown one.
func (b *Tracker) NextTry(f model.Fingerprint) model.Time {
	e := b.entries[f]
	if e == nil {
		return Never
	}
	return b.calm(b.due(e))
}
