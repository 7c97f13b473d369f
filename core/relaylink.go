package core

import (
	"slices"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/wire"
)

const (
	// confirmTimeout is how long a relay may take to forward a message, which it also returns to the sender: a round
	// trip, forwardInterval, and the scheduling delay of a busy VM. It is shorter than failure detection takes, so that
	// a failed relay costs the routers that it served only a few exchanges.
	confirmTimeout = 400 * time.Millisecond
	// busyTimeout applies instead while other messages arrive from the relay. Such a relay has more to forward than its
	// byte rate allows, as the next relay would, to which everything would have to be sent again.
	busyTimeout = 3 * time.Second
	// relayIdleTimeout is how long a relay may send nothing before it is sent an empty message to confirm.
	relayIdleTimeout = 500 * time.Millisecond
	// unresponsiveTTL is how long an unresponsive relay is avoided. After that it is either detected as failed or tried
	// again.
	unresponsiveTTL = 3 * time.Second
	// maxUnconfirmed is the maximum number of messages kept until they are confirmed.
	maxUnconfirmed = 16
)

// relayLink is the link of a router that is no relay to the relay that it reports to.
type relayLink struct {
	relay        string                // "" if this router is a relay itself
	unconfirmed  []*wire.Loads         // sent, and not yet confirmed as forwarded
	since        model.Time            // when the first of them was sent, or the last confirmation arrived
	lastReceived model.Time            // when the relay last sent anything
	unresponsive map[string]model.Time // relays to avoid, and until when
}

func newRelayLink() relayLink {
	return relayLink{unresponsive: map[string]model.Time{}}
}

// recordSent records a message that the relay is to confirm.
func (l *relayLink) recordSent(now model.Time, message *wire.Loads) {
	if len(l.unconfirmed) == 0 {
		l.since = now
	}
	l.unconfirmed = append(l.unconfirmed, message)
	if n := len(l.unconfirmed) - maxUnconfirmed; n > 0 {
		l.unconfirmed = slices.Delete(l.unconfirmed, 0, n)
	}
}

// confirm records that a message of this router has been forwarded. It confirms the earlier ones too: one that was lost
// on the way to the relay isn't sent again once a later one has been forwarded.
func (l *relayLink) confirm(now model.Time, message *wire.Loads, process uint32) {
	if message.Process != process {
		return
	}
	l.since = now
	l.unconfirmed = slices.DeleteFunc(l.unconfirmed, func(o *wire.Loads) bool {
		return o.Sequence <= message.Sequence
	})
}

// confirmDeadline returns when the relay counts as unresponsive.
func (l *relayLink) confirmDeadline() model.Time {
	if l.relay == "" || len(l.unconfirmed) == 0 {
		return never
	}
	return max(l.since+confirmTimeout, min(l.lastReceived+confirmTimeout, l.since+busyTimeout))
}

// nextProbe returns when the relay is to be sent an empty message to confirm.
func (l *relayLink) nextProbe() model.Time {
	if l.relay == "" || len(l.unconfirmed) > 0 {
		return never
	}
	return l.lastReceived + relayIdleTimeout
}

// replaceUnresponsiveRelay switches to the next relay if the current one has confirmed nothing in time, and sends it
// the unconfirmed messages.
func (c *Core) replaceUnresponsiveRelay() {
	link := &c.loads.link
	if c.now < link.confirmDeadline() {
		return
	}
	if !c.members.CanSuspect(c.now) {
		link.since = c.now // confirmations may be waiting to be read here
		return
	}
	link.unresponsive[link.relay] = c.now + unresponsiveTTL
	link.since = c.now
	c.chooseRelay()
}

// chooseRelay selects the relay that this router reports to: the first one that isn't unresponsive, or the first of all
// if all are.
func (c *Core) chooseRelay() {
	l := &c.loads
	before := l.link.relay
	l.link.relay = l.plan.Relay
	if l.plan.Relay != "" {
		for _, name := range l.plan.Relays {
			if c.now >= l.link.unresponsive[name] {
				l.link.relay = name
				break
			}
		}
	}
	if l.link.relay == before {
		return
	}
	l.link.since, l.link.lastReceived = c.now, c.now
	c.emit(RelayChanged{From: before, To: l.link.relay, Unconfirmed: len(l.link.unconfirmed)})
	unconfirmed := l.link.unconfirmed
	switch {
	case l.link.relay == "":
		for _, message := range unconfirmed {
			l.toAll.add(message)
		}
		l.link.unconfirmed = nil
	case len(unconfirmed) > 0:
		c.sendLoads([]string{l.link.relay}, unconfirmed, wire.PassOn_PASS_ON_ALL)
	default:
		l.changed = true // notifies the relay that it serves this router
	}
	c.announceSelf(l.link.relay)
}

// announceSelf sends this router's membership entry to another one, which would otherwise drop reports of a router that
// isn't among its members.
func (c *Core) announceSelf(name string) {
	if name != "" {
		c.datagramTo(name).Rumours = c.members.Rumours(name)
	}
}
