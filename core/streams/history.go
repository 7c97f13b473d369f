package streams

import (
	"slices"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

// history records which lineages the backend servers of each pool have had lately.
type history struct {
	served   []model.Lineage
	since    map[model.Lineage]model.Time // when each was first seen, of those seen within Retention
	lastSeen map[model.Lineage]model.Time // of those that are served no more
	retired  map[model.Lineage]bool       // those that no stream can be of any more
	byPool   map[model.PoolID][]model.Lineage
	mixed    bool       // any pool has several
	valid    model.Time // until when byPool and mixed apply
}

// Seen is a lineage, how long ago a backend server last had it, and how long ago a router first saw it.
type Seen struct {
	Lineage  model.Lineage
	Age      time.Duration
	KnownFor time.Duration
}

func newHistory() history {
	return history{lastSeen: map[model.Lineage]model.Time{}, since: map[model.Lineage]model.Time{}, retired: map[model.Lineage]bool{}, valid: never}
}

// never is later than any time that occurs.
const never = model.Time(1<<63 - 1)

// setServed sets the lineages that backend servers have.
func (h *history) setServed(now model.Time, served []model.Lineage) {
	for _, l := range h.served {
		h.lastSeen[l] = now
	}
	h.served = slices.Clone(served)
	slices.SortFunc(h.served, model.CompareLineages)
	h.served = slices.Compact(h.served)
	for _, l := range h.served {
		delete(h.lastSeen, l)
		delete(h.retired, l)
		if _, has := h.since[l]; !has {
			h.since[l] = now
		}
	}
	h.index(now)
}

// index deletes the lineages that no stream can be of any more, and arranges the others by pool.
func (h *history) index(now model.Time) {
	h.byPool, h.mixed, h.valid = map[model.PoolID][]model.Lineage{}, false, never
	for _, s := range h.seen(now) {
		pool := s.Lineage.Pool
		h.byPool[pool] = append(h.byPool[pool], s.Lineage)
		h.mixed = h.mixed || len(h.byPool[pool]) > 1
	}
	for l, at := range h.lastSeen {
		if now > at+Retention {
			delete(h.lastSeen, l)
			delete(h.since, l)
			h.retired[l] = true
			continue
		}
		h.valid = min(h.valid, at+Retention)
	}
}

// refresh updates what index derives if a lineage has expired since.
func (h *history) refresh(now model.Time) {
	if now > h.valid {
		h.index(now)
	}
}

// lineages returns the lineages of a pool that streams may be of.
func (h *history) lineages(now model.Time, pool model.PoolID) []model.Lineage {
	h.refresh(now)
	return h.byPool[pool]
}

// anyMixed reports whether streams of any pool may be of several lineages.
func (h *history) anyMixed(now model.Time) bool {
	h.refresh(now)
	return h.mixed
}

// fresh returns how long a lineage has been known, and whether it appeared after another one of its pool.
func (h *history) fresh(now model.Time, l model.Lineage) (age time.Duration, fresh bool) {
	if !h.anyMixed(now) {
		return 0, false
	}
	oldest := now
	for _, other := range h.lineages(now, l.Pool) {
		oldest = min(oldest, h.since[other])
	}
	return now - h.since[l], h.since[l] > oldest
}

// recentPeriod is how long routers tell each other of a lineage that has appeared. It is twice SettlePeriod, as they see it
// appear at different times.
const recentPeriod = 2 * SettlePeriod

// recent returns the lineages that appeared lately, while streams of any pool may be of several.
func (h *history) recent(now model.Time, unsettled func(model.Lineage) bool) []model.Lineage {
	if !h.anyMixed(now) {
		return nil
	}
	var out []model.Lineage
	for _, s := range h.seen(now) {
		if s.KnownFor < recentPeriod || unsettled(s.Lineage) {
			out = append(out, s.Lineage)
		}
	}
	return out
}

// seen returns all lineages of which streams may be.
func (h *history) seen(now model.Time) []Seen {
	var out []Seen
	for _, l := range h.served {
		out = append(out, Seen{Lineage: l, KnownFor: now - h.since[l]})
	}
	for l, at := range h.lastSeen {
		if now <= at+Retention {
			out = append(out, Seen{Lineage: l, Age: now - at, KnownFor: now - h.since[l]})
		}
	}
	slices.SortFunc(out, func(a, b Seen) int { return model.CompareLineages(a.Lineage, b.Lineage) })
	return out
}

// merge adds lineages that another router has seen.
func (h *history) merge(now model.Time, seen []Seen) {
	for _, s := range seen {
		if since, has := h.since[s.Lineage]; !has || now-s.KnownFor < since {
			h.since[s.Lineage] = now - s.KnownFor
		}
		at := now - s.Age
		if before, has := h.lastSeen[s.Lineage]; !slices.Contains(h.served, s.Lineage) && (!has || at > before) {
			h.lastSeen[s.Lineage] = at
		}
	}
	h.index(now)
}

// mergeRegistry adds the lineages that the registry lists. Those that this router hasn't seen served may have begun streams
// until now.
func (h *history) mergeRegistry(now model.Time, listed []model.Lineage) {
	for _, l := range listed {
		_, left := h.lastSeen[l]
		if left || h.retired[l] || slices.Contains(h.served, l) {
			continue
		}
		h.lastSeen[l] = now
		if _, has := h.since[l]; !has {
			h.since[l] = now
		}
	}
	h.index(now)
}

// retiredOf returns those of some lineages that no stream can be of any more.
func (h *history) retiredOf(now model.Time, listed []model.Lineage) []model.Lineage {
	h.refresh(now)
	var out []model.Lineage
	for _, l := range listed {
		if h.retired[l] {
			out = append(out, l)
		}
	}
	return out
}
