// Package notice stores the notices that backend servers send with their answers: that they are shutting down, or that
// they want no new requests for a while (a rest).
//
// # Scope
//
// A notice applies to one process of a backend server, and to the router that received it. A backend server that
// restarts gets another identity, also at the same address, so that earlier notices don't apply to it. A router starts
// without notices and receives them with the first answers.
//
// A notice of leaving takes precedence over the catalog, which may be older than the notice, for instance during an
// outage of the store. A rest expires; of two that overlap, the one that ends later applies.
package notice

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

// Notice is a notification from a backend server about itself, sent with an answer.
type Notice struct {
	// Leaving reports that the backend server is shutting down and accepts no new requests.
	Leaving bool
	// Rest is how long this router must send it no new requests, 0 for none.
	Rest time.Duration
}

const (
	// leavingTTL is how long a notice of leaving applies after it was last received. Backend servers that leave
	// terminate within minutes; the identity is a 32-bit hash, so that a later backend server may have the same one.
	leavingTTL = time.Hour
	// maxLeaving is the number of notices of leaving that are stored, the newest ones: more than the number of
	// backend servers in the largest fleet supported.
	maxLeaving = 8192
	// evictTo is the number of notices left after an eviction, so that evictions are rare. Evicting one at each
	// notice took 5 ms, 41 s for 8,192 notices beyond maxLeaving, instead of 0.02 s in all (TestRegistryIsBounded).
	evictTo = maxLeaving * 3 / 4
)

// Registry holds the notices that one router has received. It reads no clock.
type Registry struct {
	leaving map[model.BackendID]model.Time // when the last notice of leaving was received
	rests   map[model.BackendID]model.Time // when the rest ends
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{leaving: map[model.BackendID]model.Time{}, rests: map[model.BackendID]model.Time{}}
}

// Record records a notice, and reports whether the backend server accepted new requests before and no longer does.
func (b *Registry) Record(now model.Time, id model.BackendID, n Notice) (changed bool) {
	accepted := b.Accepts(now, id)
	if n.Leaving {
		b.leaving[id] = now
		b.evictLeaving(now)
	}
	if n.Rest > 0 {
		b.removeExpiredRests(now)
		b.rests[id] = max(b.rests[id], now+n.Rest)
	}
	return accepted && !b.Accepts(now, id)
}

// Accepts reports whether a backend server accepts new requests according to its notices.
func (b *Registry) Accepts(now model.Time, id model.BackendID) bool {
	return !b.IsLeaving(now, id) && b.RestsUntil(now, id) == 0
}

// IsLeaving reports whether a notice of leaving applies to a backend server.
func (b *Registry) IsLeaving(now model.Time, id model.BackendID) bool {
	at, found := b.leaving[id]
	return found && now-at <= leavingTTL
}

// RestsUntil returns when a backend server's rest ends, 0 if it has none.
func (b *Registry) RestsUntil(now model.Time, id model.BackendID) model.Time {
	until := b.rests[id]
	if until <= now {
		return 0
	}
	return until
}

// removeExpiredRests deletes the rests that have ended.
func (b *Registry) removeExpiredRests(now model.Time) {
	for id, until := range b.rests {
		if until <= now {
			delete(b.rests, id)
		}
	}
}

// evictLeaving deletes, once there are more than maxLeaving notices of leaving, the expired ones and then the oldest
// ones beyond evictTo.
func (b *Registry) evictLeaving(now model.Time) {
	if len(b.leaving) <= maxLeaving {
		return
	}
	for id, at := range b.leaving {
		if now-at > leavingTTL {
			delete(b.leaving, id)
		}
	}
	byAge := slices.SortedFunc(maps.Keys(b.leaving), func(x, y model.BackendID) int {
		return cmp.Or(cmp.Compare(b.leaving[x], b.leaving[y]), cmp.Compare(x, y))
	})
	for _, id := range byAge[:max(len(byAge)-evictTo, 0)] {
		delete(b.leaving, id)
	}
}
