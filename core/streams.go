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
	// recordInterval is the shortest time between two messages with records of streams to the same router. A caller
	// usually gets the first event later than this after the dispatch.
	recordInterval = 100 * time.Millisecond
	// lookupWait is how long after a question the routers that have a record may take to answer.
	lookupWait = 150 * time.Millisecond
	// lookupRounds is how often routers are asked for a stream, as datagrams are lost and routers may be busy. If all
	// have answered, the lookup ends at once.
	lookupRounds = 3
	// minLookupInterval is the shortest time between two questions of this router, and lookupIntervalPerRouter its
	// growth with the fleet: each router is asked at most 1,000 times a second, even if every router has streams to
	// look up, as after the failure of a data hall.
	minLookupInterval       = 10 * time.Millisecond
	lookupIntervalPerRouter = time.Millisecond
	// maxLookups is the maximum number of streams in one question.
	maxLookups = 256
	// historyRounds is how often a router that has started asks for the versions that were served before, historyPause
	// the time between, and historyFanOut the number of routers asked each time. historyWait is how long after its start
	// it begins no streams of a pool with several versions without the answer.
	historyRounds = 10
	historyPause  = 100 * time.Millisecond
	historyFanOut = 3
	historyWait   = time.Second
	// unknownStreamPause is the Retry-After of a stream that can't be resumed.
	unknownStreamPause = 300 * time.Millisecond
)

// streamState is the state of resuming streams at the lineage that began them.
type streamState struct {
	tracker     *streams.Tracker
	holders     []string   // that this router sends its records to
	holdersSet  bool       // the holders are those for the current members
	lastRecords model.Time // when records were last sent

	lookups      map[RequestID]*lookup
	lastLookup   model.Time // when routers were last asked
	lastQuestion uint32     // identifies it

	announced Versions // the highest that another router has announced

	started      model.Time
	historyAsked int // number of times that routers were asked for the versions served before
	historyNext  model.Time
	historyKnown bool
}

// lookup is a request that waits until the lineage of the stream that it resumes is found, or until it is known which
// lineages may begin a stream.
type lookup struct {
	request Arrive
	since   model.Time
	asked   model.Time // last time
	rounds  int

	question   uint32   // the last one
	unanswered []string // routers asked that haven't answered
	answered   int      // answers to all questions
}

func newStreamState(now model.Time) streamState {
	return streamState{
		tracker: streams.New(), lookups: map[RequestID]*lookup{}, started: now,
		lastRecords: now - recordInterval, lastLookup: now - lookupWait,
	}
}

// bindStream determines the lineage of the stream that a request resumes, if it resumes one. ok is false if the request
// is refused or waits for other routers' answers.
func (c *Core) bindStream(e Arrive) (bound Arrive, ok bool) {
	switch {
	case e.Bound:
		return e, c.checkServed(e)
	case !e.Continues && e.Stream != 0 && c.awaitsHistory(e.Pools):
		c.streams.lookups[e.ID] = &lookup{request: e, since: c.now}
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
	case only && c.listIsCurrent():
		return c.bind(e, lineage, streams.Only, 0)
	case e.Resumes == 0 && !only:
		c.refuseStream(e, UnknownStream, 0)
		return e, false
	}
	c.streams.lookups[e.ID] = &lookup{request: e, since: c.now}
	return e, false
}

// awaitsHistory reports whether this router has just started and can't tell yet which of several lineages the other
// routers know.
func (c *Core) awaitsHistory(pools []model.PoolID) bool {
	s := &c.streams
	if s.historyKnown || c.now >= s.started+historyWait || c.listed && len(c.members.Names()) == 0 {
		return false
	}
	_, only := s.tracker.Only(c.now, pools)
	return !only
}

// listIsCurrent reports whether this router's list of the backend servers shows every version that begins streams.
func (c *Core) listIsCurrent() bool {
	return c.now <= c.StoreReached()+streams.MaxListAge && !c.streams.announced.Exceed(c.config.Versions())
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
	c.refuseStream(e, VersionRetired, 0)
	return false
}

