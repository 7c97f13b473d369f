package core

import (
	"time"

	"github.com/tamarindstep/tamarindstep/core/prompt"
	"github.com/tamarindstep/tamarindstep/model"
)

const (
	// overdueAfter is how long a live router may tell nothing until that is told to the operators.
	overdueAfter = time.Second
	// overdueEvery is how often it is looked for such routers at the most.
	overdueEvery = 500 * time.Millisecond
	// maxOverdueTold is how many changes are told at a time; the number of routers overdue is
	// always told whole.
	maxOverdueTold = 4
)

// LoadsOverdue tells that a live router's load reports don't arrive, or do again. Nothing is
// decided by it.
type LoadsOverdue struct {
	Router   string
	Again    bool          // it is heard again
	Silent   time.Duration // since its last report or, where none came, since it is held to be alive
	Sequence uint64        // of its last report, 0 for none
	Relay    string        // that this router hears the others through, "" where it is a relay itself
	Relayed  time.Duration // since that relay has last told anything
	Dropped  int           // reports of it that came since and weren't taken
	Because  string        // why the last of them wasn't
	Overdue  int           // routers in all whose reports don't arrive
}

// OverdueCounted tells of how many live routers no load reports arrive.
type OverdueCounted struct{ Routers int }

func (LoadsOverdue) action()   {}
func (OverdueCounted) action() {}

// Why a load report isn't taken.
const (
	fromUnknown = "unknown router"
	fromPast    = "process before"
	notNewer    = "not newer"
)

// droppedReports is what wasn't taken of a router since it was last heard.
type droppedReports struct {
	count   int
	because string
}

// overdue looks after live routers whose load reports don't arrive.
type overdue struct {
	looked  model.Time
	alive   map[string]model.Time // since when, by router, as far as was looked
	silent  map[string]model.Time // those overdue, and when they were heard last
	dropped map[uint32]droppedReports
}

func newOverdue() overdue {
	return overdue{alive: map[string]model.Time{}, silent: map[string]model.Time{}, dropped: map[uint32]droppedReports{}}
}

// drop notes that a router's report wasn't taken.
func (o *overdue) drop(router uint32, because string) {
	d := o.dropped[router]
	o.dropped[router] = droppedReports{count: d.count + 1, because: because}
}

// followOverdue tells of the live routers whose reports don't arrive.
func (c *Core) followOverdue() {
	o := &c.overdue
	if !c.byPrompt() || c.now < o.looked+overdueEvery {
		return
	}
	o.looked = c.now
	if len(o.dropped) > 2*len(c.members.Names()) {
		clear(o.dropped) // of routers that aren't known
	}
	before := len(o.silent)
	var changes []LoadsOverdue
	for _, name := range c.members.Names() {
		if change, ok := c.lookAtReports(name); ok {
			changes = append(changes, change)
		}
	}
	for i, change := range changes {
		if i == maxOverdueTold {
			break
		}
		change.Overdue = len(o.silent)
		c.do(change)
	}
	if before != len(o.silent) {
		c.do(OverdueCounted{Routers: len(o.silent)})
	}
}

// lookAtReports looks whether a router's reports arrive; ok tells whether that has changed.
func (c *Core) lookAtReports(name string) (change LoadsOverdue, ok bool) {
	o := &c.overdue
	if !c.members.Get(name).Alive() {
		delete(o.alive, name)
		delete(o.silent, name)
		delete(o.dropped, model.HashName(name))
		return change, false
	}
	if _, known := o.alive[name]; !known {
		o.alive[name] = c.now
	}
	heard := c.prompt.HeardOf(name)
	at := max(heard.At, o.alive[name])
	since, was := o.silent[name]
	is := c.now > at+overdueAfter
	if is == was {
		return change, false
	}
	change = c.overdueChange(name, heard)
	if is {
		o.silent[name] = at
		change.Silent = c.now - at
		return change, true
	}
	delete(o.silent, name)
	delete(o.dropped, model.HashName(name))
	change.Again, change.Silent = true, at-since
	return change, true
}

func (c *Core) overdueChange(name string, heard prompt.Heard) LoadsOverdue {
	dropped := c.overdue.dropped[model.HashName(name)]
	out := LoadsOverdue{
		Router: name, Sequence: heard.Sequence, Relay: c.loads.link.relay,
		Dropped: dropped.count, Because: dropped.because,
	}
	if out.Relay != "" {
		out.Relayed = c.now - c.loads.link.heard
	}
	return out
}
