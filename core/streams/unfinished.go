package streams

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

// deliveryPeriod is how long after the end of an answer its caller may not have read it yet, and may have to resume its
// stream if the router is killed.
const deliveryPeriod = 5 * time.Second

// maxUnfinished is the maximum number of unfinished streams that are kept in the platform's store for one router, at some
// 10 bytes each: several times as many as a router carries.
const maxUnfinished = 8192

// unfinished holds the streams that this router has begun and whose callers may have to resume them.
type unfinished struct {
	streams map[model.StreamID]*openStream
	changed bool       // since they were last taken
	pruned  model.Time // when expired ones were last dropped
}

// pruneInterval is the interval at which expired unfinished streams are dropped.
const pruneInterval = time.Second

// prune drops the streams that no caller resumes any more.
func (u *unfinished) prune(now model.Time) {
	if now < u.pruned+pruneInterval {
		return
	}
	u.pruned = now
	maps.DeleteFunc(u.streams, func(_ model.StreamID, s *openStream) bool { return now > s.until })
}

type openStream struct {
	lineage model.Lineage
	at      model.Time // when it was recorded
	until   model.Time // when it is dropped
	begun   bool       // its answer has begun, so that its lineage is final
}

func (u *unfinished) begin(now model.Time, r Record) {
	if u.streams == nil {
		u.streams = map[model.StreamID]*openStream{}
	}
	if before := u.streams[r.Stream]; before != nil && before.begun {
		u.changed = true
	}
	u.streams[r.Stream] = &openStream{lineage: r.Lineage, at: now, until: now + Retention}
}

// Began records that the answer of a stream has begun.
func (t *Tracker) Began(stream model.StreamID) {
	s := t.unfinished.streams[stream]
	if s == nil || s.begun {
		return
	}
	s.begun = true
	t.unfinished.changed = true
}

// End records that the whole answer of a stream has been sent to its caller.
func (t *Tracker) End(now model.Time, stream model.StreamID) {
	if s := t.unfinished.streams[stream]; s != nil {
		s.until = min(s.until, now+deliveryPeriod)
	}
}

// Restore adds the streams that the process before had begun and not finished.
func (t *Tracker) Restore(now model.Time, records []Record) {
	for _, r := range records {
		if _, has := t.known[r.Stream]; has {
			continue
		}
		t.add(r.Stream, known{lineage: r.Lineage, source: Held, at: now})
		t.logOf(r.Lineage.Pool).add(logEntry{record: r, at: now})
		t.unfinished.begin(now, r)
		t.unfinished.streams[r.Stream].begun = true
	}
}

// UnfinishedChanged reports whether the unfinished streams of any pool whose streams may be of several lineages have
// changed since they were last taken.
func (t *Tracker) UnfinishedChanged(now model.Time) bool {
	return t.unfinished.changed && len(t.replicated(now)) > 0
}

// SetUnfinishedChanged makes the unfinished streams count as changed.
func (t *Tracker) SetUnfinishedChanged() { t.unfinished.changed = true }

// TakeUnfinished returns the unfinished streams of those pools whose answers have begun, the newest if there are too many.
func (t *Tracker) TakeUnfinished(now model.Time) []Record {
	t.unfinished.changed = false
	pools := t.replicated(now)
	var out []Record
	for stream, s := range t.unfinished.streams {
		if s.begun && now <= s.until && slices.Contains(pools, s.lineage.Pool) {
			out = append(out, Record{Stream: stream, Lineage: s.lineage})
		}
	}
	slices.SortFunc(out, t.unfinished.compare)
	return out[max(len(out)-maxUnfinished, 0):]
}

// compare orders unfinished streams by the time at which they were recorded.
func (u *unfinished) compare(a, b Record) int {
	return cmp.Or(cmp.Compare(u.streams[a.Stream].at, u.streams[b.Stream].at), cmp.Compare(a.Stream, b.Stream))
}
