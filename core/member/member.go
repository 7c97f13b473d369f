// Package member keeps the list of live routers by probing, at a cost to each
// router that doesn't grow with the fleet.
//
// Every period a router pings one other, in a shuffled round. Where no answer
// comes it asks a few more to ping for it; where none of them gets through
// either, the member is suspect, and after a while dead. What is learned rides
// as rumours on the datagrams that are sent anyway, each a number of times
// that grows with the logarithm of the fleet.
//
// A member's own word is ordered by its incarnation: the highest wins, and at
// the same incarnation the worse status wins. A router that hears itself
// called suspect or dead, or hears of an earlier process of its own name,
// answers with a higher incarnation. A router that restarts with no memory
// therefore catches up with its own past within one exchange.
//
// Limits. Members are found through the VM list, or by being pinged by one
// that has it. A dead member stays in the list while the VM list has it, and
// is pinged now and then, so that two halves of a cut fleet find each other
// again. Agreement isn't promised: nothing that must hold rests on it.
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

// The pace of failure detection.
const (
	Period        = 500 * time.Millisecond
	ackTimeout    = 150 * time.Millisecond
	suspectFor    = 1500 * time.Millisecond
	helpers       = 3
	rumoursAtOnce = 6
	// deadEvery is how many periods pass between pings of a dead member.
	deadEvery = 4
	// judgeAfter is how long a router must have kept up to judge others: a period, in which what it missed has been
	// answered, and the one before.
	judgeAfter = 2 * Period
)

// Member is what a router holds of another, or of itself.
type Member struct {
	Name        string
	Address     string // IP and port of its peer listener
	DataHall    string
	Processor   float64 // its part of a core, 0 for unknown
	Boot        uint64  // random number of its process, 0 until heard of
	Past        uint64  // that of its process before, 0 for none known
	Incarnation uint64
	Status      wire.Status
	since       model.Time // when the status was taken
	listed      bool       // the VM list has it
	heard       model.Time // when it was last heard itself
	asked       model.Time // when it was last asked to contradict its death
	behind      bool       // it is to be told what is held of it: it has started again, or goes by a lower incarnation
}

// Alive tells whether work may be shared with the member.
func (m *Member) Alive() bool {
	return m.Status == wire.Status_STATUS_ALIVE || m.Status == wire.Status_STATUS_SUSPECT
}

// Reachable tells whether the member's process still runs, be it leaving.
func (m *Member) Reachable() bool {
	return m.Status != wire.Status_STATUS_DEAD
}

// Change is one change of a member's status, or its restart.
type Change struct {
	Name      string
	Status    wire.Status
	Restarted bool
	New       bool // it wasn't known before
}

// Send is a probe to be sent.
type Send struct {
	To    string
	Probe *wire.Probe
}

// Listed is a router that the VM list has.
type Listed struct {
	Name      string
	Address   string
	DataHall  string
	Processor float64
}

// List is the membership machine. It does no I/O and reads no clock.
type List struct {
	self     Member
	random   *rand.Rand
	members  map[string]*Member
	names    []string // sorted, without self
	round    []string
	rumours  []rumour
	probe    *probing
	relays   map[uint64]relay
	nonce    uint64
	next     model.Time
	periods  int
	changes  []Change
	version  uint64
	suspects int        // members that are suspect
	late     model.Time // when this router was late last
	wasLate  bool
}

// New returns the list of a router that knows of nobody else yet.
func New(self Member, random *rand.Rand) *List {
	return &List{
		self:    self,
		random:  random,
		members: map[string]*Member{},
		relays:  map[uint64]relay{},
	}
}

// Late notes that this router comes late to what is due.
func (l *List) Late(now model.Time) { l.late, l.wasLate = now, true }

// MayJudge tells whether this router has kept up for long enough to tell others' silence from its own lateness.
func (l *List) MayJudge(now model.Time) bool { return !l.wasLate || now >= l.late+judgeAfter }

// Self returns the router's own entry.
func (l *List) Self() Member { return l.self }

// Version increases whenever the set of live members changes.
func (l *List) Version() uint64 { return l.version }

// Names returns the other members' names in order, the dead ones included.
func (l *List) Names() []string { return l.names }

// Get returns the member of that name, or nil; self isn't a member.
func (l *List) Get(name string) *Member { return l.members[name] }

// Changes returns and forgets the changes since the last call.
func (l *List) Changes() []Change {
	out := l.changes
	l.changes = nil
	return out
}

// Live returns the live members and, unless it is leaving, the router itself,
// ordered by name.
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

// Running returns every member whose process is held to run, and the router
// itself: the live ones ordered by weight, then those that are leaving.
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

// treeSubject is what the routers' order is hashed with.
const treeSubject = "tree"

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

// SetListed takes the VM list's routers. A router the list has dropped is
// forgotten once it is dead.
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
	l.forgetDropped()
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

func (l *List) forgetDropped() {
	l.names = slices.DeleteFunc(l.names, func(name string) bool {
		m := l.members[name]
		drop := !m.listed && !m.Reachable()
		if drop {
			delete(l.members, name)
		}
		return drop
	})
}

// Leave marks the router itself as leaving and spreads the word.
func (l *List) Leave() {
	if l.self.Status == wire.Status_STATUS_LEAVING {
		return
	}
	l.self.Status = wire.Status_STATUS_LEAVING
	l.self.Incarnation++
	l.version++
	l.spread(l.self.Name)
}

// Heard takes note of an authentic datagram from a member.
func (l *List) Heard(now model.Time, from string, boot uint64) {
	m := l.members[from]
	if m == nil {
		return
	}
	m.heard = now
	if m.Boot == boot {
		return
	}
	restarted := m.Boot != 0
	m.Past, m.Boot = m.Boot, boot
	if restarted {
		m.behind = true
		l.changes = append(l.changes, Change{Name: from, Status: m.Status, Restarted: true})
		l.version++
	}
}

// Located takes a member's own word on where it listens, from an authentic datagram of its live process: one that has started
// again may listen elsewhere, and the VM list tells of it seconds later.
func (l *List) Located(from string, own *wire.Rumour) {
	m := l.members[from]
	if m == nil || own.Name != from || own.Boot != m.Boot || own.Address == "" {
		return
	}
	m.Address = own.Address
}

func (l *List) set(now model.Time, m *Member, status wire.Status) {
	was := m.Alive()
	if m.Status == wire.Status_STATUS_SUSPECT {
		l.suspects--
	}
	if status == wire.Status_STATUS_SUSPECT {
		l.suspects++
	}
	m.Status = status
	m.since = now
	l.spread(m.Name)
	if was != m.Alive() {
		l.version++
	}
	l.changes = append(l.changes, Change{Name: m.Name, Status: status})
}
