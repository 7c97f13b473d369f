package suspect

import (
	"cmp"
	"slices"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

// entry is a suspicion with its state at this router.
type entry struct {
	Suspicion
	observed  bool       // one of the ends, or the last answer, was observed by this router
	sendsLeft int        // number of times that it is still to be sent
	nextSend  model.Time // when it is to be sent next

	tryRequested model.Time // when a try was last requested here
	restored     model.Time // when it was read from the store, which holds the requests held back
}

// isPart reports whether the entry is that of a part of prompts.
func (e *entry) isPart() bool { return e.Part != model.PromptPart{} }

// grace returns how long after a complete answer ends don't count.
func (e *entry) grace() time.Duration {
	if e.isPart() {
		return answeredGrace
	}
	return 0
}

// counts reports whether an end counts.
func (e *entry) counts(end End) bool { return end.At > e.Answered+e.grace() }

// isOver reports whether the entry of a part tells nothing any more: no end counts, and nobody is to be told.
func (e *entry) isOver() bool { return e.isPart() && e.sendsLeft == 0 && !e.suspected() }

// add adds an end, and reports whether it is new, or known as one before the answer began only now.
func (e *entry) add(end End) bool {
	if !e.counts(end) {
		return false
	}
	if i := e.indexOf(end); i >= 0 {
		known := &e.Ends[i]
		weaker := e.isPart() && known.Begun && !end.Begun // another prompt with the part, on the same backend server
		known.Begun = known.Begun && !weaker
		return weaker
	}
	e.Ends = append(e.Ends, end)
	if len(e.Ends) > maxEnds {
		slices.SortFunc(e.Ends, func(x, y End) int { return cmp.Compare(x.At, y.At) })
		e.Ends = slices.Delete(e.Ends, 0, 1)
	}
	return true
}

// indexOf returns the index of an end that is stored already, -1 for none. A report of it may have been delayed at a
// relay, so that its time is off by seconds; the time that the request had run is the same, in microseconds.
func (e *entry) indexOf(end End) int {
	return slices.IndexFunc(e.Ends, func(stored End) bool {
		same := stored.Ran.Microseconds() == end.Ran.Microseconds() || (stored.At-end.At).Abs() <= sameEndWithin
		return stored.Backend == end.Backend && same
	})
}

// ranOn reports whether the request was running on a backend server that ended at about the given time.
func (e *entry) ranOn(backend model.BackendID, at model.Time) bool {
	return slices.ContainsFunc(e.Ends, func(end End) bool {
		return end.Backend == backend && (end.At-at).Abs() <= sameEndWithin
	})
}

// triedOn reports whether a try of the request was running on a backend server when it ended.
func (e *entry) triedOn(at End) bool {
	return slices.ContainsFunc(e.Ends, func(end End) bool {
		return end.Try && end.Backend == at.Backend && (end.At-at.At).Abs() <= sameEndWithin
	})
}

// countedEnds returns the ends since the last complete answer.
func (e *entry) countedEnds() []End {
	e.Ends = slices.DeleteFunc(e.Ends, func(end End) bool { return !e.counts(end) })
	return e.Ends
}

// suspected reports whether any ends count against the request.
func (e *entry) suspected() bool { return len(e.countedEnds()) > 0 }

// inDigest reports whether the digest covers the entry.
func (e *entry) inDigest() bool { return len(e.countedEnds()) >= 2 }

// lastEvent returns the time of the last end, answer or try.
func (e *entry) lastEvent() model.Time {
	out := max(e.Answered, e.Tried)
	for _, end := range e.Ends {
		out = max(out, end.At)
	}
	return out
}

func (e *entry) snapshot() Suspicion {
	out := e.Suspicion
	out.Ends = slices.Clone(e.countedEnds())
	return out
}
