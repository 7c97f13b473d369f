package core

import (
	"maps"
	"slices"
	"time"

	"github.com/tamarindstep/tamarindstep/core/streams"
	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/wire"
)

// unknownStreamPause is the Retry-After of a stream that can't be resumed.
const unknownStreamPause = 300 * time.Millisecond

// streamState is the state of resuming streams at the lineage that began them.
type streamState struct {
	tracker     *streams.Tracker
	holders     []string                // that this router sends its records to
	holdersSet  bool                    // the holders are those for the current members
	lastRecords model.Time              // when records were last sent to all holders
	lastFirst   model.Time              // when records were last sent to the first one
	unsent      map[model.StreamID]bool // streams begun since then, while there are several versions
	urgent      bool                    // one of them has begun

	lookups      map[RequestID]*lookup
	lastLookup   model.Time // when routers were last asked
	lastQuestion uint32     // identifies it
	questions    map[uint32]*question

	knownVersions   versionReports
	heldOff         map[model.PoolID]bool // pools of which a version begins no streams
	announced       Versions              // the highest that another router has announced
	unreliableUntil model.Time            // until when the list of the backend servers may be outdated after a pause

	registry   registry
	settled    map[model.Lineage]bool // enough other routers know of a lineage that appeared after another one
	lookupsDue model.Time             // when lookups are to be continued next
	loaded     bool                   // the streams of the process before have been read, or there is no store for them
	storing    bool                   // unfinished streams are being written
	stored     model.Time

	started      model.Time
	historyAsked int // number of times that routers were asked for the versions served before
	historyNext  model.Time
	historyKnown bool
}

func newStreamState(now model.Time) streamState {
	return streamState{
		tracker: streams.New(), lookups: map[RequestID]*lookup{}, unsent: map[model.StreamID]bool{}, knownVersions: newVersionReports(),
		registry: newRegistry(), settled: map[model.Lineage]bool{},
		heldOff: map[model.PoolID]bool{}, questions: map[uint32]*question{}, started: now,
		lastRecords: now - recordInterval, lastFirst: now - recordInterval, lastLookup: now - lookupWait,
	}
}

// bindStream determines the lineage of the stream that a request resumes, if it resumes one. ok is false if the request
// is refused or waits for other routers' answers.
func (c *Core) bindStream(e Arrive) (bound Arrive, ok bool) {
	switch {
	case e.Bound:
		return e, c.checkServed(e)
	case !e.Continues && e.Stream != 0 && c.awaitsHistory(e.Pools):
		c.addLookup(e)
		return e, false
	case !e.Continues:
		return e, true
	}
	tracker := c.streams.tracker
	if lineage, source, age, found := tracker.Find(c.now, e.Resumes); e.Resumes != 0 && found {
		return c.bind(e, lineage, source, age)
	}
	lineage, only := tracker.Only(c.now, e.Pools)
	switch {
	case only && !c.streams.registry.enabled && c.listIsCurrent():
		return c.bind(e, lineage, streams.Only, 0)
	case e.Resumes == 0 && !only:
		c.refuseStream(e, UnknownStream)
		return e, false
	}
	c.addLookup(e)
	return e, false
}

// pauseHoldOff is how long after a pause of its process a router doesn't rely on its list of the backend servers: what it
// reads first, answers of the store included, was sent before or during the pause.
const pauseHoldOff = 2 * time.Second

// RecordPause records that this process has just been paused, or was late for as long.
func (c *Core) RecordPause(now model.Time) { c.streams.unreliableUntil = now + pauseHoldOff }

// listIsCurrent reports whether this router's list of the backend servers shows every version that begins streams.
func (c *Core) listIsCurrent() bool {
	return c.now >= c.streams.unreliableUntil && c.now <= c.StoreReached()+streams.MaxListAge && !c.streams.announced.Exceed(c.config.Versions())
}

// bind makes a request one for a lineage only.
func (c *Core) bind(e Arrive, lineage model.Lineage, source streams.Source, age time.Duration) (Arrive, bool) {
	e.Bound, e.Lineage = true, lineage
	if !c.checkServed(e) {
		return e, false
	}
	c.emit(StreamBound{ID: e.ID, Lineage: lineage, Source: source, Age: age})
	e.Pool = lineage.Pool
	return e, true
}

// checkServed refuses a request for a lineage that the route no longer has, or no backend server that gets new requests.
func (c *Core) checkServed(e Arrive) bool {
	if slices.Contains(e.Pools, e.Lineage.Pool) && c.serves(e.Lineage) {
		return true
	}
	c.refuseStream(e, VersionRetired)
	return false
}

