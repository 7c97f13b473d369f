package core

import (
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

const (
	// minStoreInterval is the shortest time between two writes of this router's unfinished streams to the store, and
	// storeIntervalPerRouter its growth with the fleet, which together writes at most 100 times a second.
	minStoreInterval       = 500 * time.Millisecond
	storeIntervalPerRouter = 10 * time.Millisecond
)

// storeInterval returns the shortest time between two writes of this router's unfinished streams.
func (c *Core) storeInterval() time.Duration {
	return max(minStoreInterval, time.Duration(len(c.members.Names())+1)*storeIntervalPerRouter)
}

// nextStore returns when the unfinished streams are to be stored.
func (c *Core) nextStore() model.Time {
	s := &c.streams
	if !s.registry.enabled || s.storing || !s.loaded || !s.tracker.UnfinishedChanged(c.now) {
		return never
	}
	return s.stored + c.storeInterval()
}

// storeStreams stores the unfinished streams if that is due.
func (c *Core) storeStreams() {
	s := &c.streams
	if c.now < c.nextStore() {
		return
	}
	s.storing, s.stored = true, c.now
	c.emit(StoreStreams{Records: encodeRecords(s.tracker.TakeUnfinished(c.now))})
}

// streamsStored processes the result of a write. After a failure the streams are written again.
func (c *Core) streamsStored(e StreamsStored) {
	c.streams.storing = false
	if !e.Stored {
		c.streams.tracker.SetUnfinishedChanged()
	}
}

// streamsLoaded restores the streams that the process before had begun and not finished.
func (c *Core) streamsLoaded(e StreamsLoaded) {
	s := &c.streams
	s.loaded, s.lookupsDue = true, c.now
	s.tracker.Restore(c.now, decodeRecords(e.Records))
	for _, id := range sortedKeys(s.lookups) {
		l := s.lookups[id]
		if lineage, source, age, found := s.tracker.Find(c.now, l.request.Resumes); l.request.Continues && found {
			delete(s.lookups, id)
			waited := c.now - l.since
			if bound, ok := c.bind(l.request, lineage, source, age); ok {
				bound.Wait = max(bound.Wait-waited, 0)
				c.schedule(bound)
			}
		}
	}
}
