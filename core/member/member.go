// Package member maintains the list of live routers by probing, at a cost to each
// router that doesn't grow with the fleet.
//
// Every period a router pings one other, in shuffled order. If no ack arrives it
// asks a few more to ping on its behalf; if none of them gets an ack either, the
// member becomes suspect, and dead after a timeout. Changes are gossiped as rumours
// in the datagrams that are sent anyway, each a number of times that grows with the
// logarithm of the fleet's size.
//
// Rumours about a member are ordered by its incarnation: the highest wins, and at
// the same incarnation the worse status wins. A router that receives a rumour that it
// is suspect or dead, or one about an earlier process of its name, refutes it
// with a higher incarnation. A router that restarts without stored state therefore
// supersedes its previous process within one exchange.
//
// Limits. Members are discovered through the VM list, or when they ping this router.
// A dead member stays in the list while the VM list contains it, and is pinged
// at a lower rate, so that the two sides of a network partition find each other
// again. Routers' lists may differ: no safety property depends on agreement.
package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/wire"
)

// Parameters of failure detection.
const (
	// Period is the time between two pings of a router.
	Period         = 500 * time.Millisecond
	ackTimeout     = 150 * time.Millisecond
	suspectTimeout = 1500 * time.Millisecond
	indirectProbes = 3
	maxRumours     = 6 // in a datagram
	// deadPingPeriods is the number of periods between pings of dead members.
	deadPingPeriods = 4
	// lateHoldOff is how long after its last late event a router suspects no member: one period in which
	// the probes that it missed are answered, and the one before.
	lateHoldOff = 2 * Period
)

// Member is the last state received from a router, or the router's own.
type Member struct {
	Name         string
	Address      string // IP and port of its peer listener
	DataHall     string
	Processor    float64 // its share of a core, 0 if unknown
	Boot         uint64  // random number of its process, 0 until received
	PreviousBoot uint64  // random number of its previous process, 0 if unknown
	Incarnation  uint64
	Status       wire.Status
	since        model.Time // when the status was set
	listed       bool       // in the VM list
	lastSeen     model.Time // when its last datagram was received
	refutePing   model.Time // when it was last pinged so that it refutes its death
	outdated     bool       // it must be sent the entry stored here: it has restarted, or uses a lower incarnation
}

// Alive reports whether work may be shared with the member.
func (m *Member) Alive() bool {
	return m.Status == wire.Status_STATUS_ALIVE || m.Status == wire.Status_STATUS_SUSPECT
}

// DeadFor returns how long the member has been considered dead, 0 if it isn't.
func (m *Member) DeadFor(now model.Time) time.Duration {
	if m.Status != wire.Status_STATUS_DEAD {
		return 0
	}
	return now - m.since
}

// Reachable reports whether the member's process is considered to be running, possibly leaving.
func (m *Member) Reachable() bool {
	return m.Status != wire.Status_STATUS_DEAD
}

// Change is a change of a member's status, or its restart.
type Change struct {
	Name      string
	Status    wire.Status
	Restarted bool
	New       bool // the member was added
}

// Send is a probe to be sent.
type Send struct {
	To    string
	Probe *wire.Probe
}

// Listed is a router in the VM list.
type Listed struct {
	Name      string
	Address   string
	DataHall  string
	Processor float64
}

// List is the state machine of membership. It does no I/O and reads no clock.
type List struct {
	self     Member
	random   *rand.Rand
	members  map[string]*Member
	names    []string // sorted, without self
	round    []string // members still to be pinged in this round
	rumours  []pendingRumour
	probe    *pendingProbe
	indirect map[uint64]indirectPing // by the nonce of the ping sent
	nonce    uint64
	next     model.Time // when the next period begins
	periods  int
	changes  []Change
	version  uint64
	suspects int        // number of suspect members
	lastLate model.Time // when this router was last late
	wasLate  bool
}

// New returns the list of a router, without other members.
func New(self Member, random *rand.Rand) *List {
	return &List{
		self:     self,
		random:   random,
		members:  map[string]*Member{},
		indirect: map[uint64]indirectPing{},
	}
}

// RecordLate records that this router processes timers or events late.
func (l *List) RecordLate(now model.Time) { l.lastLate, l.wasLate = now, true }

// CanSuspect reports whether this router has been on time for long enough to attribute a missing ack to the member.
func (l *List) CanSuspect(now model.Time) bool { return !l.wasLate || now >= l.lastLate+lateHoldOff }

// Self returns the router's own entry.
func (l *List) Self() Member { return l.self }

// Version increases whenever the set of live members changes.
func (l *List) Version() uint64 { return l.version }

// Names returns the sorted names of the other members, including dead ones.
func (l *List) Names() []string { return l.names }

