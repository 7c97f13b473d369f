package core

import (
	"container/heap"
	"slices"
	"time"

	"github.com/tamarindstep/tamarindstep/core/prompt"
	"github.com/tamarindstep/tamarindstep/model"
)

const (
	// maxAttempts is how often a request of which nothing was sent is tried.
	maxAttempts = 4
	// refusalPause is how long a backend server that couldn't be reached is
	// left out at first; it doubles up to maxRefusalPause.
	refusalPause    = 250 * time.Millisecond
	maxRefusalPause = 8 * time.Second
	// defaultExpected is the output expected where nothing is known, in tokens.
	defaultExpected = 256
	// minRetryAfter and maxRetryAfter bound when a refused caller is asked back.
	minRetryAfter = time.Second
	maxRetryAfter = 5 * time.Minute
)

// request is one request at its ingress router.
type request struct {
	id       RequestID
	key      model.Key
	class    model.Class
	input    float64
	arrived  model.Time
	deadline model.Time // for being dispatched
	heapAt   int        // place in the deadlines, -1 once dispatched
	attempts int
	backend  model.BackendID
	running  bool
	charged  model.Service
	expected float64 // output, in tokens, as expected when it was dispatched
}

// queue holds the waiting requests of one account in one pool.
type queue struct {
	waiting [model.Classes][]*request
	running int
	gap     time.Duration // smoothed time between two dispatches
	last    model.Time    // of the last dispatch
	tokens  float64       // of the rate limit
	filled  model.Time    // when the rate limit's bucket was last filled
}

func (q *queue) length() int {
	return len(q.waiting[model.Interactive]) + len(q.waiting[model.Batch])
}

// oldest returns the arrival of the request that has waited longest.
func (q *queue) oldest(now model.Time) model.Time {
	oldest := now
	for _, waiting := range q.waiting {
		if len(waiting) > 0 {
			oldest = min(oldest, waiting[0].arrived)
		}
	}
	return oldest
}

// refusal is how this router holds a backend server that it can't use.
type refusal struct {
	until   model.Time
	pause   time.Duration
	leaving bool // by the VM list
}

func (c *Core) arrive(e Arrive) {
	key := model.Key{Pool: e.Pool, Account: e.Account}
	q := c.queueOf(key)
	if reason := c.admission(key, q); reason != "" {
		c.do(Refuse{ID: e.ID, Reason: reason, RetryAfter: c.retryAfter(q)})
		return
	}
	r := &request{
		id: e.ID, key: key, class: e.Class, input: e.Input,
		arrived: c.now, deadline: c.now + e.Wait,
	}
	c.requests[r.id] = r
	heap.Push(&c.deadlines, r)
	q.waiting[r.class] = append(q.waiting[r.class], r)
	c.demandGrew(key, q)
}

func (c *Core) queueOf(key model.Key) *queue {
	q := c.queues[key]
	if q == nil {
		q = &queue{filled: c.now, tokens: c.config.Accounts[key.Account].Limits.PerMinute}
		c.queues[key] = q
	}
	return q
}

// admission returns why a request may not even wait, or "".
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

// takeToken takes one request from the bucket of the rate limit.
func (q *queue) takeToken(now model.Time, perMinute float64) bool {
	q.tokens = min(q.tokens+(now-q.filled).Minutes()*perMinute, perMinute)
	q.filled = now
	if q.tokens < 1 {
		return false
	}
	q.tokens--
	return true
}

// retryAfter expects how long the account's queue takes to drain.
func (c *Core) retryAfter(q *queue) time.Duration {
	expected := q.gap * time.Duration(q.length()+1)
	return min(max(expected, minRetryAfter), maxRetryAfter)
}

// removeWaiting takes a waiting request out of its queue.
func (c *Core) removeWaiting(r *request) {
	q := c.queues[r.key]
	q.waiting[r.class] = slices.DeleteFunc(q.waiting[r.class], func(o *request) bool { return o == r })
	if r.heapAt >= 0 {
		heap.Remove(&c.deadlines, r.heapAt)
	}
	c.demandShrank(r.key, q)
}

func (c *Core) abandon(id RequestID) {
	delete(c.suspicions.asking, id)
	if c.prompt.Has(id) {
		c.prompt.Finish(c.now, id, prompt.Left, 0)
		return
	}
	r := c.requests[id]
	if r == nil || r.running {
		return
	}
	c.removeWaiting(r)
	delete(c.requests, id)
}

