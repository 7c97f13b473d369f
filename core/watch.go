package core

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/tamarindstep/tamarindstep/core/member"
	"github.com/tamarindstep/tamarindstep/model"
)

// minWatchers is the minimum number of routers that watch the store; they notify the others. Each watch is a call that
// counts against the store's limits. More than one per data hall are needed only in case the store rejects some
// routers: with a third of the routers rejected, all of six are rejected once in 700 times.
const minWatchers = 6

// A watcher can't detect from its watch that the store has become unreachable: the watch receives nothing, as it does
// when nothing changes. So each watcher regularly contacts the store with a small read, which is ten times cheaper than
// a watch, and every datagram carries the time since a watcher last reached the store, according to its sender. If that
// becomes too long, a router contacts the store itself and watches it if it answers. So the operators' changes are in
// force within a bounded time wherever any router reaches the store.
const (
	// contactInterval is the interval at which a watcher contacts the store.
	contactInterval = 400 * time.Millisecond
	// maxStoreAge is the greatest allowed time since the store was last reached in a fleet of at most minWatchers
	// routers, and storeAgePerDoubling is added for each doubling of the fleet: in an idle fleet the information spreads
	// by probes, at four datagrams a second from each router.
	maxStoreAge         = time.Second
	storeAgePerDoubling = 250 * time.Millisecond
	// watchStagger spreads the routers' limits, so that the others receive the store age of the first new watcher
	// before they contact the store.
	watchStagger = 500 * time.Millisecond
	// substituteDuration is how long such a router continues to watch. It can't detect whether the watchers reach the
	// store again, as the ages that it receives may stem from its own contacts.
	substituteDuration = 10 * time.Second
	// contactRetryInterval is how long a router that doesn't watch waits after a contact that wasn't answered: during an
	// outage of the store the contacts of the watchers are enough.
	contactRetryInterval = 2 * time.Second
	// minOutage is the least time without contact with the store that counts as an outage of it: a backend server's
	// announcement expires only after the store has been unavailable for more than two of its renewals. In a large fleet
	// a time without contact counts as an outage if it exceeds the limit of its age by outageMargin.
	minOutage    = 2 * time.Second
	outageMargin = 500 * time.Millisecond
)

// watch is this router's state for watching the store.
type watch struct {
	chosen          bool       // by the membership
	substituteUntil model.Time // end of watching without being chosen; 0 for none
	StoreContact
	reported bool // value of Watch in the last WatchStore action

	contacting      bool       // a contact is in progress
	unansweredSince model.Time // time of the first contact of the current series without an answer; 0 for none
	contactedAt     model.Time // time of the last contact
	nextContact     model.Time // earliest time of the next contact
}

// StoreContact is what a router knows of the fleet's contact with the store, by its own contacts and the other routers'
// datagrams.
type StoreContact struct {
	reached     model.Time    // last time that a watcher reached the store
	outageGap   time.Duration // least time without contact that counts as an outage
	outageEnded model.Time    // end of the last outage; 0 for none
}

// Age returns the time since a watcher last reached the store.
func (s StoreContact) Age(now model.Time) time.Duration { return now - s.reached }

// SinceOutage returns the time since the end of the last outage of the store, 0 during one. The result is false if there
// was none.
func (s StoreContact) SinceOutage(now model.Time) (time.Duration, bool) {
	if s.Age(now) >= s.outageGap {
		return 0, true
	}
	return now - s.outageEnded, s.outageEnded > 0
}

// active reports whether this router watches the store.
func (w *watch) active() bool { return w.chosen || w.substituteUntil > 0 }

// chooseWatchers decides whether this router is one of the watchers: the first router of each data hall, and further
// ones of the fleet up to minWatchers, in descending order of rendezvous weight.
func (c *Core) chooseWatchers(live []*member.Member) {
	order := slices.Clone(live)
	slices.SortFunc(order, func(a, b *member.Member) int {
		return cmp.Compare(model.Rendezvous(b.Name, "store"), model.Rendezvous(a.Name, "store"))
	})
	watchers := firstOfHalls(order)
	for _, m := range order {
		if len(watchers) >= minWatchers {
			break
		}
		watchers[m.Name] = true
	}
	c.watch.chosen = watchers[c.members.Self().Name]
	c.watch.outageGap = max(minOutage, c.maxStoreAge()+outageMargin)
}