// Get returns the member with the given name, or nil. The router itself isn't a member.
func (l *List) Get(name string) *Member { return l.members[name] }

// Changes returns the changes since the last call and clears them.
func (l *List) Changes() []Change {
	out := l.changes
	l.changes = nil
	return out
}

// Live returns the live members and, unless it is leaving, the router itself,
// sorted by name.
func (l *List) Live() []*Member {
	var out []*Member
	for _, name := range l.names {
		if m := l.members[name]; m.Alive() {
			out = append(out, m)
		}
	}
	if l.self.Alive() {
		out = append(out, &l.self)
	}
	slices.SortFunc(out, func(a, b *Member) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Running returns every reachable member and the router itself: the live ones
// sorted by rendezvous weight, then the leaving ones.
func (l *List) Running() []*Member {
	var out []*Member
	for _, name := range l.names {
		if m := l.members[name]; m.Reachable() {
			out = append(out, m)
		}
	}
	out = append(out, &l.self)
	slices.SortFunc(out, func(a, b *Member) int {
		if a.Alive() != b.Alive() {
			return cmp.Compare(b2i(b.Alive()), b2i(a.Alive()))
		}
		return cmp.Or(cmp.Compare(model.Rendezvous(a.Name, treeSubject), model.Rendezvous(b.Name, treeSubject)), strings.Compare(a.Name, b.Name))
	})
	return out
}

// treeSubject is the rendezvous subject of the order of Running.
const treeSubject = "tree"

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

// SetListed sets the routers of the VM list. A router that is no longer listed is
// removed once it is dead.
func (l *List) SetListed(now model.Time, listed []Listed) {
	for _, m := range l.members {
		m.listed = false
	}
	for _, entry := range listed {
		if entry.Name == l.self.Name {
			continue
		}
		m := l.members[entry.Name]
		if m == nil {
			m = l.add(now, entry.Name, entry.Address, entry.DataHall)
			m.Processor = entry.Processor
		}
		if !m.Reachable() || m.Boot == 0 {
			m.Address = entry.Address
			m.DataHall = entry.DataHall
			m.Processor = entry.Processor
		}
		m.listed = true
	}
	l.removeUnlisted()
}

func (l *List) add(now model.Time, name, address, hall string) *Member {
	m := &Member{Name: name, Address: address, DataHall: hall, since: now}
	l.members[name] = m
	i, _ := slices.BinarySearch(l.names, name)
	l.names = slices.Insert(l.names, i, name)
	l.version++
	l.changes = append(l.changes, Change{Name: name, Status: m.Status, New: true})
	return m
}

func (l *List) removeUnlisted() {
	l.names = slices.DeleteFunc(l.names, func(name string) bool {
		m := l.members[name]
		remove := !m.listed && !m.Reachable()
		if remove {
			delete(l.members, name)
		}
		return remove
	})
}

// Leave marks the router itself as leaving and queues a rumour of it.
func (l *List) Leave() {
	if l.self.Status == wire.Status_STATUS_LEAVING {
		return
	}
	l.self.Status = wire.Status_STATUS_LEAVING
	l.self.Incarnation++
	l.version++
	l.enqueueRumour(l.self.Name)
}

// RecordContact records the receipt of an authentic datagram from a member, and its process.
func (l *List) RecordContact(now model.Time, from string, boot uint64) {
	m := l.members[from]
	if m == nil {
		return
	}
	m.lastSeen = now
	if m.Boot == boot {
		return
	}
	restarted := m.Boot != 0
	m.PreviousBoot, m.Boot = m.Boot, boot
	if restarted {
		m.outdated = true
		l.changes = append(l.changes, Change{Name: from, Status: m.Status, Restarted: true})
		l.version++
	}
}

// UpdateAddress sets a member's address to the one in its rumour about itself, received in an authentic datagram of its
// current process. A router that has restarted may listen on another address, and the VM list is updated seconds later.
func (l *List) UpdateAddress(from string, own *wire.Rumour) {
	m := l.members[from]
	if m == nil || own.Name != from || own.Boot != m.Boot || own.Address == "" {
		return
	}
	m.Address = own.Address
}

func (l *List) setStatus(now model.Time, m *Member, status wire.Status) {
	wasAlive := m.Alive()
	if m.Status == wire.Status_STATUS_SUSPECT {
		l.suspects--
	}
	if status == wire.Status_STATUS_SUSPECT {
		l.suspects++
	}
	m.Status = status
	m.since = now
	l.enqueueRumour(m.Name)
	if wasAlive != m.Alive() {
		l.version++
	}
	l.changes = append(l.changes, Change{Name: m.Name, Status: status})
}
