package core

import (
	"slices"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/wire"
)

// Two relays that hold each other for dead, as after many lost datagrams, tell each other nothing, and so
// neither those that they serve. A relay therefore asks for whoever it doesn't hear: one that it holds
// for alive tells it as a relay for a while, and all of what it has running; one that it holds for
// dead is pinged, so that it can contradict that. The question is the router's own last report,
// as far as it came, without contents.

const (
	// askAfter is how long a router goes unheard until it is asked, and how often it is asked again.
	askAfter = 600 * time.Millisecond
	// askEvery is how often it is looked for such routers.
	askEvery = 200 * time.Millisecond
	// maxAsked is how many are asked at a time, those unheard for longest since they were asked first.
	maxAsked = 2
	// askersHeeded is how many relays a router tells besides its own, for as long as askerKept.
	askersHeeded = 2
	askerKept    = 2 * time.Second
)

// asking is the state of asking for routers that aren't heard, and of being asked.
type asking struct {
	looked model.Time
	asked  map[string]model.Time // when, by router
	askers map[string]model.Time // relays that asked for this router, and when
}

func newAsking() asking {
	return asking{asked: map[string]model.Time{}, askers: map[string]model.Time{}}
}

// askUnheard asks for routers that this one, a relay, doesn't hear.
func (c *Core) askUnheard() {
	l := &c.loads
	a := &l.asking
	if !l.presence.wanted || l.link.relay != "" || c.now < a.looked+askEvery {
		return
	}
	a.looked = c.now
	names := c.unheardNames()
	slices.SortStableFunc(names, func(x, y string) int { return int(a.asked[x] - a.asked[y]) })
	for _, name := range names[:min(len(names), maxAsked)] {
		a.asked[name] = c.now
		c.askFor(name)
	}
}

// unheardNames returns the routers that haven't been heard, nor asked for, for askAfter; it forgets when
// the others were asked.
func (c *Core) unheardNames() []string {
	asked := c.loads.asking.asked
	var out []string
	for _, name := range c.members.Names() {
		switch {
		case c.now <= c.prompt.HeardOf(name).At+askAfter:
			delete(asked, name)
		case c.now > asked[name]+askAfter:
			out = append(out, name)
		}
	}
	return out
}

func (c *Core) askFor(name string) {
	m := c.members.Get(name)
	if !m.Reachable() {
		c.askDead(name)
		return
	}
	question := &wire.Loads{Router: model.HashName(name), Process: uint32(m.Boot), Sequence: c.prompt.HeardOf(name).Sequence}
	c.introduce(name)
	c.putLoads(name, []*wire.Loads{question}, wire.PassOn_PASS_ON_NOBODY)
}

// heed takes that a relay asks for this router.
func (c *Core) heed(from string) {
	l := &c.loads
	askers := l.asking.askers
	if _, known := askers[from]; !known && len(askers) >= askersHeeded {
		return
	}
	askers[from] = c.now
	if c.prompt.Restate() {
		l.changed = true
	}
	l.presence.shown = c.now - shownEvery
}

// toldAsRelays returns the relays that this router, which is none, tells: its own, and those that have
// asked for it.
func (c *Core) toldAsRelays() []string {
	l := &c.loads
	out := []string{l.link.relay}
	for _, name := range sortedKeys(l.asking.askers) {
		switch {
		case c.now > l.asking.askers[name]+askerKept:
			delete(l.asking.askers, name)
		case name != l.link.relay:
			out = append(out, name)
		}
	}
	return out
}
