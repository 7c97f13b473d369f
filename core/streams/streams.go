// Package streams records which software began each stream that may be resumed, so that any router can resume it at a
// backend server of the same lineage.
//
// A router records the lineage of a stream as it dispatches the request. While the backend servers of a pool are of more
// than one software version, it also sends its records to a few other routers, its holders, at the latest as the answer
// begins. The record therefore arrives at one of them at about the time at which the caller has the first event.
// Whoever has to resume a stream that it has no record of asks all routers; those that have one answer.
//
// While all backend servers of a pool have had the same version for longer than streams last, no records are sent and
// nobody is asked: that version began every stream. A router that has started more recently gets the history of the
// versions from another one. Routers get a list of the backend servers at different times, so that a version which has
// just appeared begins no streams if there is another one, until every router has told that it knows of it, or for
// SettlePeriod. A router whose list may be older than MaxListAge asks the others in any case.
//
// Limits. A record is lost if its router and all of its holders fail at about the same time, or if the router fails before
// it has sent the record. Such a stream can't be resumed while there are several versions.
package streams

import (
	"maps"
	"slices"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

// Retention is how long records are kept, and how long a version that is no longer served counts as one of its pool. It
// exceeds the time for which callers keep resuming a stream.
const Retention = time.Minute

const (
	// MaxListAge is the age up to which a router's list of the backend servers shows every version that begins streams.
	MaxListAge = 4 * time.Second
	// SettlePeriod is how long after its appearance a version begins no streams if not all routers are known to know of
	// it. It exceeds MaxListAge by the time for which the list is under way between routers.
	SettlePeriod = MaxListAge + time.Second
)

const (
	// maxRecords is the maximum number of records of one router, at some 100 bytes each.
	maxRecords = 100_000
	// maxBatch is the maximum number of records sent to a holder at once, at 9 bytes each.
	maxBatch = 512
	// correctionPeriod is how long a record that replaces an earlier one of the same stream is sent again with each
	// batch. If it were lost, a holder would name the wrong lineage.
	correctionPeriod = time.Second
)

// Record is the lineage of one stream.
type Record struct {
	Stream  model.StreamID
	Lineage model.Lineage
}

// Source is where a router has the lineage of a stream from.
type Source string

// The sources of a lineage.
const (
	Own   Source = "own"   // the stream was begun by this router
	Held  Source = "held"  // by another one, for which this router holds the record
	Asked Source = "asked" // another router answered
	Only  Source = "only"  // only one lineage could have begun it, according to most routers
	// Registered is for the only lineage of the registry.
	Registered Source = "registry"
)

// Tracker is the state of one router. It does no I/O and reads no clock.
type Tracker struct {
	known       map[model.StreamID]known
	expiring    []expiring // of the known ones, oldest first
	logs        map[model.PoolID]*log
	corrections []correction
	holders     map[string]*holder
	splitUntil  map[model.PoolID]model.Time // pools that share a route with others
	history     history
	unfinished  unfinished
}

// known is a record that this router has.
type known struct {
	lineage model.Lineage
	source  Source
	at      model.Time // when it was recorded
	origin  string     // the router whose record this router holds, "" for an own one
}

type expiring struct {
	stream model.StreamID
	at     model.Time
}

type correction struct {
	record Record
	until  model.Time
}

// holder is a router that holds this router's records.
type holder struct {
	sent map[model.PoolID]uint64 // position in each log up to which records were sent
}

// New returns the tracker of a router that has just started.
func New() *Tracker {
	return &Tracker{
		known:      map[model.StreamID]known{},
		logs:       map[model.PoolID]*log{},
		holders:    map[string]*holder{},
		splitUntil: map[model.PoolID]model.Time{},
		history:    newHistory(),
		unfinished: unfinished{},
	}
}

// Begin records that this router dispatches a request for a stream to a backend server. pools are those of its route.
func (t *Tracker) Begin(now model.Time, stream model.StreamID, lineage model.Lineage, pools []model.PoolID) {
	t.expire(now)
	if len(pools) > 1 {
		for _, pool := range pools {
			t.splitUntil[pool] = now + Retention
		}
	}
	before, again := t.known[stream]
	if again && before.lineage == lineage {
		return
	}
	record := Record{Stream: stream, Lineage: lineage}
	t.unfinished.begin(now, record)
	if again {
		t.corrections = append(t.corrections, correction{record: record, until: now + correctionPeriod})
	}
	t.add(stream, known{lineage: lineage, source: Own, at: now})
	t.logOf(lineage.Pool).add(logEntry{record: record, at: now})
}

// Hold stores records of another router.
func (t *Tracker) Hold(now model.Time, origin string, records []Record) {
	t.expire(now)
	for _, r := range records {
		if t.known[r.Stream].source != Own {
			t.add(r.Stream, known{lineage: r.Lineage, source: Held, at: now, origin: origin})
		}
	}
}

// Adopt makes the records of a router that has failed ones that are sent to this router's holders: otherwise they would
// be lost once the routers that hold them now have failed or restarted as well.
func (t *Tracker) Adopt(now model.Time, origin string) {
	t.expire(now)
	for _, e := range t.expiring {
		k := t.known[e.stream]
		if k.origin == origin && k.source == Held && k.at == e.at {
			k.origin = ""
			t.known[e.stream] = k
			t.logOf(k.lineage.Pool).add(logEntry{record: Record{Stream: e.stream, Lineage: k.lineage}, at: now})
		}
	}
}

func (t *Tracker) add(stream model.StreamID, k known) {
	t.known[stream] = k
	t.expiring = append(t.expiring, expiring{stream: stream, at: k.at})
}

func (t *Tracker) logOf(pool model.PoolID) *log {
	l := t.logs[pool]
	if l == nil {
		l = &log{}
		t.logs[pool] = l
	}
	return l
}

// Find returns the lineage of a stream, where it is from, and how long ago it was recorded. ok is false if this router
// has no record of it.
func (t *Tracker) Find(now model.Time, stream model.StreamID) (lineage model.Lineage, source Source, age time.Duration, ok bool) {
	t.expire(now)
	k, ok := t.known[stream]
	return k.lineage, k.source, now - k.at, ok
}

// expire deletes the records that are older than Retention, and the oldest of more than maxRecords.
func (t *Tracker) expire(now model.Time) {
	n := 0
	for n < len(t.expiring) && (now > t.expiring[n].at+Retention || len(t.expiring)-n > maxRecords) {
		old := t.expiring[n]
		if t.known[old.stream].at == old.at {
			delete(t.known, old.stream)
		}
		n++
	}
	t.expiring = t.expiring[n:]
	for _, l := range t.logs {
		l.expire(now)
	}
	t.unfinished.prune(now)
	maps.DeleteFunc(t.splitUntil, func(_ model.PoolID, until model.Time) bool { return now > until })
	t.corrections = slices.DeleteFunc(t.corrections, func(c correction) bool { return now > c.until })
}

// SetHolders sets the routers that hold this router's records. New ones are sent all records.
func (t *Tracker) SetHolders(names []string) {
	for name := range t.holders {
		if !slices.Contains(names, name) {
			delete(t.holders, name)
		}
	}
	for _, name := range names {
		if t.holders[name] == nil {
			t.holders[name] = &holder{sent: map[model.PoolID]uint64{}}
		}
	}
}

// Forget makes a holder that has lost its records one that is sent all of them.
func (t *Tracker) Forget(name string) { delete(t.holders, name) }

// Due returns the records that a holder is to be sent now, and counts them as sent.
func (t *Tracker) Due(now model.Time, name string) []Record {
	h := t.holders[name]
	if h == nil {
		return nil
	}
	t.expire(now)
	var out []Record
	for _, pool := range t.replicated(now) {
		entries, end := t.logs[pool].after(h.sent[pool], maxBatch-len(out))
		h.sent[pool] = end
		for _, e := range entries {
			out = append(out, e.record)
		}
	}
	for _, c := range t.corrections {
		out = append(out, c.record)
	}
	return out
}

// Pending reports whether any holder is to be sent records.
func (t *Tracker) Pending(now model.Time) bool {
	if len(t.holders) == 0 {
		return false
	}
	if slices.ContainsFunc(t.corrections, func(c correction) bool { return now <= c.until }) {
		return true
	}
	for _, pool := range t.replicated(now) {
		for _, h := range t.holders {
			if h.sent[pool] < t.logs[pool].end() {
				return true
			}
		}
	}
	return false
}

// replicated returns the pools whose records are sent to the holders, in order.
func (t *Tracker) replicated(now model.Time) []model.PoolID {
	if len(t.splitUntil) == 0 && !t.history.anyMixed(now) {
		return nil
	}
	var out []model.PoolID
	for pool := range t.logs {
		if now < t.splitUntil[pool] || len(t.history.lineages(now, pool)) > 1 {
			out = append(out, pool)
		}
	}
	slices.Sort(out)
	return out
}

// Only returns the lineage that began every stream of a route with the given pools, if there is only one.
func (t *Tracker) Only(now model.Time, pools []model.PoolID) (model.Lineage, bool) {
	var all []model.Lineage
	for _, pool := range pools {
		all = append(all, t.history.lineages(now, pool)...)
	}
	if len(all) != 1 {
		return model.Lineage{}, false
	}
	return all[0], true
}

// Fresh returns how long a lineage has been known, and whether it appeared after another one of its pool, so that other
// routers may know only that one.
func (t *Tracker) Fresh(now model.Time, l model.Lineage) (age time.Duration, fresh bool) {
	return t.history.fresh(now, l)
}

// Recent returns the lineages that appeared lately, of which the other routers are to be told that they are known here.
// unsettled reports whether a lineage that appeared earlier is told nevertheless.
func (t *Tracker) Recent(now model.Time, unsettled func(model.Lineage) bool) []model.Lineage {
	return t.history.recent(now, unsettled)
}

// SetServed sets the lineages that backend servers currently have.
func (t *Tracker) SetServed(now model.Time, served []model.Lineage) { t.history.setServed(now, served) }

// History returns the lineages seen lately.
func (t *Tracker) History(now model.Time) []Seen { return t.history.seen(now) }

// MergeHistory adds the lineages that another router has seen.
func (t *Tracker) MergeHistory(now model.Time, seen []Seen) { t.history.merge(now, seen) }

// Lineages returns the lineages of a pool that streams may be of.
func (t *Tracker) Lineages(now model.Time, pool model.PoolID) []model.Lineage {
	return t.history.lineages(now, pool)
}

// MergeRegistry adds the lineages that the registry lists, which may have begun streams.
func (t *Tracker) MergeRegistry(now model.Time, listed []model.Lineage) {
	t.history.mergeRegistry(now, listed)
}

// Served returns the lineages that backend servers currently have, in order.
func (t *Tracker) Served() []model.Lineage { return t.history.served }

// Retired returns those of some lineages of which this router knows that no stream can be of them any more.
func (t *Tracker) Retired(now model.Time, listed []model.Lineage) []model.Lineage {
	return t.history.retiredOf(now, listed)
}
