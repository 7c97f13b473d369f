package core

import (
	"container/heap"
	"slices"
	"time"

	"github.com/tamarindstep/tamarindstep/core/prompt"
	"github.com/tamarindstep/tamarindstep/model"
)

const (
	// maxAttempts is the number of dispatches of a request of which no byte was sent.
	maxAttempts = 4
	// exclusionPause is how long a backend server that couldn't be reached is excluded at first; it doubles with
	// each further failure up to maxExclusionPause.
	exclusionPause    = 250 * time.Millisecond
	maxExclusionPause = 8 * time.Second
	// unreachableMemory is how long after its exclusion a backend server that couldn't be reached counts as unreachable,
	// unless it is reached in the meantime.
	unreachableMemory = 5 * time.Second
	// defaultExpectedOutput is the expected output in tokens of a pool that configures none.
	defaultExpectedOutput = 256
	// minRetryAfter and maxRetryAfter bound the Retry-After given to refused callers.
	minRetryAfter = time.Second
	maxRetryAfter = 5 * time.Minute
)

// request is a request at its ingress router.
type request struct {
	id        RequestID
	key       model.Key
	class     model.Class
	input     float64
	arrived   model.Time
	deadline  model.Time // of the dispatch
	heapIndex int        // index in the deadlines, -1 once dispatched
	attempts  int
	backend   model.BackendID
	running   bool
	charged   model.Service
	expected  float64 // output in tokens, estimated at the dispatch
	resumed   *Arrive // the request if it resumes a stream and goes only to backend servers of its lineage, otherwise nil
	stream    model.StreamID
	pools     []model.PoolID // of its route
	suspect   suspectIdentity
}

// queue holds the waiting requests of one account in one pool.
type queue struct {
	waiting  [model.Classes][]*request
	running  int
	interval time.Duration // smoothed interval between dispatches
	last     model.Time    // of the last dispatch
	tokens   float64       // in the rate limit's bucket
	filled   model.Time    // when the rate limit's bucket was last refilled
}

func (q *queue) length() int {
	return len(q.waiting[model.Interactive]) + len(q.waiting[model.Batch])
}

// oldest returns the arrival time of the request that has waited longest, now if none waits.
func (q *queue) oldest(now model.Time) model.Time {
	oldest := now
	for _, waiting := range q.waiting {
		if len(waiting) > 0 {
			oldest = min(oldest, waiting[0].arrived)
		}
	}
	return oldest
}

// exclusion records why and for how long this router sends nothing to a backend server.
type exclusion struct {
	until   model.Time
	pause   time.Duration
	leaving bool // according to the VM list
}

func (c *Core) arrive(e Arrive) {
	key := model.Key{Pool: e.Pool, Account: e.Account}
	q := c.queueOf(key)
	if reason := c.admission(key, q); reason != "" {
		c.emit(Refuse{ID: e.ID, Reason: reason, RetryAfter: c.retryAfter(q)})
		return
	}
	r := &request{
		id: e.ID, key: key, class: e.Class, input: e.Input,
		arrived: c.now, deadline: c.now + e.Wait, stream: e.Stream, pools: e.Pools, heapIndex: -1,
		suspect: suspectIdentityOf(e),
	}
	c.requests[r.id] = r
	if e.Bound {
		r.resumed = &e
		c.dispatchResumed(r, q)
		return
	}
	heap.Push(&c.deadlines, r)
	q.waiting[r.class] = append(q.waiting[r.class], r)
	c.demandIncreased(key, q)
}

func (c *Core) queueOf(key model.Key) *queue {
	q := c.queues[key]
	if q == nil {
		q = &queue{filled: c.now, tokens: c.config.Accounts[key.Account].Limits.PerMinute}
		c.queues[key] = q
	}
	return q
}

// admission returns the reason for which a request may not be queued, or "".
func (c *Core) admission(key model.Key, q *queue) Refusal {
	limits := c.config.Accounts[key.Account].Limits
	if c.draining {
		return Draining
	}
	if limits.Queue > 0 && q.length() >= limits.Queue {
		return QueueFull
	}
	if limits.PerMinute > 0 && !q.takeToken(c.now, limits.PerMinute) {
		return RateLimited
	}
	return ""
}

// takeToken takes one token from the rate limit's bucket and reports whether there was one.
func (q *queue) takeToken(now model.Time, perMinute float64) bool {
	q.tokens = min(q.tokens+(now-q.filled).Minutes()*perMinute, perMinute)
	q.filled = now
	if q.tokens < 1 {
		return false
	}
	q.tokens--
	return true
}

