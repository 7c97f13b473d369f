package prompt

import (
	"slices"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

const (
	// retrySpread is the minimum period over which callers are spread that retry after a backend server has rested. A
	// second after the rest the backend server should be fully used again, hence half a second.
	retrySpread = 500 * time.Millisecond
	// maxRetrySpread is the maximum of this period, which limits how long callers wait.
	maxRetrySpread = 3 * time.Second
	// retryFraction is the fraction of the backend servers' capacity that is reserved for retrying callers.
	retryFraction = 0.5
)

// restEnd returns when the first of the backend servers available to a request ends its rest, and how many are
// resting. It returns zeros unless all of them are resting.
func (m *Machine) restEnd(r *request) (first model.Time, resting int) {
	for _, id := range m.byPool[r.Pool] {
		s := m.servers[id]
		if !s.inService() || m.notices.IsLeaving(m.now, id) || slices.Contains(r.Exclude, id) {
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

// refuseResting refuses a request at once that cannot begin before a backend server ends its rest, and reports
// whether it did. The refusal has the time until then as RetryAfter.
func (m *Machine) refuseResting(r *request, l levels) bool {
	first, resting := m.restEnd(r)
	if resting == 0 || first <= r.arrived+m.config.Tuning.UnavailableWait {
		return false
	}
	m.refuse(r, Resting, m.retryTime(r, first, resting)-m.now, l)
	return true
}

// retryTime returns when a caller may retry whose request found all backend servers resting until the given time.
//
// Callers retry no faster than half of the rate that the backend servers can serve, assuming that all routers have
// equal load: if all retried at once, the backend servers would request a rest again. With four backend servers, 9
// and 64 routers, and 734 and 503 callers that retried within half a second, 403 and 352 requests were rejected in
// the first second because queues were full; with this limit 31 and 66 are, and 352 and 338 answers are in time
// instead of 287 and 308 (TestRetriesAfterRestAreSpread).
func (m *Machine) retryTime(r *request, first model.Time, resting int) model.Time {
	next := max(m.nextRetry[r.Pool], first)
	gap := time.Duration(float64(m.occupancyOf(r)) * float64(m.routers) / float64(resting) / retryFraction)
	m.nextRetry[r.Pool] = min(next+gap, first+maxRetrySpread)
	if next >= first+maxRetrySpread {
		return first + time.Duration(r.uniform*float64(maxRetrySpread))
	}
	return next + time.Duration(r.uniform*float64(retrySpread))
}

// occupancyOf returns how long a request occupies a backend server of its pool. An engine prefills one request after
// the other; a plain service processes as many at once as it has slots. The result is 0 if it is unknown.
func (m *Machine) occupancyOf(r *request) time.Duration {
	if m.config.Pools[r.Pool].Engine {
		return time.Duration(float64(r.Prompt.Tokens) / m.latencyOf(r.Pool).rate * float64(time.Second))
	}
	slots := 1
	for _, id := range m.byPool[r.Pool] {
		slots = max(slots, m.servers[id].Slots)
	}
	return m.serviceTimeOf(r.Pool) / time.Duration(slots)
}
