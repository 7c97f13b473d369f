package prompt

import (
	"slices"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

const (
	// restSpread is the time over which callers are spread at the least that are asked back when a backend server has
	// rested. A second later it is to be full again, so that it is half of one.
	restSpread = 500 * time.Millisecond
	// maxRestSpread is the most of it: callers don't wait longer.
	maxRestSpread = 3 * time.Second
	// returnPart is the part of what backend servers can do that is left to callers that come back.
	returnPart = 0.5
)

// rested returns when the first of those backend servers will have rested that a request may be sent to, where all of them
// rest, and how many they are; none where one doesn't, and gets nothing at present for another reason.
func (m *Machine) rested(r *request) (first model.Time, resting int) {
	for _, id := range m.byPool[r.Pool] {
		s := m.servers[id]
		if !s.serves() || m.notices.Leaves(m.now, id) || slices.Contains(r.Except, id) {
			continue
		}
		until := m.notices.RestsUntil(m.now, id)
		if until == 0 {
			return 0, 0
		}
		if resting == 0 || until < first {
			first = until
		}
		resting++
	}
	return first, resting
}

// refuseResting refuses a request at once that can't begin before the backend servers have rested, and tells whether it
// did. Its caller is told when that will be.
func (m *Machine) refuseResting(r *request, l levels) bool {
	first, resting := m.rested(r)
	if resting == 0 || first <= r.arrived+m.config.Tuning.WaitNone {
		return false
	}
	m.refuse(r, Resting, m.comeBack(r, first, resting)-m.now, l)
	return true
}

// comeBack returns when a caller may come back whose request finds all backend servers resting, the first until then.
//
// Callers come back no faster than the backend servers can serve half of them, as far as this router is one of many alike:
// all at once would make the backend servers ask for rest again. Before four services with 9 and 64 routers, 734 and 503
// callers that came back within half a second had 403 and 352 requests turned away in the first second, as queues were
// full; now 31 and 66 are, and 352 and 338 answers in time for 287 and 308 (TestRestedServersFillUpWithoutACrowd).
func (m *Machine) comeBack(r *request, first model.Time, resting int) model.Time {
	next := max(m.returns[r.Pool], first)
	gap := time.Duration(float64(m.capacityFor(r)) * float64(m.routers) / float64(resting) / returnPart)
	m.returns[r.Pool] = min(next+gap, first+maxRestSpread)
	if next >= first+maxRestSpread {
		return first + time.Duration(r.draw*float64(maxRestSpread))
	}
	return next + time.Duration(r.draw*float64(restSpread))
}

// capacityFor returns how long a request keeps a backend server of its pool from others: an engine reads one after
// the other, a plain service works on as many as it has slots. 0 where that isn't known.
func (m *Machine) capacityFor(r *request) time.Duration {
	if m.config.Pools[r.Pool].Engine {
		return time.Duration(float64(r.Prompt.Tokens) / m.paceOf(r.Pool).rate * float64(time.Second))
	}
	slots := 1
	for _, id := range m.byPool[r.Pool] {
		slots = max(slots, m.servers[id].Slots)
	}
	return m.workOf(r.Pool) / time.Duration(slots)
}
