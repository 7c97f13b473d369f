package core

import (
	"maps"
	"time"

	"github.com/tamarindstep/tamarindstep/core/streams"
	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/wire"
)

const (
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
)

// lookup is a request that waits until the lineage of the stream that it resumes is found, or until it is known which
// lineages may begin a stream.
type lookup struct {
	request Arrive
	since   model.Time
	asked   model.Time // last time
	rounds  int

	question *question // the last one, nil for none
	answers  int       // highest number of routers that have answered an earlier one
	answered bool      // all routers that were asked have answered

	registry     RegistryRead
	registrySync uint64 // number of the first sync of the registry that started after the request arrived, 0 for none yet
}

// addLookup adds a request whose lineage is to be found. The registry isn't waited for if the store hasn't answered lately.
func (c *Core) addLookup(e Arrive) {
	r := &c.streams.registry
	l := &lookup{request: e, since: c.now, registry: RegistryAwaited}
	if r.failed > 0 {
		l.registry = RegistryUnreached
	}
	r.waiting = r.waiting || e.Continues
	if len(c.streams.lookups) == 0 {
		c.streams.lookupsDue = never
	}
	c.streams.lookups[e.ID] = l
	c.streams.lookupsDue = min(c.streams.lookupsDue, c.nextQuestion(l))
}

// continueLookups ends lookups and asks other routers, as far as that is due.
func (c *Core) continueLookups() {
	s := &c.streams
	if len(s.lookups) == 0 || c.now < s.lookupsDue {
		return
	}
	c.endLookups()
	c.askForStreams()
	s.lookupsDue = never
	for _, l := range s.lookups {
		s.lookupsDue = min(s.lookupsDue, c.nextQuestion(l))
	}
}

// question is a question to all routers, for the streams of one or more lookups.
type question struct {
	asked      model.Time
	lookups    []RequestID
	unanswered map[string]bool // routers that haven't answered
	answers    int
}

// heard returns the number of other routers that have answered.
func (l *lookup) heard() int {
	if l.question == nil {
		return l.answers
	}
	return max(l.answers, l.question.answers)
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
	if c.awaitsOnlyRegistry(l) {
		next = max(next, l.since+lookupWait)
	}
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
		case l.request.Continues && c.isOver(l):
			c.endLookup(id, l)
		}
	}
}

// isOver reports whether nothing more is to be expected of a lookup.
func (c *Core) isOver(l *lookup) bool {
	if c.streams.registry.enabled && l.registry == RegistryAwaited {
		return false
	}
	return l.answered || l.rounds >= lookupRounds && c.now >= l.asked+lookupWait
}

// endLookup ends the lookup of a stream that no router that answered has a record of. It goes on if only one lineage can
// have begun it, according to the registry, or to most routers if the store doesn't answer: a version begins streams only
// once most routers know of it.
func (c *Core) endLookup(id RequestID, l *lookup) {
	delete(c.streams.lookups, id)
	if lineage, only := c.onlyRegistered(l); only {
		c.scheduleBound(l, lineage, streams.Registered)
		return
	}
	lineage, only := c.streams.tracker.Only(c.now, l.request.Pools)
	switch {
	case only && c.knowsRegistry() && c.isMajority(l.heard()):
		c.scheduleBound(l, lineage, streams.Only)
	default:
		c.emit(Refuse{ID: id, Reason: UnknownStream, RetryAfter: unknownStreamPause, Waited: c.now - l.since, Lookup: StreamLookup{
			Registry: l.registry, Listed: len(c.streams.registry.listed), Heard: l.heard(), Routers: len(c.members.Names()),
		}})
	}
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
	q := &question{asked: c.now, unanswered: map[string]bool{}}
	var wanted []uint64
	for _, id := range sortedKeys(s.lookups) {
		l := s.lookups[id]
		if !l.request.Continues || c.now < c.nextQuestion(l) || len(wanted) == maxLookups {
			continue
		}
		q.lookups = append(q.lookups, id)
		wanted = append(wanted, uint64(l.request.Resumes))
	}
	if len(wanted) == 0 {
		return
	}
	c.ask(q, wanted)
	for _, id := range q.lookups {
		l := s.lookups[id]
		l.answers = l.heard()
		l.question, l.asked = q, c.now
		l.rounds++
	}
}

// ask sends a question to all routers.
func (c *Core) ask(q *question, wanted []uint64) {
	s := &c.streams
	maps.DeleteFunc(s.questions, func(_ uint32, old *question) bool { return c.now > old.asked+lookupWait })
	s.lastLookup = c.now
	s.lastQuestion++
	s.questions[s.lastQuestion] = q
	for _, name := range c.members.Names() {
		if !c.members.Get(name).Reachable() {
			continue
		}
		q.unanswered[name] = true
		d := c.datagramTo(name)
		d.Wanted, d.Question = wanted, s.lastQuestion
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
	d.Known = encodeRecords(found)
	if c.knowsRegistry() {
		d.AnswerTo = question.Question
	}
	d.History = encodeHistory(c.streams.tracker.History(c.now))
}

// recordAnswer records that a router has answered a question, and ends the lookups of one that all have answered.
func (c *Core) recordAnswer(from string, number uint32) {
	q := c.streams.questions[number]
	if q == nil || !q.unanswered[from] {
		return
	}
	delete(q.unanswered, from)
	q.answers++
	if len(q.unanswered) > 0 {
		return
	}
	for _, id := range q.lookups {
		if l := c.streams.lookups[id]; l != nil && l.question == q {
			l.answered = true
			c.streams.lookupsDue = c.now
		}
	}
}

// applyKnown continues with the requests that waited for these lineages.
func (c *Core) applyKnown(records []streams.Record) {
	if len(c.streams.lookups) == 0 || len(records) == 0 {
		return
	}
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
