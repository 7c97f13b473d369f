package core

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/tamarindstep/tamarindstep/core/member"
	"github.com/tamarindstep/tamarindstep/model"
)

// minWatchers is how many routers watch the store at the least; they tell the others. Each
// watch is a call that the store counts, so that more than one a data hall is spent only
// for the chance that the store turns some routers away: of six, with a third turned away,
// all are once in 700 times.
const minWatchers = 6

// A router that watches the store may be cut off from it and not know: its watch is silent
// as where nothing changes. So each asks the store a small thing now and then, which is ten
// times cheaper than a watch, and every datagram tells how long ago a router that watches
// has reached the store, as far as its sender knows. A router that knows of none for too
// long asks the store itself, and watches it where it answers: what the operators write is
// in force within a bound wherever any router reaches the store.
const (
	// contactEvery is how often a router that watches asks the store.
	contactEvery = 400 * time.Millisecond
	// watchPatience is how long ago the store may have been reached where there are no more
	// routers than watchers, and patiencePerDoubling what each doubling of the fleet adds:
	// news spreads over an idle fleet by probes, four datagrams a second of each router.
	watchPatience       = time.Second
	patiencePerDoubling = 250 * time.Millisecond
	// watchStagger spreads the routers in that, so that the first that watches is heard by
	// the others before they ask.
	watchStagger = 500 * time.Millisecond
	// standInFor is how long such a router goes on watching. Whether the others reach the
	// store again it can't tell, as what it hears may be an echo of itself.
	standInFor = 10 * time.Second
	// contactAgain is how long a router that doesn't watch leaves the store alone that
	// didn't answer: while it is out, nobody needs more than the calls of the watchers.
	contactAgain = 2 * time.Second
)

// watch is this router's part in watching the store.
type watch struct {
	chosen  bool       // by the membership
	standIn model.Time // until when it watches though it isn't chosen; 0 for not
	reached model.Time // when a router that watches has reached the store, as far as known
	told    bool       // to the driver, as in the last WatchStore

	asking bool       // the store, at present
	silent model.Time // when it was asked first of the times that it hasn't answered since; 0 for none
	asked  model.Time // when it was asked last
	next   model.Time // when it may be asked again
}

// active tells whether this router watches the store.
func (w *watch) active() bool { return w.chosen || w.standIn > 0 }

// chooseWatchers finds whether this router is one of those that watch the store: the first
// of its data hall, and the first of the fleet that are left.
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

// followWatch asks the store where that is due, ends standing in for the watchers, and
// tells the driver of a change.
func (c *Core) followWatch() {
	w := &c.watch
	if w.standIn > 0 && c.now >= w.standIn {
		w.standIn = 0
	}
	if c.now >= c.contactDue() {
		w.asking = true
		w.asked = c.now
		c.do(ContactStore{})
	}
	if w.active() != w.told {
		w.told = w.active()
		c.do(WatchStore{Watch: w.told, Chosen: w.chosen, Unreached: c.now - w.reached})
	}
}

// contactDue returns when the store is to be asked.
func (c *Core) contactDue() model.Time {
	w := &c.watch
	switch {
	case w.asking:
		return never
	case w.active():
		return w.next
	}
	return max(w.next, w.reached+c.watchPatience())
}

// contacted takes whether the store has answered.
func (c *Core) contacted(e StoreContacted) {
	w := &c.watch
	w.asking = false
	w.next = c.now + contactEvery
	c.noteSilence(e.Reached)
	switch {
	case e.Reached && w.active():
		w.reached = max(w.reached, w.asked)
	case e.Reached && c.now >= w.reached+c.watchPatience():
		w.reached = w.asked
		w.standIn = c.now + standInFor
		c.announce()
	case !w.active():
		w.next = c.now + contactAgain + c.stagger()
	}
}

// noteSilence takes whether the store has answered, and tells the driver of its return. Watches
// that were begun in a silence are then begun anew, and not waited for to their end: a change
// is in force 1.0 s after the return at the latest, and not 6.0 s, for a call or two of each
// router that watches (generation TestChangesAreInForceSoonAfterTheStoresReturn).
func (c *Core) noteSilence(reached bool) {
	w := &c.watch
	switch {
	case !reached && w.silent == 0:
		w.silent = w.asked
	case reached && w.silent > 0:
		c.do(StoreReturned{Silent: c.now - w.silent})
		w.silent = 0
	}
}

// StoreReached returns when a router that watches the store has last reached it, as far as this one knows.
func (c *Core) StoreReached() model.Time { return c.watch.reached }

// watchPatience returns how long ago the store may have been reached for all this router
// knows.
func (c *Core) watchPatience() time.Duration {
	doublings := math.Log2(max(float64(len(c.members.Names())+1)/minWatchers, 1))
	return watchPatience + time.Duration(doublings*float64(patiencePerDoubling)) + c.stagger()
}

// stagger returns this router's part of watchStagger.
func (c *Core) stagger() time.Duration {
	part := float64(model.Rendezvous(c.members.Self().Name, "stand-in")) / math.MaxUint64
	return time.Duration(part * float64(watchStagger))
}

// nextWatch returns when followWatch is due.
func (c *Core) nextWatch() model.Time {
	if c.watch.standIn > 0 {
		return min(c.watch.standIn, c.contactDue())
	}
	return c.contactDue()
}

// storeAge returns what this router tells of the store, in ms and one more.
func (c *Core) storeAge() uint32 {
	return uint32(min((c.now-c.watch.reached)/time.Millisecond, math.MaxInt32)) + 1
}

// hearStoreAge takes what another router tells of the store.
func (c *Core) hearStoreAge(age uint32) {
	if age == 0 {
		return
	}
	w := &c.watch
	reached := c.now - time.Duration(age-1)*time.Millisecond
	wasOld := c.now-w.reached > c.watchPatience()/2
	w.reached = max(w.reached, reached)
	if wasOld && c.now-w.reached < contactEvery {
		c.announce() // before the others ask the store as well
	}
}
