package prompt

import (
	"time"

	"github.com/tamarindstep/tamarindstep/core/cold"
	"github.com/tamarindstep/tamarindstep/model"
)

const (
	// coldAnnouncementFactor limits how long a backend server's announcement that it is cold is valid, as a multiple
	// of ColdFor. The backend server withdraws the announcement itself unless the store is unavailable.
	coldAnnouncementFactor = 3
	// coldStartupDelay is how long a router that has just started dispatches nothing to cold backend servers. It does
	// not have the list of routers yet, and routers that start together would each consider themselves as an allowed
	// sender.
	coldStartupDelay = 2 * time.Second
	// maxAssignedCold is the largest number of cold backend servers assigned to this router that are evaluated for a
	// request. Routers that they are not assigned to send nothing there.
	maxAssignedCold = 4
)

// coldStart is the cold state of a backend server.
type coldStart struct {
	announcedUntil model.Time // when its announcement expires, 0 for none
	// restoredUntil is until when it is considered cold because the evacuation of its data hall has ended. Backend
	// servers may become cold during an evacuation, and their announcement arrives separately from the end of the
	// evacuation.
	restoredUntil model.Time
	quota         int // requests that this router may send there per second
	meter         cold.Meter
}

// configure applies a configuration change of a backend server.
func (c *coldStart) configure(now model.Time, before, after Backend, p Pool) {
	switch {
	case p.ColdBound <= 0:
		c.announcedUntil, c.restoredUntil = 0, 0
		return
	case !after.Cold:
		c.announcedUntil = 0
	case !before.Cold:
		c.announcedUntil = now + coldAnnouncementFactor*p.ColdFor
	}
	if before.Evacuated && !after.Evacuated {
		c.restoredUntil = now + p.ColdFor
	}
}

// active reports whether the backend server is considered cold.
func (c *coldStart) active(now model.Time) bool {
	return now < c.announcedUntil || now < c.restoredUntil
}

// accepts reports whether this router may send a request there.
func (c *coldStart) accepts(now model.Time) bool {
	return !c.active(now) || c.meter.Sent(now) < c.quota
}

// coldAssignment holds what determines the quotas for cold backend servers.
type coldAssignment struct {
	started model.Time // start of this router's process
	ready   bool       // coldStartupDelay has passed
	listed  bool       // the list of routers has been received
	self    string
	ring    *cold.Ring // all listed routers, including dead ones and this one
	// assigned lists the cold backend servers that this router may send to, by pool.
	assigned map[model.PoolID][]model.BackendID
}

// SetRouterNames sets the names of all routers, this one included; listed reports whether the list of routers has been
// received at all.
func (m *Machine) SetRouterNames(self string, routers []string, listed bool) {
	m.coldAssignment.listed = listed
	m.coldAssignment.self = self
	m.coldAssignment.ring = cold.NewRing(routers)
	m.assignCold()
	m.version++
}

// assignCold computes this router's quotas for the cold backend servers.
func (m *Machine) assignCold() {
	allowed := m.coldAssignment.listed && m.coldAssignment.ready
	m.coldAssignment.assigned = map[model.PoolID][]model.BackendID{}
	for _, id := range m.order {
		s := m.servers[id]
		s.cold.quota = 0
		if !allowed || !s.cold.active(m.now) {
			continue
		}
		s.cold.quota = m.coldAssignment.ring.Quota(m.coldAssignment.self, s.Name, m.config.Pools[s.Pool].ColdBound)
		if s.cold.quota > 0 {
			m.coldAssignment.assigned[s.Pool] = append(m.coldAssignment.assigned[s.Pool], id)
		}
	}
}

// enableCold computes the quotas again once coldStartupDelay has passed.
func (m *Machine) enableCold() {
	if !m.coldAssignment.ready && m.now >= m.coldAssignment.started+coldStartupDelay {
		m.coldAssignment.ready = true
		m.assignCold()
	}
}

// assignedCold returns cold backend servers of a pool that accept a request from this router.
func (m *Machine) assignedCold(pool model.PoolID) []model.BackendID {
	var out []model.BackendID
	for _, id := range m.coldAssignment.assigned[pool] {
		s := m.servers[id]
		if len(out) < maxAssignedCold && s.cold.active(m.now) && m.accepts(s) {
			out = append(out, id)
		}
	}
	return out
}
