package suspect

import (
	"cmp"
	"slices"

	"github.com/tamarindstep/tamarindstep/model"
)

// entry is a suspicion, and how often it was told.
type entry struct {
	Suspicion
	saw   bool // this router has seen one of the ends, or the last answer
	tell  int  // how many times it is still to be told
	tells model.Time

	asked    model.Time // when a try was last asked for here
	restored model.Time // when it was read from the store, which keeps what is held back
}

// add adds an end, and tells whether it is new.
func (e *entry) add(end End) bool {
	if e.knows(end) || end.At <= e.Answered {
		return false
	}
	e.Ends = append(e.Ends, end)
	if len(e.Ends) > maxEnds {
		slices.SortFunc(e.Ends, func(x, y End) int { return cmp.Compare(x.At, y.At) })
		e.Ends = slices.Delete(e.Ends, 0, 1)
	}
	return true
}

// knows tells whether an end is known. What is told of it may have waited at a relay, so that its time is off by
// seconds; how long the request had run there then is the same, in microseconds.
func (e *entry) knows(end End) bool {
	return slices.ContainsFunc(e.Ends, func(known End) bool {
		same := known.Ran.Microseconds() == end.Ran.Microseconds() || (known.At-end.At).Abs() <= sameEnd
		return known.Backend == end.Backend && same
	})
}

// has tells whether the request ran on a backend server as it ended at about some time.
func (e *entry) has(backend model.BackendID, at model.Time) bool {
	return slices.ContainsFunc(e.Ends, func(end End) bool {
		return end.Backend == backend && (end.At-at).Abs() <= sameEnd
	})
}

// triedOn tells whether the request was being tried on a backend server as it ended.
func (e *entry) triedOn(at End) bool {
	return slices.ContainsFunc(e.Ends, func(end End) bool {
		return end.Try && end.Backend == at.Backend && (end.At-at.At).Abs() <= sameEnd
	})
}

// counting returns the ends since the last whole answer.
func (e *entry) counting() []End {
	e.Ends = slices.DeleteFunc(e.Ends, func(end End) bool { return end.At <= e.Answered })
	return e.Ends
}

// blamed tells whether anything is held against the request.
func (e *entry) blamed() bool { return len(e.counting()) > 0 }

// covered tells whether the digest covers the entry.
func (e *entry) covered() bool { return len(e.counting()) >= 2 }

// last returns when anything last happened.
func (e *entry) last() model.Time {
	out := max(e.Answered, e.Tried)
	for _, end := range e.Ends {
		out = max(out, end.At)
	}
	return out
}

func (e *entry) copied() Suspicion {
	out := e.Suspicion
	out.Ends = slices.Clone(e.counting())
	return out
}
