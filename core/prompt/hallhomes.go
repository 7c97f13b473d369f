package prompt

import (
	"slices"

	"github.com/tamarindstep/tamarindstep/model"
)

// byHallAndHolders returns, alternately, the first backend servers of this router's data hall and of the other data
// halls by rendezvous hashing, followed by the first of the others that are known to cache a part. The first one is
// the home in this data hall: routers of one data hall choose alike, and requests that exceed its capacity are
// dispatched to the homes of other data halls.
func (m *Machine) byHallAndHolders(order []weightedBackend, part uint32) []model.BackendID {
	near, far := m.splitByHall(order)
	out := interleave(idsOf(heaviest(near, maxRanked/2)), idsOf(heaviest(far, maxRanked/2)))
	var caching []weightedBackend
	for _, w := range order {
		if s := m.servers[w.id]; s.cache.has(s.sentTokens, part, s.cacheTokens) && !slices.Contains(out, w.id) {
			caching = append(caching, w)
		}
	}
	return append(out, idsOf(heaviest(caching, maxHolders))...)
}

// splitByHall returns the backend servers inside and outside of this router's data hall.
func (m *Machine) splitByHall(all []weightedBackend) (near, far []weightedBackend) {
	for _, w := range all {
		if m.servers[w.id].Near {
			near = append(near, w)
		} else {
			far = append(far, w)
		}
	}
	return near, far
}

// interleave returns the elements of two lists alternately, beginning with the first list.
func interleave(a, b []model.BackendID) []model.BackendID {
	out := make([]model.BackendID, 0, maxCandidates)
	for i := range max(len(a), len(b)) {
		if i < len(a) {
			out = append(out, a[i])
		}
		if i < len(b) {
			out = append(out, b[i])
		}
	}
	return out
}
