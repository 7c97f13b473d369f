package member

import (
	"slices"

	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/wire"
)

// pendingProbe is the probe of the current period.
type pendingProbe struct {
	nonce    uint64
	target   string
	started  model.Time
	indirect bool // indirect probes have been requested
	acked    bool
}

// indirectPing is a ping sent on another member's behalf.
type indirectPing struct {
	requester string
	nonce     uint64 // of the request
	target    string
}

// Receive handles a probe from a member and returns the probes to send in reply.
func (l *List) Receive(now model.Time, from string, p *wire.Probe) []Send {
	switch p.Kind {
	case wire.ProbeKind_PROBE_PING:
		return []Send{{To: from, Probe: &wire.Probe{Kind: wire.ProbeKind_PROBE_ACK, Nonce: p.Nonce}}}
	case wire.ProbeKind_PROBE_REQUEST:
		return l.startIndirectPing(from, p)
	default:
		return l.receiveAck(now, from, p)
	}
}

// PingDead returns a ping to a member with status dead from which a datagram has just been received,
// at most one a period. The ping's datagram carries the rumour of its death, which it refutes in
// its ack. Otherwise it would stay dead here until its next regular ping, which takes longer
// the larger the fleet is.
func (l *List) PingDead(now model.Time, name string) []Send {
	m := l.members[name]
	if m == nil || m.Status != wire.Status_STATUS_DEAD || now < m.refutePing+Period {
		return nil
	}
	m.refutePing = now
	l.nonce++
	return []Send{{To: name, Probe: &wire.Probe{Nonce: l.nonce}}}
}

func (l *List) startIndirectPing(from string, p *wire.Probe) []Send {
	if l.members[p.Target] == nil {
		return nil
	}
	l.nonce++
	l.indirect[l.nonce] = indirectPing{requester: from, nonce: p.Nonce, target: p.Target}
	return []Send{{To: p.Target, Probe: &wire.Probe{Nonce: l.nonce}}}
}

func (l *List) receiveAck(now model.Time, from string, p *wire.Probe) []Send {
	if r, ok := l.indirect[p.Nonce]; ok && r.target == from {
		delete(l.indirect, p.Nonce)
		ack := &wire.Probe{Kind: wire.ProbeKind_PROBE_ACK, Nonce: r.nonce, Target: from}
		return []Send{{To: r.requester, Probe: ack}}
	}
	if l.probe == nil || l.probe.nonce != p.Nonce {
		return nil
	}
	if from != l.probe.target && p.Target != l.probe.target {
		return nil
	}
	l.probe.acked = true
	l.clearSuspicion(now, l.probe.target)
	return nil
}

// clearSuspicion sets a suspect member that has acked a probe to alive. A dead member
// becomes alive by its own rumour, which has a higher incarnation.
func (l *List) clearSuspicion(now model.Time, name string) {
	if m := l.members[name]; m != nil && m.Status == wire.Status_STATUS_SUSPECT {
		l.setStatus(now, m, wire.Status_STATUS_ALIVE)
	}
}

// Tick handles the timers that are due and returns the probes to send.
func (l *List) Tick(now model.Time) []Send {
	l.expireSuspects(now)
	out := l.requestIndirect(now)
	if now < l.next {
		return out
	}
	l.next = now + Period
	l.periods++
	l.finishProbe(now)
	l.indirect = map[uint64]indirectPing{}
	target := l.nextTarget()
	if target == "" {
		return out
	}
	l.nonce++
	l.probe = &pendingProbe{nonce: l.nonce, target: target, started: now}
	return append(out, Send{To: target, Probe: &wire.Probe{Nonce: l.nonce}})
}

// NextTick returns when Tick is next to be called.
func (l *List) NextTick() model.Time {
	if l.probe != nil && !l.probe.acked && !l.probe.indirect {
		return min(l.next, l.probe.started+ackTimeout)
	}
	return l.next
}

func (l *List) requestIndirect(now model.Time) []Send {
	p := l.probe
	if p == nil || p.acked || p.indirect || now < p.started+ackTimeout {
		return nil
	}
	p.indirect = true
	var out []Send
	for _, i := range l.random.Perm(len(l.names)) {
		name := l.names[i]
		if name == p.target || !l.members[name].Reachable() {
			continue
		}
		request := &wire.Probe{Kind: wire.ProbeKind_PROBE_REQUEST, Nonce: p.nonce, Target: p.target}
		out = append(out, Send{To: name, Probe: request})
		if len(out) == indirectProbes {
			break
		}
	}
	return out
}

func (l *List) finishProbe(now model.Time) {
	p := l.probe
	l.probe = nil
	if p == nil || p.acked || !l.CanSuspect(now) {
		return
	}
	m := l.members[p.target]
	if m == nil {
		return
	}
	switch m.Status {
	case wire.Status_STATUS_ALIVE:
		l.setStatus(now, m, wire.Status_STATUS_SUSPECT)
	case wire.Status_STATUS_LEAVING:
		l.setStatus(now, m, wire.Status_STATUS_DEAD)
	}
}

func (l *List) expireSuspects(now model.Time) {
	if l.suspects == 0 || !l.CanSuspect(now) {
		return
	}
	for _, name := range l.names {
		m := l.members[name]
		if m.Status == wire.Status_STATUS_SUSPECT && now >= m.since+suspectTimeout {
			l.setStatus(now, m, wire.Status_STATUS_DEAD)
		}
	}
}

func (l *List) nextTarget() string {
	for range 2 {
		for len(l.round) > 0 {
			name := l.round[0]
			l.round = l.round[1:]
			m := l.members[name]
			if m == nil {
				continue
			}
			if m.Reachable() || l.periods%deadPingPeriods == 0 {
				return name
			}
		}
		l.round = slices.Clone(l.names)
		l.random.Shuffle(len(l.round), func(i, j int) { l.round[i], l.round[j] = l.round[j], l.round[i] })
	}
	return ""
}
