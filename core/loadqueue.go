package core

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/tamarindstep/tamarindstep/wire"
)

// maxMergedParts is the maximum number of prompt parts in a merged message. Parts are hints, and the newest are the
// most useful.
const maxMergedParts = 64

// loadQueue holds the messages that a relay is to forward, in order. A message is merged into the one of the same
// router that still waits, so that at most one message of each router waits however low the byte rate is, and what a
// receiver gets is no older than one pass over all routers. Without merging, the queue and the age of its messages grow
// without bound once more is reported than the byte rate allows: with 59 routers at 9,000 bytes a second, routers had
// received 0.70 of an account's begun amount two seconds later, and receive all of it with merging
// (TestAmountsStayCurrentWithinByteRate). With 295 routers at 100,000 bytes a second under the heaviest load, the
// value of the requests answered in time was 0.332 of the possible value without merging, and 0.485 with it.
type loadQueue struct {
	waiting      []*queuedLoads
	lastByRouter map[uint32]*queuedLoads // the last queued message of each router
}

// queuedLoads is a queued message.
type queuedLoads struct {
	loads     *wire.Loads
	exclusive bool // loads is a private copy that may be modified
}

func newLoadQueue() loadQueue { return loadQueue{lastByRouter: map[uint32]*queuedLoads{}} }

func (q *loadQueue) len() int { return len(q.waiting) }

// add queues a message, which must be newer than the earlier ones of its router.
func (q *loadQueue) add(in *wire.Loads) {
	before := q.lastByRouter[in.Router]
	if before == nil || before.loads.Process != in.Process || !alignedLists(before.loads) || !alignedLists(in) {
		q.lastByRouter[in.Router] = &queuedLoads{loads: in}
		q.waiting = append(q.waiting, q.lastByRouter[in.Router])
		return
	}
	if !before.exclusive {
		before.loads = proto.Clone(before.loads).(*wire.Loads)
		before.exclusive = true
	}
	mergeLoads(before.loads, in)
}

// take removes messages from the front until their sizes add up to the given number of bytes, at least one.
func (q *loadQueue) take(bytes int) []*wire.Loads {
	var out []*wire.Loads
	for len(q.waiting) > 0 && (len(out) == 0 || bytes > 0) {
		first := q.waiting[0]
		q.waiting = q.waiting[1:]
		if q.lastByRouter[first.loads.Router] == first {
			delete(q.lastByRouter, first.loads.Router)
		}
		bytes -= proto.Size(first.loads)
		out = append(out, first.loads)
	}
	return out
}

// alignedLists reports whether the parallel lists of a message have equal lengths.
func alignedLists(in *wire.Loads) bool {
	backends := len(in.Backends) == len(in.Sent) && len(in.Backends) == len(in.Running)
	accounts := len(in.Accounts) == len(in.Asked) && len(in.Accounts) == len(in.Begun)
	return backends && accounts && len(in.PlacedOn) == len(in.Parts)
}

// mergeLoads merges a router's message into its earlier one. Increments are added, and absolute values are replaced by
// the newer ones.
func mergeLoads(into, newer *wire.Loads) {
	into.Sequence = newer.Sequence
	into.Versions = newer.Versions
	mergeSenders(into, newer)
	for i, id := range newer.Backends {
		at := slices.Index(into.Backends, id)
		if at < 0 {
			into.Backends = append(into.Backends, id)
			into.Sent = append(into.Sent, newer.Sent[i])
			into.Running = append(into.Running, newer.Running[i])
			continue
		}
		into.Sent[at] += newer.Sent[i]
		into.Running[at] = newer.Running[i]
	}
	for i, id := range newer.Accounts {
		at := slices.Index(into.Accounts, id)
		if at < 0 {
			into.Accounts = append(into.Accounts, id)
			into.Asked = append(into.Asked, newer.Asked[i])
			into.Begun = append(into.Begun, newer.Begun[i])
			continue
		}
		into.Asked[at] += newer.Asked[i]
		into.Begun[at] += newer.Begun[i]
	}
	into.Suspicions = append(into.Suspicions, newer.Suspicions...)
	into.PlacedOn = lastOf(append(into.PlacedOn, newer.PlacedOn...), maxMergedParts)
	into.Parts = lastOf(append(into.Parts, newer.Parts...), maxMergedParts)
}

// lastOf returns the last n elements.
func lastOf[T any](from []T, n int) []T { return from[max(len(from)-n, 0):] }
