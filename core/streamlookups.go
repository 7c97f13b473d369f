package core

import (
	"slices"
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

	question   uint32   // the last one
	unanswered []string // routers asked that haven't answered
	answered   int      // answers to all questions
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
