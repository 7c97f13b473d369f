package member

import (
	"math/bits"
	"slices"

	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/wire"
)

type rumour struct {
	name string
	left int // sends left
}

func (l *List) spread(name string) {
	l.rumours = slices.DeleteFunc(l.rumours, func(r rumour) bool { return r.name == name })
	l.rumours = append(l.rumours, rumour{name: name, left: 4 * bits.Len(uint(len(l.names)+1))})
}

// Rumours returns what a datagram to that member should carry: fresh changes,
// the router's own entry, and what it holds of the receiver wherever the
// receiver should contradict it.
func (l *List) Rumours(to string) []*wire.Rumour {
	out := []*wire.Rumour{l.rumour(&l.self)}
	if m := l.members[to]; m != nil && (m.behind || m.Status != wire.Status_STATUS_ALIVE) {
		out = append(out, l.rumourToItself(m))
		m.behind = false
	}
	for i := range l.rumours {
		r := &l.rumours[i]
		m := l.members[r.name]
		if m == nil || r.name == to || len(out) >= rumoursAtOnce {
			continue
		}
		r.left--
		out = append(out, l.rumour(m))
	}
	l.rumours = slices.DeleteFunc(l.rumours, func(r rumour) bool { return r.left <= 0 })
	return out
}

// rumourToItself returns what a member is told of itself. One that has started again is told of the process before, so
// that it goes by a higher incarnation, and all others take its word.
func (l *List) rumourToItself(m *Member) *wire.Rumour {
	out := l.rumour(m)
	if m.behind && m.Past != 0 {
		out.Boot = m.Past
	}
	return out
}

func (l *List) rumour(m *Member) *wire.Rumour {
	return &wire.Rumour{
		Name: m.Name, Address: m.Address, DataHall: m.DataHall,
		Boot: m.Boot, Incarnation: m.Incarnation, Status: m.Status, Processor: float32(m.Processor),
	}
}

// Learn takes a rumour.
func (l *List) Learn(now model.Time, r *wire.Rumour) {
	if r.Name == l.self.Name {
		l.contradict(r)
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
		l.take(now, m, r)
		return
	}
	if r.Incarnation < m.Incarnation {
		m.behind = true
		return
	}
	if r.Incarnation == m.Incarnation && r.Status <= m.Status {
		return
	}
	newer := r.Incarnation > m.Incarnation
	l.take(now, m, r)
	if newer {
		l.spread(m.Name) // it may listen elsewhere now
	}
}

func (l *List) take(now model.Time, m *Member, r *wire.Rumour) {
	m.Incarnation = r.Incarnation
	m.Address = r.Address
	m.DataHall = r.DataHall
	if r.Processor > 0 {
		m.Processor = float64(r.Processor)
	}
	if r.Boot != 0 && m.Boot != r.Boot {
		l.Heard(m.heard, m.Name, r.Boot)
	}
	m.behind = false
	if m.Status != r.Status {
		l.set(now, m, r.Status)
	}
}

// contradict answers a rumour about the router itself that isn't true, or is
// about an earlier process of its name.
func (l *List) contradict(r *wire.Rumour) {
	stale := r.Boot != 0 && r.Boot != l.self.Boot
	wrong := r.Status != l.self.Status && r.Status != wire.Status_STATUS_ALIVE
	if (stale || wrong) && r.Incarnation >= l.self.Incarnation {
		l.self.Incarnation = r.Incarnation + 1
	}
}
