package core

import (
	"cmp"
	"slices"
	"time"

	"github.com/tamarindstep/tamarindstep/core/member"
	"github.com/tamarindstep/tamarindstep/core/streams"
	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/wire"
)

const (
	// holders is the number of routers to which a router sends its records of streams, and holdersOfSmallFleet that in
	// fleets of up to smallFleet routers: there, a few failures are a large part of the fleet, and the messages are few.
	holders             = 2
	holdersOfSmallFleet = 4
	smallFleet          = 100
	// recordInterval is the shortest time between two messages with records of streams to the same router.
	recordInterval = 100 * time.Millisecond
	// beganInterval is the same for the first holder while the record of a stream that has begun is unsent: it is to leave
	// before the caller has an event, as the router may be killed then. Most streams begin later than recordInterval.
	beganInterval = 2 * time.Millisecond
)

// streamMemberChanged makes sure that live holders have this router's records, and those of a failed router.
func (c *Core) streamMemberChanged(change member.Change) {
	c.streams.holdersSet = false
	if change.Restarted {
		c.streams.tracker.Forget(change.Name)
	}
	if change.Restarted || change.Status == wire.Status_STATUS_DEAD {
		c.streams.tracker.Adopt(c.now, change.Name)
	}
}

// refreshHolders selects the routers that hold this router's records: half of them in its data hall, whose messages cost
// little, and the others in different data halls, in case its own fails.
func (c *Core) refreshHolders() {
	s := &c.streams
	if s.holdersSet {
		return
	}
	s.holdersSet = true
	near, far := c.holderCandidates()
	count := holders
	if len(c.members.Names()) < smallFleet {
		count = holdersOfSmallFleet
	}
	chosen := slices.Clone(near[:min(count/2, len(near))])
	rest := slices.Concat(far, near[len(chosen):])
	s.holders = append(chosen, rest[:min(count-len(chosen), len(rest))]...)
	s.tracker.SetHolders(s.holders)
}

// holderCandidates returns the live routers in this router's data hall and the others, in the order in which they are
// preferred as holders: one of each other data hall first. The order differs between routers, so that all have about as
// many records to hold.
func (c *Core) holderCandidates() (near, far []string) {
	self := c.members.Self()
	for _, name := range c.members.Names() {
		m := c.members.Get(name)
		switch {
		case !m.Alive():
		case m.DataHall == self.DataHall:
			near = append(near, name)
		default:
			far = append(far, name)
		}
	}
	preference := func(a, b string) int {
		return cmp.Compare(model.Rendezvous(b, self.Name), model.Rendezvous(a, self.Name))
	}
	slices.SortFunc(near, preference)
	slices.SortFunc(far, preference)
	return near, c.oneOfEachHallFirst(far)
}

// oneOfEachHallFirst moves the first router of each data hall to the front.
func (c *Core) oneOfEachHallFirst(names []string) []string {
	var first, others []string
	seen := map[string]bool{}
	for _, name := range names {
		hall := c.members.Get(name).DataHall
		if seen[hall] {
			others = append(others, name)
			continue
		}
		seen[hall] = true
		first = append(first, name)
	}
	return append(first, others...)
}

// streamOf returns the stream of a request, 0 for none.
func (c *Core) streamOf(id RequestID) model.StreamID {
	if r := c.requests[id]; r != nil {
		return r.stream
	}
	return c.byPromptRequests[id].stream
}

// streamEnded notes that a caller has the whole answer of a stream.
func (c *Core) streamEnded(e Finish) {
	if e.Ending == Done {
		c.streams.tracker.End(c.now, c.streamOf(e.ID))
	}
}

// streamBegan notes that an answer has begun: for a stream that may be resumed, its first whole event has arrived.
func (c *Core) streamBegan(id RequestID) {
	stream := c.streamOf(id)
	c.streams.urgent = c.streams.urgent || c.streams.unsent[stream]
	c.streams.tracker.Began(stream)
}

// nextRecords returns when records are due to be sent next.
func (c *Core) nextRecords() model.Time {
	s := &c.streams
	switch {
	case !s.tracker.Pending(c.now):
		return never
	case s.urgent:
		return min(s.lastFirst+beganInterval, s.lastRecords+recordInterval)
	default:
		return s.lastRecords + recordInterval
	}
}

// sendRecords sends the records that are due: to all holders, or only to the first one.
func (c *Core) sendRecords() {
	s := &c.streams
	if c.now < c.nextRecords() {
		return
	}
	s.lastFirst, s.urgent = c.now, false
	clear(s.unsent)
	count := min(len(s.holders), 1)
	if c.now >= s.lastRecords+recordInterval {
		s.lastRecords = c.now
		count = len(s.holders)
	}
	for _, name := range s.holders[:count] {
		if records := s.tracker.Due(c.now, name); len(records) > 0 {
			c.datagramTo(name).Began = encodeRecords(records)
		}
	}
}

// encodeRecords packs records: each refers to its lineage by its index.
func encodeRecords(records []streams.Record) *wire.StreamRecords {
	out := &wire.StreamRecords{}
	index := map[model.Lineage]uint32{}
	for _, r := range records {
		i, has := index[r.Lineage]
		if !has {
			i = uint32(len(index))
			index[r.Lineage] = i
			out.Pools = append(out.Pools, uint32(r.Lineage.Pool))
			out.Builds = append(out.Builds, uint32(r.Lineage.Build))
		}
		out.Streams = append(out.Streams, uint64(r.Stream))
		out.Lineages = append(out.Lineages, i)
	}
	return out
}

// decodeRecords is the inverse of encodeRecords. Records without a lineage are skipped.
func decodeRecords(in *wire.StreamRecords) []streams.Record {
	var out []streams.Record
	lineages := decodeLineages(in.Pools, in.Builds)
	for i, stream := range in.Streams {
		if i < len(in.Lineages) && int(in.Lineages[i]) < len(lineages) {
			out = append(out, streams.Record{Stream: model.StreamID(stream), Lineage: lineages[in.Lineages[i]]})
		}
	}
	return out
}

func decodeLineages(pools, builds []uint32) []model.Lineage {
	out := make([]model.Lineage, 0, len(pools))
	for i := range min(len(pools), len(builds)) {
		out = append(out, model.Lineage{Pool: model.PoolID(pools[i]), Build: model.Build(builds[i])})
	}
	return out
}