// refuse gives a request its final answer.
func (c *Core) refuse(r *request, reason Refusal) {
	if !r.running {
		c.removeWaiting(r)
	}
	delete(c.requests, r.id)
	c.do(Refuse{ID: r.id, Reason: reason, RetryAfter: c.retryAfter(c.queues[r.key])})
}

// expire refuses the requests that have waited as long as they may.
func (c *Core) expire() {
	for len(c.deadlines) > 0 && c.deadlines[0].deadline <= c.now {
		c.refuse(c.deadlines[0], WaitedLong)
	}
}

// refuseWithdrawn refuses what waits for an account or a pool that the
// configuration no longer has.
func (c *Core) refuseWithdrawn() {
	for _, id := range sortedKeys(c.requests) {
		r := c.requests[id]
		_, account := c.config.Accounts[r.key.Account]
		_, pool := c.config.Pools[r.key.Pool]
		if !r.running && !(account && pool) {
			c.refuse(r, Withdrawn)
		}
	}
}

// next returns the request of an account that would be dispatched next: the
// first of the interactive ones, else of the batch ones.
func (q *queue) next() *request {
	for _, waiting := range q.waiting {
		if len(waiting) > 0 {
			return waiting[0]
		}
	}
	return nil
}

// dispatch sends the account's next request to a backend server, and tells
// whether there was one.
func (c *Core) dispatch(key model.Key, backend model.BackendID) bool {
	q := c.queues[key]
	if q == nil {
		return false
	}
	r := q.next()
	if r == nil {
		return false
	}
	c.removeWaiting(r)
	r.running = true
	r.attempts++
	r.backend = backend
	q.running++
	c.running[backend]++
	q.noteDispatch(c.now)
	r.expected = c.lengths(r).Rest(0)
	c.charge(r, 0)
	c.do(Dispatch{ID: r.id, Backend: backend, Waited: c.now - r.arrived})
	return true
}

// gapWeight is the weight of the newest observation in the smoothed gap.
const gapWeight = 0.2

func (q *queue) noteDispatch(now model.Time) {
	if q.last > 0 {
		newest := float64(now - q.last)
		q.gap = time.Duration((1-gapWeight)*float64(q.gap) + gapWeight*newest)
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
	c.slotFreed(r.backend)
	c.noteBusy(r.key, q)
	if e.Ending == NotSent {
		c.tryAgain(r, q)
		return
	}
	if e.Ending == Cancelled {
		c.chargeTokens(r, 0)
	} else {
		c.chargeTokens(r, r.input+e.Output)
	}
	if e.Ending == Done {
		c.lengths(r).Observe(e.Output)
		delete(c.refused, r.backend)
	}
	delete(c.requests, r.id)
}

// tryAgain puts a request of which nothing was sent back at the head of its
// queue, and leaves its backend server out for a while.
func (c *Core) tryAgain(r *request, q *queue) {
	c.chargeTokens(r, 0)
	c.refuseBackend(r.backend)
	if r.attempts >= maxAttempts {
		delete(c.requests, r.id)
		c.do(Refuse{ID: r.id, Reason: Unreachable, RetryAfter: c.retryAfter(q)})
		return
	}
	heap.Push(&c.deadlines, r)
	q.waiting[r.class] = slices.Insert(q.waiting[r.class], 0, r)
	c.demandGrew(r.key, q)
}

func (c *Core) refuseBackend(id model.BackendID) {
	f := c.refused[id]
	if f == nil {
		f = &refusal{pause: refusalPause / 2}
		c.refused[id] = f
	}
	f.pause = min(2*f.pause, maxRefusalPause)
	f.until = c.now + f.pause
}

// refuses tells whether this router sends nothing new to a backend server now.
func (c *Core) refuses(id model.BackendID) bool {
	if b := c.config.Backends[id]; b.Leaving || b.Evacuated {
		return true
	}
	if !c.notices.Takes(c.now, id) {
		return true
	}
	f := c.refused[id]
	return f != nil && (f.leaving || c.now < f.until)
}

// leaving takes the VM list's word on which backend servers get nothing new.
func (c *Core) leaving(ids []model.BackendID) {
	for _, f := range c.refused {
		f.leaving = false
	}
	for _, id := range ids {
		f := c.refused[id]
		if f == nil {
			f = &refusal{pause: refusalPause}
			c.refused[id] = f
		}
		f.leaving = true
	}
	c.dirtyAll()
}
