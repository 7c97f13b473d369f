package suspect

import (
	"cmp"
	"slices"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

const (
	// sendCount is the number of times that a change is sent, as datagrams may be lost, and sendInterval
	// the time between them.
	sendCount    = 3
	sendInterval = 300 * time.Millisecond
	// maxBatch is the number of suspicions sent at once, of some 30 bytes each.
	maxBatch = 64
	// MaxTime is later than any other time.
	MaxTime = model.Time(1<<63 - 1)
)

// scheduleSend schedules that the other routers are told of an entry from a time on.
func (b *Tracker) scheduleSend(at model.Time, e *entry) {
	e.sendsLeft, e.nextSend = sendCount, at
	b.nextSend = min(b.nextSend, at)
}

// NextSend returns when TakeDue next has suspicions to return, MaxTime if it has none.
func (b *Tracker) NextSend() model.Time { return b.nextSend }

// TakeDue returns the suspicions that are due to be sent to the other routers, those with the most ends first, and
// counts each as sent once.
func (b *Tracker) TakeDue(now model.Time) []Suspicion {
	if now < b.nextSend {
		return nil
	}
	var due []*entry
	for _, e := range b.entries {
		if e.sendsLeft > 0 && e.nextSend <= now {
			due = append(due, e)
		}
	}
	slices.SortFunc(due, func(x, y *entry) int {
		return cmp.Or(cmp.Compare(len(y.Ends), len(x.Ends)), cmp.Compare(x.Fingerprint, y.Fingerprint))
	})
	var out []Suspicion
	for _, e := range due[:min(len(due), maxBatch)] {
		e.sendsLeft--
		e.nextSend = now + sendInterval
		out = append(out, e.snapshot())
	}
	b.nextSend = MaxTime
	for _, e := range b.entries {
		if e.sendsLeft > 0 {
			b.nextSend = min(b.nextSend, e.nextSend)
		}
	}
	return out
}
