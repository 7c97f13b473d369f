package prompt

import (
	"slices"

	"github.com/tamarindstep/tamarindstep/model"
)

// byHallAndHolders returns the first backend servers of this router's data hall and those of
// the others by rendezvous hashing, by turns, and then the first of the rest that are known to keep
// a part. The first of all is the home here: routers of one data hall choose alike, and what
// doesn't find room there goes where the others' routers send first.
func (m *Machine) byHallAndHolders(order []weighed, part uint32) []model.BackendID {
	near, far := m.splitByHall(order)
	out := alternate(idsOf(heaviest(near, ranked/2)), idsOf(heaviest(far, ranked/2)))
	var keep []weighed
	for _, w := range order {
		if s := m.servers[w.id]; s.kept.has(s.sent, part, s.room) && !slices.Contains(out, w.id) {
			keep = append(keep, w)
		}
	}
	return append(out, idsOf(heaviest(keep, holders))...)
}

// splitByHall returns which backend servers are in this router's data hall and which aren't.
func (m *Machine) splitByHall(all []weighed) (near, far []weighed) {
	for _, w := range all {
		if m.servers[w.id].Near {
			near = append(near, w)
		} else {
			far = append(far, w)
		}
	}
	return near, far
}

// alternate takes from two lists by turns, from the first one first.
func alternate(a, b []model.BackendID) []model.BackendID {
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