// retryAfter estimates how long the account's queue takes to drain.
func (c *Core) retryAfter(q *queue) time.Duration {
	expected := q.interval * time.Duration(q.length()+1)
	return min(max(expected, minRetryAfter), maxRetryAfter)
}

// removeWaiting removes a waiting request from its queue.
func (c *Core) removeWaiting(r *request) {
	q := c.queues[r.key]
	q.waiting[r.class] = slices.DeleteFunc(q.waiting[r.class], func(o *request) bool { return o == r })
	if r.heapIndex >= 0 {
		heap.Remove(&c.deadlines, r.heapIndex)
	}
	c.demandDecreased(r.key, q)
}

func (c *Core) abandon(id RequestID) {
	delete(c.suspicions.pendingTries, id)
	delete(c.streams.lookups, id)
	if c.prompt.Has(id) {
		c.prompt.Finish(c.now, id, prompt.Disconnected, 0)
		return
	}
	r := c.requests[id]
	if r == nil || r.running {
		return
	}
	c.removeWaiting(r)
	delete(c.requests, id)
}

// refuse refuses a request for good.
func (c *Core) refuse(r *request, reason Refusal) {
	if !r.running {
		c.removeWaiting(r)
	}
	delete(c.requests, r.id)
	c.emit(Refuse{ID: r.id, Reason: reason, RetryAfter: c.retryAfter(c.queues[r.key])})
}

// expire refuses the requests whose deadline has passed.
func (c *Core) expire() {
	for len(c.deadlines) > 0 && c.deadlines[0].deadline <= c.now {
		c.refuse(c.deadlines[0], WaitExceeded)
	}
}

// refuseWithdrawn refuses the waiting requests whose account or pool is no longer configured.
func (c *Core) refuseWithdrawn() {
	for _, id := range sortedKeys(c.requests) {
		r := c.requests[id]
		_, account := c.config.Accounts[r.key.Account]
		_, pool := c.config.Pools[r.key.Pool]
		if !r.running && !(account && pool) {
			c.refuse(r, AccountWithdrawn)
		}
	}
}

// next returns the request of an account to be dispatched next: the first interactive one, else the first batch one.
func (q *queue) next() *request {
	for _, waiting := range q.waiting {
		if len(waiting) > 0 {
			return waiting[0]
		}
	}
	return nil
}

// dispatch sends the account's next request to a backend server and reports whether there was one.
func (c *Core) dispatch(key model.Key, backend model.BackendID) bool {
	q := c.queues[key]
	if q == nil {
		return false
	}
	for r := q.next(); r != nil; r = q.next() {
		c.removeWaiting(r)
		if refusal, held := c.heldSince(r.id, r.suspect); held {
			delete(c.requests, r.id)
			c.emit(refusal)
			continue
		}
		c.start(r, q, backend)
		return true
	}
	return false
}

// start dispatches a request that doesn't wait in a queue.
func (c *Core) start(r *request, q *queue, backend model.BackendID) {
	r.running = true
	r.attempts++
	r.backend = backend
	q.running++
	c.running[backend]++
	q.recordDispatch(c.now)
	r.expected = c.lengths(r).Remaining(0)
	c.charge(r, 0)
	c.recordStream(r.stream, r.pools, backend)
	c.emit(Dispatch{ID: r.id, Backend: backend, Waited: c.now - r.arrived, Lineage: c.config.Backends[backend].Lineage()})
}

// dispatchResumed dispatches a request that resumes a stream to the backend server of its lineage where this router runs
// the fewest requests, without a grant: owners grant slots of any backend server, and few may be of the lineage. The
// owner counts the slot as occupied.
func (c *Core) dispatchResumed(r *request, q *queue) {
	var best model.BackendID
	for _, id := range sortedKeys(c.config.Backends) {
		if c.config.Backends[id].Lineage() != r.resumed.Lineage || c.unusable(id) || slices.Contains(r.resumed.Exclude, id) {
			continue
		}
		if best == 0 || c.running[id] < c.running[best] {
			best = id
		}
	}
	if best == 0 {
		delete(c.requests, r.id)
		c.emit(Refuse{ID: r.id, Reason: Unreachable, RetryAfter: c.retryAfter(q)})
		return
	}
	c.start(r, q, best)
	c.holdChanged(best)
}