// unsettled returns the versions of a pool that begin no streams yet, unless all others are leaving or there is no other
// router that might not know of them.
func (c *Core) unsettled(pool model.PoolID) []model.Build {
	fresh := c.streams.tracker.Fresh(c.now, pool)
	if len(fresh) == 0 || len(c.members.Names()) == 0 {
		return nil
	}
	for _, b := range c.config.Backends {
		if b.Pool == pool && b.inService() && !slices.Contains(fresh, b.Lineage().Build) {
			return fresh
		}
	}
	return nil
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

func (c *Core) refuseStream(e Arrive, why Refusal, waited time.Duration) {
	c.emit(Refuse{ID: e.ID, Reason: why, RetryAfter: unknownStreamPause, Waited: waited})
}

// recordStream records the lineage of a stream as its request is dispatched.
func (c *Core) recordStream(stream model.StreamID, pools []model.PoolID, to model.BackendID) {
	if stream != 0 {
		c.streams.tracker.Begin(c.now, stream, c.config.Backends[to].Lineage(), pools)
	}
}

// configureStreams passes on which lineages backend servers have.
func (c *Core) configureStreams() {
	var served []model.Lineage
	for _, b := range c.config.Backends {
		served = append(served, b.Lineage())
	}
	c.streams.tracker.SetServed(c.now, served)
}

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
		case m.Status != wire.Status_STATUS_ALIVE:
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

// nextStreams returns when flushStreams is due next.
func (c *Core) nextStreams() model.Time {
	s := &c.streams
	next := never
	if s.tracker.Pending(c.now) {
		next = s.lastRecords + recordInterval
	}
	if c.asksHistory() {
		next = min(next, s.historyNext)
	}
	for _, l := range s.lookups {
		next = min(next, c.nextQuestion(l))
	}
	return next
}

// flushStreams sends records to the holders and questions to all routers, as far as they are due.
func (c *Core) flushStreams() {
	c.refreshHolders()
	c.sendRecords()
	c.askHistory()
	c.endLookups()
	c.askForStreams()
}

func (c *Core) sendRecords() {
	s := &c.streams
	if c.now < s.lastRecords+recordInterval || !s.tracker.Pending(c.now) {
		return
	}
	s.lastRecords = c.now
	for _, name := range s.holders {
		if records := s.tracker.Due(c.now, name); len(records) > 0 {
			c.datagramTo(name).Began = encodeRecords(records)
		}
	}
}

// asksHistory reports whether this router still has to ask which versions were served before it started.
func (c *Core) asksHistory() bool {
	s := &c.streams
	return !s.historyKnown && s.historyAsked < historyRounds && len(s.holders) > 0 && len(c.config.Backends) > 0
}

func (c *Core) askHistory() {
	s := &c.streams
	if !c.asksHistory() || c.now < s.historyNext {
		return
	}
	s.historyAsked++
	s.historyNext = c.now + historyPause
	names := c.members.Names()
	asked := 0
	for _, i := range c.random.Perm(len(names)) {
		if asked < historyFanOut && c.members.Get(names[i]).Reachable() {
			c.datagramTo(names[i]).HistoryWanted = true
			asked++
		}
	}
}

// lookupInterval returns the shortest time between two questions of this router.
func (c *Core) lookupInterval() time.Duration {
	return max(minLookupInterval, time.Duration(len(c.members.Names()))*lookupIntervalPerRouter)
}

// nextQuestion returns when the routers are to be asked for a stream, or its lookup ends.
func (c *Core) nextQuestion(l *lookup) model.Time {
	if !l.request.Continues {
		return c.streams.started + historyWait
	}
	next := c.streams.lastLookup + c.lookupInterval()
	if l.rounds > 0 {
		next = max(next, l.asked+lookupWait)
	}
	return next
}

// endLookups ends the lookups of streams that nobody knows.
func (c *Core) endLookups() {
	s := &c.streams
	if len(s.lookups) == 0 {
		return
	}
	for _, id := range sortedKeys(s.lookups) {
		l := s.lookups[id]
		switch {
		case !l.request.Continues && !c.awaitsHistory(l.request.Pools):
			delete(s.lookups, id)
			l.request.Wait = max(l.request.Wait-(c.now-l.since), 0)
			c.schedule(l.request)
		case l.rounds >= lookupRounds && c.now >= l.asked+lookupWait:
			c.endLookup(id, l)
		}
	}
}

// endLookup ends the lookup of a stream that no router that answered has a record of. It goes on if only one lineage can
// have begun it, according to these routers as well. A router that reaches none of the others can't tell.
func (c *Core) endLookup(id RequestID, l *lookup) {
	delete(c.streams.lookups, id)
	waited := c.now - l.since
	lineage, only := c.streams.tracker.Only(c.now, l.request.Pools)
	if !only || l.answered == 0 && len(c.members.Names()) > 0 {
		c.refuseStream(l.request, UnknownStream, waited)
		return
	}
	c.scheduleBound(l, lineage, streams.Only)
}

// scheduleBound schedules a request whose lineage has been looked up.
func (c *Core) scheduleBound(l *lookup, lineage model.Lineage, source streams.Source) {
	waited := c.now - l.since
	if bound, ok := c.bind(l.request, lineage, source, waited); ok {
		bound.Wait = max(bound.Wait-waited, 0)
		c.schedule(bound)
	}
}

// askForStreams asks all routers for the streams that are looked up, the ones that have waited longest first.
func (c *Core) askForStreams() {
	s := &c.streams
	if len(s.lookups) == 0 {
		return
	}
	var due []*lookup
	var wanted []uint64
	for _, id := range sortedKeys(s.lookups) {
		if l := s.lookups[id]; l.request.Continues && c.now >= c.nextQuestion(l) && len(due) < maxLookups {
			due = append(due, l)
			wanted = append(wanted, uint64(l.request.Resumes))
		}
	}
	if len(due) == 0 {
		return
	}
	s.lastLookup = c.now
	s.lastQuestion++
	var asked []string
	for _, name := range c.members.Names() {
		if !c.members.Get(name).Reachable() {
			continue
		}
		asked = append(asked, name)
		d := c.datagramTo(name)
		d.Wanted, d.Question = wanted, s.lastQuestion
	}
	for _, l := range due {
		l.asked = c.now
		l.rounds++
		l.question, l.unanswered = s.lastQuestion, slices.Clone(asked)
	}
}

// receiveStreams processes the records, questions and answers in another router's datagram.
func (c *Core) receiveStreams(d *wire.Datagram) {
	s := &c.streams
	if d.Began != nil {
		s.tracker.Hold(c.now, d.From, decodeRecords(d.Began))
	}
	if d.HistoryWanted {
		c.datagramTo(d.From).History = encodeHistory(s.tracker.History(c.now))
	}
	if d.History != nil {
		s.historyKnown = true
		s.tracker.MergeHistory(c.now, decodeHistory(d.History))
	}
	if len(d.Wanted) > 0 {
		c.answerWanted(d)
	}
	if d.Known != nil {
		c.applyKnown(decodeRecords(d.Known))
		c.recordAnswer(d.From, d.AnswerTo)
	}
}

// answerWanted sends the lineages of those streams that this router has a record of, and those that others may have.
func (c *Core) answerWanted(question *wire.Datagram) {
	var found []streams.Record
	for _, id := range question.Wanted {
		stream := model.StreamID(id)
		if lineage, _, _, ok := c.streams.tracker.Find(c.now, stream); ok {
			found = append(found, streams.Record{Stream: stream, Lineage: lineage})
		}
	}
	d := c.datagramTo(question.From)
	d.Known, d.AnswerTo = encodeRecords(found), question.Question
	d.History = encodeHistory(c.streams.tracker.History(c.now))
}

// recordAnswer ends the lookups of which all routers that were asked have answered.
func (c *Core) recordAnswer(from string, question uint32) {
	for _, id := range sortedKeys(c.streams.lookups) {
		l := c.streams.lookups[id]
		i := slices.Index(l.unanswered, from)
		if l.question != question || i < 0 {
			continue
		}
		l.unanswered = slices.Delete(l.unanswered, i, i+1)
		l.answered++
		if len(l.unanswered) == 0 {
			c.endLookup(id, l)
		}
	}
}

// applyKnown continues with the requests that waited for these lineages.
func (c *Core) applyKnown(records []streams.Record) {
	lineages := map[model.StreamID]model.Lineage{}
	for _, r := range records {
		lineages[r.Stream] = r.Lineage
	}
	for _, id := range sortedKeys(c.streams.lookups) {
		l := c.streams.lookups[id]
		lineage, found := lineages[l.request.Resumes]
		if !found {
			continue
		}
		delete(c.streams.lookups, id)
		c.scheduleBound(l, lineage, streams.Asked)
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

func encodeHistory(seen []streams.Seen) *wire.LineageHistory {
	out := &wire.LineageHistory{}
	for _, s := range seen {
		out.Pools = append(out.Pools, uint32(s.Lineage.Pool))
		out.Builds = append(out.Builds, uint32(s.Lineage.Build))
		out.AgesMs = append(out.AgesMs, uint32(s.Age.Milliseconds()))
		out.KnownMs = append(out.KnownMs, uint32(min(s.KnownFor, streams.Retention).Milliseconds()))
	}
	return out
}

func decodeHistory(in *wire.LineageHistory) []streams.Seen {
	var out []streams.Seen
	for i, l := range decodeLineages(in.Pools, in.Builds) {
		if i < min(len(in.AgesMs), len(in.KnownMs)) {
			out = append(out, streams.Seen{
				Lineage: l, Age: time.Duration(in.AgesMs[i]) * time.Millisecond,
				KnownFor: time.Duration(in.KnownMs[i]) * time.Millisecond,
			})
		}
	}
	return out
}
