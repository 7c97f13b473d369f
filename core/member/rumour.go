package member

import (
	"math/bits"
	"slices"

	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/wire"
)

// pendingRumour is a member whose entry is still to be sent a number of times.
type pendingRumour struct {
	name      string
	sendsLeft int
}

func (l *List) enqueueRumour(name string) {
	l.rumours = slices.DeleteFunc(l.rumours, func(r pendingRumour) bool { return r.name == name })
	l.rumours = append(l.rumours, pendingRumour{name: name, sendsLeft: 4 * bits.Len(uint(len(l.names)+1))})
}

// Rumours returns the rumours for a datagram to the given member: the router's own entry,
// the receiver's entry where the receiver should refute it, and recent changes.
func (l *List) Rumours(to string) []*wire.Rumour {
	out := []*wire.Rumour{l.rumour(&l.self)}
	if m := l.members[to]; m != nil && (m.outdated || m.Status != wire.Status_STATUS_ALIVE) {
		out = append(out, l.rumourForSelf(m))
		m.outdated = false
	}
	for i := range l.rumours {
		r := &l.rumours[i]
		m := l.members[r.name]
		if m == nil || r.name == to || len(out) >= maxRumours {
			continue
		}
		r.sendsLeft--
		out = append(out, l.rumour(m))
	}
	l.rumours = slices.DeleteFunc(l.rumours, func(r pendingRumour) bool { return r.sendsLeft <= 0 })
	return out
}

// rumourForSelf returns the rumour about a member that is sent to that member. One that has restarted is sent the entry
// of its previous process, so that it increases its incarnation and all others accept its rumours.
func (l *List) rumourForSelf(m *Member) *wire.Rumour {
	out := l.rumour(m)
	if m.outdated && m.PreviousBoot != 0 {
		out.Boot = m.PreviousBoot
	}
	return out
}

func (l *List) rumour(m *Member) *wire.Rumour {
	return &wire.Rumour{
		Name: m.Name, Address: m.Address, DataHall: m.DataHall,
		Boot: m.Boot, Incarnation: m.Incarnation, Status: m.Status, Processor: float32(m.Processor),
	}
}

// ApplyRumour applies a rumour received from another router.
func (l *List) ApplyRumour(now model.Time, r *wire.Rumour) {
	if r.Name == l.self.Name {
		l.refute(r)
		return
	}
	m := l.members[r.Name]
	if m == nil {
		if r.Status == wire.Status_STATUS_DEAD {
			return
		}
		m = l.add(now, r.Name, r.Address, r.DataHall)
		m.Incarnation = r.Incarnation
		m.Boot = r.Boot
		l.apply(now, m, r)
		return
	}
	if r.Incarnation < m.Incarnation {
		m.outdated = true
		return
	}
	if r.Incarnation == m.Incarnation && r.Status <= m.Status {
		return
	}
	newer := r.Incarnation > m.Incarnation
	l.apply(now, m, r)
	if newer {
		l.enqueueRumour(m.Name) // its address may have changed
	}
}

func (l *List) apply(now model.Time, m *Member, r *wire.Rumour) {
	m.Incarnation = r.Incarnation
	m.Address = r.Address
	m.DataHall = r.DataHall
	if r.Processor > 0 {
		m.Processor = float64(r.Processor)
	}
	if r.Boot != 0 && m.Boot != r.Boot {
		l.RecordContact(m.lastSeen, m.Name, r.Boot)
	}
	m.outdated = false
	if m.Status != r.Status {
		l.setStatus(now, m, r.Status)
	}
}

// refute increases the router's incarnation where a rumour about it has a wrong status, or is
// about an earlier process of its name.
func (l *List) refute(r *wire.Rumour) {
	stale := r.Boot != 0 && r.Boot != l.self.Boot
	wrong := r.Status != l.self.Status && r.Status != wire.Status_STATUS_ALIVE
	if (stale || wrong) && r.Incarnation >= l.self.Incarnation {
		l.self.Incarnation = r.Incarnation + 1
	}
}