// firstOfHalls returns the names of the first router of each data hall.
func firstOfHalls(order []*member.Member) map[string]bool {
	out := map[string]bool{}
	seen := map[string]bool{}
	for _, m := range order {
		if !seen[m.DataHall] {
			seen[m.DataHall] = true
			out[m.Name] = true
		}
	}
	return out
}

// updateWatch contacts the store if that is due, ends substituting for the watchers after substituteDuration, and emits
// WatchStore on a change.
func (c *Core) updateWatch() {
	w := &c.watch
	if w.substituteUntil > 0 && c.now >= w.substituteUntil {
		w.substituteUntil = 0
	}
	if c.now >= c.contactDue() {
		w.contacting = true
		w.contactedAt = c.now
		c.emit(ContactStore{})
	}
	if w.active() != w.reported {
		w.reported = w.active()
		c.emit(WatchStore{Watch: w.reported, Chosen: w.chosen, Unreached: c.now - w.reached})
	}
}

// contactDue returns when the store is to be contacted.
func (c *Core) contactDue() model.Time {
	w := &c.watch
	switch {
	case w.contacting:
		return never
	case w.active():
		return w.nextContact
	}
	return max(w.nextContact, w.reached+c.maxStoreAge())
}

// contacted processes the result of a contact.
func (c *Core) contacted(e StoreContacted) {
	w := &c.watch
	w.contacting = false
	w.nextContact = c.now + contactInterval
	c.recordContact(e.Reached)
	switch {
	case e.Reached && w.active():
		c.recordReached(w.contactedAt)
	case e.Reached && c.now >= w.reached+c.maxStoreAge():
		c.recordReached(w.contactedAt)
		w.substituteUntil = c.now + substituteDuration
		c.announce()
	case !w.active():
		w.nextContact = c.now + contactRetryInterval + c.stagger()
	}
}

// recordContact records whether the store has answered, and emits StoreReturned when it answers again. The driver then
// restarts the watches that began during the outage instead of waiting for their end: a change is in force at most
// 1.0 s after the return, instead of 6.0 s, at the cost of one or two calls of each watcher.
func (c *Core) recordContact(reached bool) {
	w := &c.watch
	switch {
	case !reached && w.unansweredSince == 0:
		w.unansweredSince = w.contactedAt
	case reached && w.unansweredSince > 0:
		c.emit(StoreReturned{Silent: c.now - w.unansweredSince})
		c.streams.registry.readAt = c.now
		w.unansweredSince = 0
	}
}

// recordReached records that a watcher reached the store at the given time, and the end of an outage.
func (c *Core) recordReached(at model.Time) {
	w := &c.watch
	if at-w.reached >= w.outageGap {
		w.outageEnded = c.now
	}
	w.reached = max(w.reached, at)
}

// StoreContact returns what this router knows of the fleet's contact with the store.
func (c *Core) StoreContact() StoreContact { return c.watch.StoreContact }

// StoreReached returns when a watcher last reached the store, according to the information received by this router.
func (c *Core) StoreReached() model.Time { return c.watch.reached }

// maxStoreAge returns the time since the store was last reached after which this router contacts it itself.
func (c *Core) maxStoreAge() time.Duration {
	doublings := math.Log2(max(float64(len(c.members.Names())+1)/minWatchers, 1))
	return maxStoreAge + time.Duration(doublings*float64(storeAgePerDoubling)) + c.stagger()
}

// stagger returns this router's fraction of watchStagger.
func (c *Core) stagger() time.Duration {
	part := float64(model.Rendezvous(c.members.Self().Name, "stand-in")) / math.MaxUint64
	return time.Duration(part * float64(watchStagger))
}

// nextWatch returns when updateWatch is due.
func (c *Core) nextWatch() model.Time {
	if c.watch.substituteUntil > 0 {
		return min(c.watch.substituteUntil, c.contactDue())
	}
	return c.contactDue()
}

// storeAge returns the time since a watcher last reached the store, in ms, plus 1; in a datagram 0 means no value.
func (c *Core) storeAge() uint32 {
	return uint32(min((c.now-c.watch.reached)/time.Millisecond, math.MaxInt32)) + 1
}

// applyStoreAge applies a store age received from another router.
func (c *Core) applyStoreAge(age uint32) {
	if age == 0 {
		return
	}
	w := &c.watch
	reached := c.now - time.Duration(age-1)*time.Millisecond
	wasOld := c.now-w.reached > c.maxStoreAge()/2
	c.recordReached(reached)
	if wasOld && c.now-w.reached < contactInterval {
		c.announce() // before the others contact the store as well
	}
}
