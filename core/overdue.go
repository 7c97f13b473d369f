package core

import (
	"time"

	"github.com/tamarindstep/tamarindstep/core/prompt"
	"github.com/tamarindstep/tamarindstep/model"
)

const (
	// overdueAfter is how long a live router may send no load report before it is reported as overdue.
	overdueAfter = time.Second
	// overdueCheckInterval is the shortest time between two checks for overdue routers.
	overdueCheckInterval = 500 * time.Millisecond
	// maxOverdueReported is the maximum number of LoadsOverdue actions of one check. Their field Overdue counts all
	// overdue routers nevertheless.
	maxOverdueReported = 4
)

// LoadsOverdue reports that load reports of a live router don't arrive, or arrive again. It is informational: no
// decision depends on it.
type LoadsOverdue struct {
	Router       string
	Resumed      bool          // reports arrive again
	Silence      time.Duration // time since the last report or, if there was none, since the router was found alive
	Sequence     uint64        // of its last report, 0 for none
	Relay        string        // the relay that forwards to this router, "" if this router is a relay itself
	RelaySilence time.Duration // time since that relay last sent anything
	Dropped      int           // number of its reports that were dropped since
	Reason       string        // why the last of them was dropped
	Overdue      int           // number of all routers whose reports don't arrive
}

// OverdueCounted reports the number of live routers whose load reports don't arrive.
type OverdueCounted struct{ Routers int }

func (LoadsOverdue) action()   {}
func (OverdueCounted) action() {}

// The reasons for which a load report is dropped.
const (
	dropUnknownRouter  = "unknown router"
	dropEarlierProcess = "process before"
	dropNotNewer       = "not newer"
)

// droppedReports counts the reports of a router that were dropped since its last accepted one.
type droppedReports struct {
	count  int
	reason string
}

// overdue is the state of the checks for live routers whose load reports don't arrive.
type overdue struct {
	lastCheck  model.Time
	alive      map[string]model.Time // when each router was first found alive
	lastReport map[string]model.Time // when each overdue router last reported
	dropped    map[uint32]droppedReports
}

func newOverdue() overdue {
	return overdue{alive: map[string]model.Time{}, lastReport: map[string]model.Time{}, dropped: map[uint32]droppedReports{}}
}

// recordDrop records that a router's report was dropped.
func (o *overdue) recordDrop(router uint32, reason string) {
	d := o.dropped[router]
	o.dropped[router] = droppedReports{count: d.count + 1, reason: reason}
}

// checkOverdue checks for live routers whose reports don't arrive, and reports changes.
func (c *Core) checkOverdue() {
	o := &c.overdue
	if !c.byPrompt() || c.now < o.lastCheck+overdueCheckInterval {
		return
	}
	o.lastCheck = c.now
	if len(o.dropped) > 2*len(c.members.Names()) {
		clear(o.dropped) // counts of routers that aren't members
	}
	before := len(o.lastReport)
	var changes []LoadsOverdue
	for _, name := range c.members.Names() {
		if change, ok := c.checkReports(name); ok {
			changes = append(changes, change)
		}
	}
	for i, change := range changes {
		if i == maxOverdueReported {
			break
		}
		change.Overdue = len(o.lastReport)
		c.emit(change)
	}
	if before != len(o.lastReport) {
		c.emit(OverdueCounted{Routers: len(o.lastReport)})
	}
}

// checkReports checks whether a router's reports arrive. ok is true if that has changed.
func (c *Core) checkReports(name string) (change LoadsOverdue, ok bool) {
	o := &c.overdue
	if !c.members.Get(name).Alive() {
		delete(o.alive, name)
		delete(o.lastReport, name)
		delete(o.dropped, model.NameHash(name))
		return change, false
	}
	if _, known := o.alive[name]; !known {
		o.alive[name] = c.now
	}
	last := c.prompt.LastContact(name)
	at := max(last.At, o.alive[name])
	since, was := o.lastReport[name]
	is := c.now > at+overdueAfter
	if is == was {
		return change, false
	}
	change = c.overdueChange(name, last)
	if is {
		o.lastReport[name] = at
		change.Silence = c.now - at
		return change, true
	}
	delete(o.lastReport, name)
	delete(o.dropped, model.NameHash(name))
	change.Resumed, change.Silence = true, at-since
	return change, true
}

func (c *Core) overdueChange(name string, last prompt.PeerContact) LoadsOverdue {
	dropped := c.overdue.dropped[model.NameHash(name)]
	out := LoadsOverdue{
		Router: name, Sequence: last.Sequence, Relay: c.loads.link.relay,
		Dropped: dropped.count, Reason: dropped.reason,
	}
	if out.Relay != "" {
		out.RelaySilence = c.now - c.loads.link.lastReceived
	}
	return out
}
