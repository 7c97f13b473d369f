package prompt

import (
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

// unheardFor is how long after its first send a router that has heard no other's report
// takes them to send as much as it does itself.
const unheardFor = 300 * time.Millisecond

// unheard is what a router that has just started takes the others to have sent, until it
// hears of it. Where all routers have started together, after a loss of power, their
// callers come back at once: each would else fill engines that look empty to it, in the
// time until the first reports arrive, several times over.
type unheard struct {
	began bool       // something was sent to an engine
	until model.Time // when the others are taken to send nothing, if none was heard
	over  bool
}

// assume counts what the others may have sent when this router has just sent so many
// tokens to a pool: as much each, spread over its backend servers.
func (m *Machine) assume(pool model.PoolID, tokens float64) {
	u := &m.unheard
	if !u.began {
		u.began = true
		u.until = m.now + unheardFor
	}
	m.endUnheard()
	if u.over {
		return
	}
	all := m.byPool[pool]
	for _, id := range all {
		m.servers[id].assumed += tokens * float64(m.routers-1) / float64(len(all))
	}
}

// endUnheard takes back what was assumed, once another router has been heard or the time
// for it is over.
func (m *Machine) endUnheard() {
	u := &m.unheard
	waiting := len(m.peers) == 0 && (!u.began || m.now < u.until)
	if u.over || waiting {
		return
	}
	u.over = true
	for _, s := range m.servers {
		s.assumed = 0
	}
}
