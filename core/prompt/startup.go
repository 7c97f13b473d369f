package prompt

import (
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

// startupAssumptionTTL is how long after its first dispatch a router without any load report assumes that the others
// send as much as it does.
const startupAssumptionTTL = 300 * time.Millisecond

// startupAssumption is the load that a router that has just started assumes for the others until it receives a
// report. If all routers start together after a power failure, their callers retry at once. Without the assumption,
// each router would fill engines that appear idle, several times over, before the first reports arrive.
type startupAssumption struct {
	started bool       // something was dispatched to an engine
	until   model.Time // when the assumption ends without a report
	ended   bool
}

// assume adds the tokens that the others may have sent when this router has just sent the given number to a pool: the
// same number for each router, spread over the pool's backend servers.
func (m *Machine) assume(pool model.PoolID, tokens float64) {
	a := &m.startup
	if !a.started {
		a.started = true
		a.until = m.now + startupAssumptionTTL
	}
	m.endStartupAssumption()
	if a.ended {
		return
	}
	all := m.byPool[pool]
	for _, id := range all {
		m.servers[id].assumedTokens += tokens * float64(m.routers-1) / float64(len(all))
	}
}

// endStartupAssumption removes the assumed tokens once a report of another router has been received or the time has
// passed.
func (m *Machine) endStartupAssumption() {
	a := &m.startup
	waiting := len(m.peers) == 0 && (!a.started || m.now < a.until)
	if a.ended || waiting {
		return
	}
	a.ended = true
	for _, s := range m.servers {
		s.assumedTokens = 0
	}
}
