package core

import (
	"slices"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/wire"
)

const (
	// confirmWithin is how long a relay has to pass a message on, back to its sender as
	// well: a round trip, passOnEvery, and what a busy machine is late by. It is shorter
	// than failure detection takes, so that a dead relay costs the routers that it served
	// a few exchanges only.
	confirmWithin = 400 * time.Millisecond
	// busyWithin is how long one has that is heard meanwhile: it has more to pass on than its
	// bytes allow, and so would have the next one, which would be told all again.
	busyWithin = 3 * time.Second
	// quietFor is how long a router hears nothing from its relay until it tells it an empty
	// message, only to have it confirmed.
	quietFor = 500 * time.Millisecond
	// silentFor is how long a relay that didn't is left alone, after which it is either
	// known to be dead or tried again.
	silentFor = 3 * time.Second
	// maxUnconfirmed is how many messages are kept until they are confirmed.
	maxUnconfirmed = 16
)

// relayLink is an ordinary router's link to the relay that it tells.
type relayLink struct {
	relay       string        // "" where this router is a relay itself
	unconfirmed []*wire.Loads // told, and not yet passed on as far as known
	since       model.Time    // when the first of them was told, or one before it was confirmed
	heard       model.Time    // when the relay has last told anything
	silent      map[string]model.Time
}

func newRelayLink() relayLink {
	return relayLink{silent: map[string]model.Time{}}
}

// told notes a message that the relay is to confirm.
func (l *relayLink) told(now model.Time, message *wire.Loads) {
	if len(l.unconfirmed) == 0 {
		l.since = now
	}
	l.unconfirmed = append(l.unconfirmed, message)
	if n := len(l.unconfirmed) - maxUnconfirmed; n > 0 {
		l.unconfirmed = slices.Delete(l.unconfirmed, 0, n)
	}
}

// confirm takes that a message of this router has been passed on. One that was lost on
// the way to the relay isn't told again once a later one came through.
func (l *relayLink) confirm(now model.Time, message *wire.Loads, process uint32) {
	if message.Process != process {
		return
	}
	l.since = now
	l.unconfirmed = slices.DeleteFunc(l.unconfirmed, func(o *wire.Loads) bool {
		return o.Sequence <= message.Sequence
	})
}

// overdue returns when the relay counts as silent.
func (l *relayLink) overdue() model.Time {
	if l.relay == "" || len(l.unconfirmed) == 0 {
		return never
	}
	return max(l.since+confirmWithin, min(l.heard+confirmWithin, l.since+busyWithin))
}

// quiet returns when the relay is to be asked for a sign of life.
func (l *relayLink) quiet() model.Time {
	if l.relay == "" || len(l.unconfirmed) > 0 {
		return never
	}
	return l.heard + quietFor
}

// leaveSilentRelay turns to the next relay where this router's has passed nothing on for
// too long, and tells that one what was lost.
func (c *Core) leaveSilentRelay() {
	link := &c.loads.link
	if c.now < link.overdue() {
		return
	}
	if !c.members.MayJudge(c.now) {
		link.since = c.now // what it has passed on may wait to be read here
		return
	}
	link.silent[link.relay] = c.now + silentFor
	link.since = c.now
	c.chooseRelay()
}

// chooseRelay chooses whom this router tells: the first relay that isn't silent, and the
// first of all where every one is.
func (c *Core) chooseRelay() {
	l := &c.loads
	before := l.link.relay
	l.link.relay = l.plan.Relay
	if l.plan.Relay != "" {
		for _, name := range l.plan.Relays {
			if c.now >= l.link.silent[name] {
				l.link.relay = name
				break
			}
		}
	}
	if l.link.relay == before {
		return
	}
	l.link.since, l.link.heard = c.now, c.now
	c.do(RelayChanged{From: before, To: l.link.relay, Unconfirmed: len(l.link.unconfirmed)})
	lost := l.link.unconfirmed
	switch {
	case l.link.relay == "":
		for _, message := range lost {
			l.toAll.add(message)
		}
		l.link.unconfirmed = nil
	case len(lost) > 0:
		c.sendLoads([]string{l.link.relay}, lost, wire.PassOn_PASS_ON_ALL)
	default:
		l.changed = true // so that the relay learns whom it serves
	}
	c.introduce(l.link.relay)
}

// introduce tells a router of this one, which it may not know yet: it would else drop what
// it is told.
func (c *Core) introduce(name string) {
	if name != "" {
		c.to(name).Rumours = c.members.Rumours(name)
	}
}