// unsettled returns the versions of a pool that begin no streams yet, as another router might not know of them, unless
// no backend server of the others can begin one.
func (c *Core) unsettled(pool model.PoolID) []model.Build {
	r := &c.streams.registry
	all := c.streams.tracker.Lineages(c.now, pool)
	var waiting, unregistered []model.Build
	for _, l := range all {
		switch {
		case !r.registered(l):
			waiting = append(waiting, l.Build)
			if len(all) > 1 || !r.overdue(c.now, l) {
				unregistered = append(unregistered, l.Build)
			}
		case c.isFresh(l):
			waiting = append(waiting, l.Build)
		}
	}
	if len(waiting) == 0 || c.servesOther(pool, waiting) {
		return waiting
	}
	return unregistered
}

// isFresh reports whether too many other routers may not know of a version that has appeared: any at first, and half of them
// after streams.SettlePeriod.
func (c *Core) isFresh(l model.Lineage) bool {
	age, fresh := c.streams.tracker.Fresh(c.now, l)
	if !fresh || c.streams.settled[l] {
		return false
	}
	settled := c.isKnownToMost(l) && (age >= streams.SettlePeriod || c.isKnownToAll(l))
	if settled {
		c.streams.settled[l] = true
	}
	return !settled
}

// servesOther reports whether any backend server of a pool that can begin a stream is of none of some versions.
func (c *Core) servesOther(pool model.PoolID, builds []model.Build) bool {
	for id, b := range c.config.Backends {
		if b.Pool == pool && c.mayBegin(id) && !slices.Contains(builds, b.Lineage().Build) {
			return true
		}
	}
	return false
}

// serves reports whether any backend server of a lineage gets new requests.
func (c *Core) serves(l model.Lineage) bool {
	for _, b := range c.config.Backends {
		if b.Lineage() == l && b.inService() {
			return true
		}
	}
	return false
}

func (c *Core) refuseStream(e Arrive, why Refusal) {
	c.emit(Refuse{ID: e.ID, Reason: why, RetryAfter: unknownStreamPause})
}

// recordStream records the lineage of a stream as its request is dispatched.
func (c *Core) recordStream(stream model.StreamID, pools []model.PoolID, to model.BackendID) {
	if stream != 0 {
		lineage := c.config.Backends[to].Lineage()
		if !c.streams.registry.registered(lineage) {
			c.streams.registry.begun[lineage] = true
		}
		c.streams.tracker.Begin(c.now, stream, lineage, pools)
		if c.streams.tracker.Pending(c.now) {
			c.streams.unsent[stream] = true
		}
	}
}

// configureStreams passes on which lineages backend servers have.
func (c *Core) configureStreams() {
	var served []model.Lineage
	for _, b := range c.config.Backends {
		served = append(served, b.Lineage())
	}
	c.streams.tracker.SetServed(c.now, served)
	c.streams.registry.planAt = c.now
	maps.DeleteFunc(c.streams.settled, func(l model.Lineage, _ bool) bool { return !slices.Contains(served, l) })
	c.tellVersions()
}

// nextStreams returns when flushStreams is due next.
func (c *Core) nextStreams() model.Time {
	s := &c.streams
	next := min(c.nextRecords(), c.nextSync(), c.nextPlan(), c.nextStore())
	if c.asksHistory() {
		next = min(next, s.historyNext)
	}
	if len(s.lookups) > 0 {
		next = min(next, s.lookupsDue)
	}
	if len(s.knownVersions.own) > 0 {
		next = min(next, s.knownVersions.nextTold)
	}
	return next
}

// flushStreams sends records to the holders and questions to all routers, as far as they are due.
func (c *Core) flushStreams() {
	c.refreshHolders()
	c.tellVersions()
	c.sendRecords()
	c.askHistory()
	c.syncRegistry()
	c.continueLookups()
	c.storeStreams()
}

// receiveStreams processes the records, questions and answers in another router's datagram.
func (c *Core) receiveStreams(d *wire.Datagram) {
	s := &c.streams
	if d.Began != nil {
		s.tracker.Hold(c.now, d.From, decodeRecords(d.Began))
	}
	if d.HistoryWanted {
		answer := c.datagramTo(d.From)
		answer.History = encodeHistory(s.tracker.History(c.now))
		answer.Known = encodeRecords(c.registeredRecords())
	}
	if d.History != nil {
		s.historyKnown = true
		s.tracker.MergeHistory(c.now, decodeHistory(d.History))
	}
	if len(d.Wanted) > 0 {
		c.answerWanted(d)
	}
	if d.Known != nil {
		known := decodeRecords(d.Known)
		c.recordTold(known)
		c.applyKnown(known)
		c.recordAnswer(d.From, d.AnswerTo)
	}
}
