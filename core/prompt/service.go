package prompt

import (
	"slices"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

// A plain service processes as many requests at once as it has slots and queues some more. A queue that takes longer
// than the objective makes all queued requests late. The queue length is estimated from the running requests of all
// routers, and the time per request from earlier requests.

const (
	// serviceDelayFraction is the fraction of the objective within which an answer must be expected for a request to
	// be dispatched. The rest allows for requests that take longer than the mean and for requests that other routers
	// have not reported yet.
	serviceDelayFraction = 0.8
	// serviceCrossHallPenalty is the penalty for another data hall, as a fraction of the slots.
	serviceCrossHallPenalty = 0.2
)

// bestService returns a random backend server of a plain service; ok is false if there is none. The probability
// decreases with the load: reports are older than a request takes, so that all routers would otherwise dispatch to
// the least loaded backend server until the next reports.
func (m *Machine) bestService(r *request) (chosen place, ok bool) {
	sum := 0.0
	for _, id := range m.byPool[r.Pool] {
		s := m.servers[id]
		if !r.mayGoTo(s) || !m.accepts(s) || slices.Contains(r.Exclude, id) {
			continue
		}
		p := m.placeAtService(s)
		weight := 1 / (1 + max(p.score, 0))
		sum += weight
		if m.random.Float64()*sum < weight {
			chosen, ok = p, true
		}
	}
	chosen.minDelay = chosen.delay
	return chosen, ok
}

// mayDispatchToService reports whether a request may be dispatched to a plain service now. A request that finds a
// free slot is dispatched regardless of its expected duration, as only dispatched requests show that requests have
// become faster. Otherwise the probability decreases linearly to zero at the point where the answer would be too
// late: all routers have the same load information, and with a fixed limit all of them would dispatch below it and
// none above it until the next reports.
func (m *Machine) mayDispatchToService(r *request, p place) bool {
	if p.queueDelay == 0 {
		return true
	}
	left := time.Duration(serviceDelayFraction*float64(r.Objective)) - (p.delay - p.queueDelay) - (m.now - r.arrived)
	return r.uniform < 1-p.queueDelay.Seconds()/max(left.Seconds(), 0)
}

// placeAtService returns the expected load and delay of a request at a plain service.
func (m *Machine) placeAtService(s *server) place {
	slots := float64(max(s.Slots, 1))
	load := m.serviceLoad(s)
	p := place{server: s, score: load/slots + s.health.failureRate(m.now)*m.config.Tuning.FailurePenalty}
	if !s.Near {
		p.score += serviceCrossHallPenalty
	}
	serviceTime := float64(m.serviceTimeOf(s.Pool))
	p.queueDelay = time.Duration(max(load+1-slots, 0) / slots * serviceTime)
	p.delay = p.queueDelay + time.Duration(serviceTime)
	return p
}

// serviceLoad returns the expected number of requests at a plain service. Until the first report is received, each
// other router is assumed to have as many there as this one.
func (m *Machine) serviceLoad(s *server) float64 {
	if len(m.peers) == 0 {
		return float64(len(s.flights) * m.routers)
	}
	return float64(s.running())
}

// serviceTimeOf returns the mean time that a plain service of a pool takes for a request, without queueing; 0 until
// the first answer.
func (m *Machine) serviceTimeOf(pool model.PoolID) time.Duration {
	if w := m.serviceTimes[pool]; w != nil {
		return time.Duration(w.value)
	}
	return 0
}

// recordServiceTime records how long a request took at a plain service that had a slot for it.
func (m *Machine) recordServiceTime(s *server, f *flight) {
	if s.engine || !f.uncontended || s.running() > s.Slots {
		return
	}
	took := float64(m.now - f.sent)
	if m.serviceTimes[s.Pool] == nil {
		m.serviceTimes[s.Pool] = &ewma{value: took}
	}
	m.serviceTimes[s.Pool].add(took)
}
