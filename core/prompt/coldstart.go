package prompt

import (
	"time"

	"github.com/tamarindstep/tamarindstep/core/cold"
	"github.com/tamarindstep/tamarindstep/model"
)

const (
	// coldTrust is how many times as long as a backend server is cold after its start its
	// word for it is taken: it takes it back by itself, unless the store is out.
	coldTrust = 3
	// coldQuiet is how long a router that has just started sends nothing to cold backend
	// servers: it doesn't know the other routers yet, and routers that start together
	// would each take themselves for one that may send.
	coldQuiet = 2 * time.Second
	// maxOwnCold is how many cold backend servers of which this router is a sender are
	// looked at for a request: no other router sends to them.
	maxOwnCold = 4
)

// coldStart is what is known of a backend server's being cold.
type coldStart struct {
	until model.Time // when its own word for it ends at the latest, 0 for none
	// back is until when it is taken for cold as its data hall was taken back: backend
	// servers may turn cold while their hall is evacuated, and the word for that comes
	// apart from that for the hall.
	back  model.Time
	part  int // requests in any second that this router may send there
	meter cold.Meter
}

// configure follows a change of a backend server.
func (c *coldStart) configure(now model.Time, before, after Backend, p Pool) {
	switch {
	case p.ColdBound <= 0:
		c.until, c.back = 0, 0
		return
	case !after.Cold:
		c.until = 0
	case !before.Cold:
		c.until = now + coldTrust*p.ColdFor
	}
	if before.Evacuated && !after.Evacuated {
		c.back = now + p.ColdFor
	}
}

// is tells whether the backend server is taken for cold.
func (c *coldStart) is(now model.Time) bool { return now < c.until || now < c.back }

// takes tells whether this router may send something there.
func (c *coldStart) takes(now model.Time) bool {
	return !c.is(now) || c.meter.Sent(now) < c.part
}

// fleet is what the parts of cold backend servers rest on.
type fleet struct {
	began   model.Time // this router's process
	settled bool       // it is old enough to send to cold backend servers
	told    bool       // somebody has said which other routers there are
	self    string
	ring    *cold.Ring // of all routers that are known, dead ones too, and this one
	// mine are the cold backend servers of which this router is a sender, by pool.
	mine map[model.PoolID][]model.BackendID
}

// KnowRouters takes the names of all routers that are known, this one included; told tells
// whether anybody has said which there are.
func (m *Machine) KnowRouters(self string, routers []string, told bool) {
	m.fleet.told = told
	m.fleet.self = self
	m.fleet.ring = cold.NewRing(routers)
	m.shareColdOut()
	m.version++
}

// shareColdOut works out this router's parts of the backend servers that are cold.
func (m *Machine) shareColdOut() {
	may := m.fleet.told && m.fleet.settled
	m.fleet.mine = map[model.PoolID][]model.BackendID{}
	for _, id := range m.order {
		s := m.servers[id]
		s.cold.part = 0
		if !may || !s.cold.is(m.now) {
			continue
		}
		s.cold.part = m.fleet.ring.Part(m.fleet.self, s.Name, m.config.Pools[s.Pool].ColdBound)
		if s.cold.part > 0 {
			m.fleet.mine[s.Pool] = append(m.fleet.mine[s.Pool], id)
		}
	}
}

// endColdQuiet works the parts out anew once this router may send to cold backend servers.
func (m *Machine) endColdQuiet() {
	if !m.fleet.settled && m.now >= m.fleet.began+coldQuiet {
		m.fleet.settled = true
		m.shareColdOut()
	}
}

// ownCold returns cold backend servers of a pool that take something from this router.
func (m *Machine) ownCold(pool model.PoolID) []model.BackendID {
	var out []model.BackendID
	for _, id := range m.fleet.mine[pool] {
		s := m.servers[id]
		if len(out) < maxOwnCold && s.cold.is(m.now) && m.takes(s) {
			out = append(out, id)
		}
	}
	return out
}
