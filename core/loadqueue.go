package core

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/tamarindstep/tamarindstep/wire"
)

// maxPartsTold is how many parts of prompts a message of several that waited names at most:
// they are hints, and the newest are worth the most.
const maxPartsTold = 64

// loadQueue holds the messages that a relay is to pass on, in the order in which it passes
// them on. What a router tells while its message before still waits is put into that one:
// however few bytes there are, no more waits than a message of each router, and what a receiver
// is told is as old as one turn of all routers takes. Messages that wait by themselves grow old
// without bound once more is told than the bytes allow: at 59 routers with 9,000 bytes a second
// routers knew 0.70 of what an account had begun two seconds later, and know all of it now
// (TestAmountsDontGrowOldWithinTheirBytes); at 295 with 100,000, on a day of the heaviest load, the
// requests answered in time were worth 0.332 of what they could be, and 0.485 now.
type loadQueue struct {
	waiting []*queuedLoads
	last    map[uint32]*queuedLoads // that waits, by router
}

// queuedLoads is a message that waits.
type queuedLoads struct {
	loads *wire.Loads
	own   bool // nobody else holds the message
}

func newLoadQueue() loadQueue { return loadQueue{last: map[uint32]*queuedLoads{}} }

func (q *loadQueue) len() int { return len(q.waiting) }

// add lets a message wait. It is newer than those of its router before.
func (q *loadQueue) add(in *wire.Loads) {
	before := q.last[in.Router]
	if before == nil || before.loads.Process != in.Process || !evenLists(before.loads) || !evenLists(in) {
		q.last[in.Router] = &queuedLoads{loads: in}
		q.waiting = append(q.waiting, q.last[in.Router])
		return
	}
	if !before.own {
		before.loads = proto.Clone(before.loads).(*wire.Loads)
		before.own = true
	}
	join(before.loads, in)
}

// take takes messages of so many bytes together from the front, one at least.
func (q *loadQueue) take(bytes int) []*wire.Loads {
	var out []*wire.Loads
	for len(q.waiting) > 0 && (len(out) == 0 || bytes > 0) {
		first := q.waiting[0]
		q.waiting = q.waiting[1:]
		if q.last[first.loads.Router] == first {
			delete(q.last, first.loads.Router)
		}
		bytes -= proto.Size(first.loads)
		out = append(out, first.loads)
	}
	return out
}

// evenLists tells whether the lists of a message that run side by side are equally long.
func evenLists(in *wire.Loads) bool {
	backends := len(in.Backends) == len(in.Sent) && len(in.Backends) == len(in.Running)
	accounts := len(in.Accounts) == len(in.Asked) && len(in.Accounts) == len(in.Begun)
	return backends && accounts && len(in.PlacedOn) == len(in.Parts)
}

// join puts a router's message into the one before it: increments add up, and of what is told as
// it is, the newer stands.
func join(into, newer *wire.Loads) {
	into.Sequence = newer.Sequence
	joinHears(into, newer)
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
	into.PlacedOn = lastOf(append(into.PlacedOn, newer.PlacedOn...), maxPartsTold)
	into.Parts = lastOf(append(into.Parts, newer.Parts...), maxPartsTold)
}

// lastOf returns the last n elements.
func lastOf[T any](from []T, n int) []T { return from[max(len(from)-n, 0):] }