// intervalWeight is the weight of the newest interval in the smoothed one.
const intervalWeight = 0.2

func (q *queue) recordDispatch(now model.Time) {
	if q.last > 0 {
		newest := float64(now - q.last)
		q.interval = time.Duration((1-intervalWeight)*float64(q.interval) + intervalWeight*newest)
	}
	q.last = now
}

func (c *Core) finish(e Finish) {
	if c.prompt.Has(e.ID) {
		c.finishByPrompt(e)
		return
	}
	r := c.requests[e.ID]
	if r == nil || !r.running {
		return
	}
	q := c.queues[r.key]
	r.running = false
	q.running--
	if c.running[r.backend]--; c.running[r.backend] == 0 {
		delete(c.running, r.backend)
	}
	c.holdChanged(r.backend)
	c.recordBusy(r.key, q)
	if e.Ending == NotSent {
		c.requeue(r, q)
		return
	}
	if e.Ending == Cancelled {
		c.chargeTokens(r, 0)
	} else {
		c.chargeTokens(r, r.input+e.Output)
	}
	c.recordProof(e, r.suspect)
	if e.Ending == Done || e.Ending == Inconclusive {
		c.lengths(r).Observe(e.Output)
		delete(c.excluded, r.backend)
	}
	delete(c.requests, r.id)
}

// requeue puts a request of which nothing was sent back at the head of its queue and excludes its backend server for
// a while.
func (c *Core) requeue(r *request, q *queue) {
	c.chargeTokens(r, 0)
	c.excludeBackend(r.backend)
	if r.attempts >= maxAttempts {
		delete(c.requests, r.id)
		c.emit(Refuse{ID: r.id, Reason: Unreachable, RetryAfter: c.retryAfter(q)})
		return
	}
	if r.resumed != nil {
		c.dispatchResumed(r, q)
		return
	}
	heap.Push(&c.deadlines, r)
	q.waiting[r.class] = slices.Insert(q.waiting[r.class], 0, r)
	c.demandIncreased(r.key, q)
}

func (c *Core) excludeBackend(id model.BackendID) {
	f := c.excluded[id]
	if f == nil {
		f = &exclusion{pause: exclusionPause / 2}
		c.excluded[id] = f
	}
	f.pause = min(2*f.pause, maxExclusionPause)
	f.until = c.now + f.pause
}

// excludes reports whether this router currently uses no grants for a backend server: it is unusable, or its version
// begins no streams yet, which a request of any kind may be.
func (c *Core) excludes(id model.BackendID) bool {
	l := c.config.Backends[id].Lineage()
	return c.unusable(id) || slices.Contains(c.unsettled(l.Pool), l.Build)
}

// awaitsRegistration reports whether a backend server is excluded only until its version is registered, which takes less time
// than the owner's suspension of a server that is refused.
func (c *Core) awaitsRegistration(id model.BackendID) bool {
	return !c.unusable(id) && !c.streams.registry.registered(c.config.Backends[id].Lineage())
}

// unusable reports whether this router currently sends no new requests to a backend server.
func (c *Core) unusable(id model.BackendID) bool {
	if !c.config.Backends[id].inService() {
		return true
	}
	if !c.notices.Accepts(c.now, id) {
		return true
	}
	f := c.excluded[id]
	return f != nil && (f.leaving || c.now < f.until)
}

// mayBegin reports whether a backend server can begin a stream now, as far as this router knows. One whose announcement
// has lapsed may have ended.
func (c *Core) mayBegin(id model.BackendID) bool {
	b := c.config.Backends[id]
	return b.inService() && !b.Lapsed && !c.notices.IsLeaving(c.now, id) && !c.unreachable(id)
}

// unreachable reports whether this router could not reach a backend server lately, or its VM is leaving.
func (c *Core) unreachable(id model.BackendID) bool {
	if c.byPrompt() && c.prompt.Unreachable(c.now, id) {
		return true
	}
	f := c.excluded[id]
	return f != nil && (f.leaving || f.until > 0 && c.now < f.until+unreachableMemory)
}

// setLeaving sets the backend servers that get no new requests according to the VM list.
func (c *Core) setLeaving(ids []model.BackendID) {
	for _, f := range c.excluded {
		f.leaving = false
	}
	for _, id := range ids {
		f := c.excluded[id]
		if f == nil {
			f = &exclusion{pause: exclusionPause}
			c.excluded[id] = f
		}
		f.leaving = true
	}
	c.markAllDirty()
}
