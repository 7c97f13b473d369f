package core

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tamarindstep/tamarindstep/core/grid"
	"github.com/tamarindstep/tamarindstep/core/member"
	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/wire"
)

const (
	// loadsEvery is how often routers tell each other what they have newly got on the
	// backend servers, where the budget allows it.
	loadsEvery = 100 * time.Millisecond
	// loadsRepeat is how often it is looked whether anything is to be told once more,
	// as its last word may have been lost.
	loadsRepeat = time.Second
	// DefaultLoadsBytes is what a router spends on it in bytes a second unless it is
	// set: most of the 13 KB a second that the target size leaves for control.
	DefaultLoadsBytes = 9000
	// maxHandedOn is how many messages of others are kept to be handed on; more come only
	// where the budget is far too small, and are lost as a datagram may be.
	maxHandedOn = 256
)

// loadExchange is the state of telling the other routers what this one has on the
// backend servers. Messages travel along package grid's rows; when the budget is used
// up, the next ones wait, and tell more at once.
type loadExchange struct {
	changed   bool // there is something to tell
	unsettled bool // what was told last is to be told once more
	sent      model.Time
	sequence  uint64
	budget    bucket
	handOn    []*wire.Loads     // told by routers of other rows, for the own row
	names     map[uint32]string // of routers, by the hash that messages name them by
}

func newLoadExchange(bytesPerSecond float64) loadExchange {
	size := bytesPerSecond / 4
	return loadExchange{
		budget: bucket{rate: bytesPerSecond, size: size, level: size},
		names:  map[uint32]string{},
	}
}

// nextLoads returns when the other routers are to be told.
func (c *Core) nextLoads() model.Time {
	l := &c.loads
	switch {
	case l.changed || len(l.handOn) > 0:
		return max(l.sent+loadsEvery, l.budget.ready(l.sent, 0))
	case l.unsettled:
		return l.sent + loadsRepeat
	}
	return never
}

// flushLoads tells the other routers what this one has newly got on the backend
// servers, and its row what routers of other rows have told.
func (c *Core) flushLoads() {
	l := &c.loads
	if c.now < c.nextLoads() {
		return
	}
	l.budget.fill(c.now)
	if l.budget.level <= 0 {
		return
	}
	own := c.ownLoads()
	across := proto.Clone(own).(*wire.Loads)
	across.HandOn = true
	near := grid.Of(c.members.Self().Name, c.gridOf())
	c.sendLoads(near.Row, append(l.handOn, own))
	c.sendLoads(near.Across, []*wire.Loads{across})
	l.handOn = nil
	l.sent = c.now
}

// ownLoads returns what is to be told of this router, and takes it as told.
func (c *Core) ownLoads() *wire.Loads {
	word, settled := c.prompt.Tell()
	c.loads.changed = false
	c.loads.unsettled = !settled
	c.loads.sequence++
	self := c.members.Self()
	out := encodeWord(word)
	out.Router = model.HashName(self.Name)
	out.Process = uint32(self.Boot)
	out.Sequence = c.loads.sequence
	return out
}

// sendLoads puts loads into the datagrams for some routers.
func (c *Core) sendLoads(names []string, loads []*wire.Loads) {
	size := datagramOverhead
	for _, l := range loads {
		size += proto.Size(l)
	}
	for _, name := range names {
		c.to(name).Loads = loads
		c.loads.budget.level -= float64(size)
	}
}

// gridOf returns the routers that are told, this one included.
func (c *Core) gridOf() []grid.Router {
	self := c.members.Self()
	out := []grid.Router{{Name: self.Name, DataHall: self.DataHall}}
	for _, name := range c.members.Names() {
		m := c.members.Get(name)
		if m.Reachable() {
			out = append(out, grid.Router{Name: name, DataHall: m.DataHall, Doubtful: m.Status != wire.Status_STATUS_ALIVE})
		}
	}
	return out
}

// memberOf returns the member whose name has a hash, nil where none is known.
func (c *Core) memberOf(router uint32) *member.Member {
	if m := c.members.Get(c.loads.names[router]); m != nil {
		return m
	}
	clear(c.loads.names)
	for _, name := range c.members.Names() {
		c.loads.names[model.HashName(name)] = name
	}
	return c.members.Get(c.loads.names[router])
}

// takeLoads takes what another router has told of what it has on the backend servers.
func (c *Core) takeLoads(in *wire.Loads) {
	from := c.memberOf(in.Router)
	if from == nil {
		return
	}
	isNew := c.prompt.TakeWord(c.now, from.Name, in.Process, decodeWord(in))
	if isNew && in.HandOn && len(c.loads.handOn) < maxHandedOn {
		told := proto.Clone(in).(*wire.Loads)
		told.HandOn = false
		c.loads.handOn = append(c.loads.handOn, told)
	}
}
