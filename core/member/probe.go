package member

import (
	"slices"

	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/wire"
)

type probing struct {
	nonce    uint64
	target   string
	started  model.Time
	helped   bool
	answered bool
}

// relay is a ping made on another member's behalf.
type relay struct {
	requester string
	nonce     uint64
	target    string
}

// Receive takes a probe from a member and returns what to send for it.
func (l *List) Receive(now model.Time, from string, p *wire.Probe) []Send {
	switch p.Kind {
	case wire.ProbeKind_PROBE_PING:
		return []Send{{To: from, Probe: &wire.Probe{Kind: wire.ProbeKind_PROBE_ACK, Nonce: p.Nonce}}}
	case wire.ProbeKind_PROBE_REQUEST:
		return l.relayPing(from, p)
	default:
		return l.acknowledged(now, from, p)
	}
}

// AskDead returns a ping of a member that is held to be dead and has just been heard: the
// ping tells it so, and its answer contradicts it. It would else stay dead here until it is
// its turn to be pinged, which takes longer the larger the fleet is.
func (l *List) AskDead(now model.Time, name string) []Send {
	m := l.members[name]
	if m == nil || m.Status != wire.Status_STATUS_DEAD || now < m.asked+Period {
		return nil
	}
	m.asked = now
	l.nonce++
	return []Send{{To: name, Probe: &wire.Probe{Nonce: l.nonce}}}
}

func (l *List) relayPing(from string, p *wire.Probe) []Send {
	if l.members[p.Target] == nil {
		return nil
	}
	l.nonce++
	l.relays[l.nonce] = relay{requester: from, nonce: p.Nonce, target: p.Target}
	return []Send{{To: p.Target, Probe: &wire.Probe{Nonce: l.nonce}}}
}

func (l *List) acknowledged(now model.Time, from string, p *wire.Probe) []Send {
	if r, ok := l.relays[p.Nonce]; ok && r.target == from {
		delete(l.relays, p.Nonce)
		ack := &wire.Probe{Kind: wire.ProbeKind_PROBE_ACK, Nonce: r.nonce, Target: from}
		return []Send{{To: r.requester, Probe: ack}}
	}
	if l.probe == nil || l.probe.nonce != p.Nonce {
		return nil
	}
	if from != l.probe.target && p.Target != l.probe.target {
		return nil
	}
	l.probe.answered = true
	l.revive(now, l.probe.target)
	return nil
}

// revive clears a suspicion that a direct answer has disproved. A dead member
// comes back with its own rumour, which has a higher incarnation.
func (l *List) revive(now model.Time, name string) {
	if m := l.members[name]; m != nil && m.Status == wire.Status_STATUS_SUSPECT {
		l.set(now, m, wire.Status_STATUS_ALIVE)
	}
}

// Tick advances time and returns the probes that are due.
func (l *List) Tick(now model.Time) []Send {
	l.buryDead(now)
	out := l.askHelpers(now)
	if now < l.next {
		return out
	}
	l.next = now + Period
	l.periods++
	l.endProbe(now)
	l.relays = map[uint64]relay{}
	target := l.nextTarget()
	if target == "" {
		return out
	}
	l.nonce++
	l.probe = &probing{nonce: l.nonce, target: target, started: now}
	return append(out, Send{To: target, Probe: &wire.Probe{Nonce: l.nonce}})
}

// Wake returns when Tick has next something to do.
func (l *List) Wake() model.Time {
	if l.probe != nil && !l.probe.answered && !l.probe.helped {
		return min(l.next, l.probe.started+ackTimeout)
	}
	return l.next
}

func (l *List) askHelpers(now model.Time) []Send {
	p := l.probe
	if p == nil || p.answered || p.helped || now < p.started+ackTimeout {
		return nil
	}
	p.helped = true
	var out []Send
	for _, i := range l.random.Perm(len(l.names)) {
		name := l.names[i]
		if name == p.target || !l.members[name].Reachable() {
			continue
		}
		request := &wire.Probe{Kind: wire.ProbeKind_PROBE_REQUEST, Nonce: p.nonce, Target: p.target}
		out = append(out, Send{To: name, Probe: request})
		if len(out) == helpers {
			break
		}
	}
	return out
}

func (l *List) endProbe(now model.Time) {
	p := l.probe
	l.probe = nil
	if p == nil || p.answered || !l.MayJudge(now) {
		return
	}
	m := l.members[p.target]
	if m == nil {
		return
	}
	switch m.Status {
	case wire.Status_STATUS_ALIVE:
		l.set(now, m, wire.Status_STATUS_SUSPECT)
	case wire.Status_STATUS_LEAVING:
		l.set(now, m, wire.Status_STATUS_DEAD)
	}
}

func (l *List) buryDead(now model.Time) {
	if l.suspects == 0 || !l.MayJudge(now) {
		return
	}
	for _, name := range l.names {
		m := l.members[name]
		if m.Status == wire.Status_STATUS_SUSPECT && now >= m.since+suspectFor {
			l.set(now, m, wire.Status_STATUS_DEAD)
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
			if m.Reachable() || l.periods%deadEvery == 0 {
				return name
			}
		}
		l.round = slices.Clone(l.names)
		l.random.Shuffle(len(l.round), func(i, j int) { l.round[i], l.round[j] = l.round[j], l.round[i] })
	}
	return ""
}
