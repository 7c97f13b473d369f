package prompt

import (
	"slices"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

// A plain service works on as many requests at once as it has slots, and lets some more
// wait, whose callers then wait with them: a queue that takes longer than the objective
// leaves all of them late. What waits there is estimated from the requests that all routers
// have running, and from how long one takes, which is learned.

const (
	// serviceBegin is the part of the objective within which an answer must be expected for
	// a request to be sent. The rest is for what takes longer than the mean, and for what
	// other routers have sent and not told of yet.
	serviceBegin = 0.8
	// serviceFarPenalty is what another data hall counts for, in full slots.
	serviceFarPenalty = 0.2
)

// bestService returns a backend server of a plain service, drawn by chance; ok is false
// where there is none. The fuller one is, the less likely it is drawn: reports are older
// than a request takes, so that all routers would send to the least loaded one until the
// next reports, which then show another.
func (m *Machine) bestService(r *request) (drawn place, ok bool) {
	sum := 0.0
	for _, id := range m.byPool[r.Pool] {
		s := m.servers[id]
		if !m.takes(s) || slices.Contains(r.Except, id) {
			continue
		}
		p := m.placeAtService(s)
		weight := 1 / (1 + max(p.score, 0))
		sum += weight
		if m.random.Float64()*sum < weight {
			drawn, ok = p, true
		}
	}
	drawn.soonest = drawn.delay
	return drawn, ok
}

// mayBeginService tells whether a request is sent to a plain service now. What finds a slot
// is sent however long it is expected to take: only requests that are sent tell that they
// take less. Else the chance to be sent falls evenly to none where the answer would come too
// late: all routers know the same load, and would all send below a limit and none above it,
// until the next reports.
func (m *Machine) mayBeginService(r *request, p place) bool {
	if p.ahead == 0 {
		return true
	}
	left := time.Duration(serviceBegin*float64(r.Objective)) - (p.delay - p.ahead) - (m.now - r.arrived)
	return r.draw < 1-p.ahead.Seconds()/max(left.Seconds(), 0)
}

// placeAtService returns what is expected of a request at a plain service.
func (m *Machine) placeAtService(s *server) place {
	slots := float64(max(s.Slots, 1))
	load := m.serviceLoad(s)
	p := place{server: s, score: load/slots + s.health.failing(m.now)*m.config.Tuning.FailureWeight}
	if !s.Near {
		p.score += serviceFarPenalty
	}
	work := float64(m.workOf(s.Pool))
	p.ahead = time.Duration(max(load+1-slots, 0) / slots * work)
	p.delay = p.ahead + time.Duration(work)
	return p
}

// serviceLoad returns how many requests are expected to be at a plain service. A router that
// has heard no other takes each to have as many there as itself.
func (m *Machine) serviceLoad(s *server) float64 {
	if len(m.peers) == 0 {
		return float64(len(s.flights) * m.routers)
	}
	return float64(s.running())
}

// workOf returns how long a request of a plain service takes by itself, in the mean; 0
// until one has told.
func (m *Machine) workOf(pool model.PoolID) time.Duration {
	if w := m.works[pool]; w != nil {
		return time.Duration(w.value)
	}
	return 0
}

// learnWork takes how long a request took at a plain service that had a slot for it.
func (m *Machine) learnWork(s *server, f *flight) {
	if s.engine || !f.alone || s.running() > s.Slots {
		return
	}
	took := float64(m.now - f.sent)
	if m.works[s.Pool] == nil {
		m.works[s.Pool] = &mean{value: took}
	}
	m.works[s.Pool].add(took)
}
