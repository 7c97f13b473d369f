package scheduler

import (
	"github.com/tamarindstep/tamarindstep/core"
)

// Request is the handle of a request that has been submitted to the core.
type Request struct {
	service *Service
	id      core.RequestID
	// Decisions receives the core's decision, and another one after each Retry.
	Decisions chan Decision
}

// Submit sends a new request to the core.
func (s *Service) Submit(a core.Arrive) *Request {
	s.mu.Lock()
	s.nextID++
	a.ID = s.nextID
	r := &Request{service: s, id: a.ID, Decisions: make(chan Decision, 1)}
	s.waiters[a.ID] = r.Decisions
	s.mu.Unlock()
	a.Lag = s.lag.answerDelay()
	s.Enqueue(a)
	return r
}

// Progress reports the number of tokens of output delivered so far.
func (r *Request) Progress(output float64) {
	r.service.Enqueue(core.Progress{ID: r.id, Output: output})
}

// ResponseBegan reports that the answer has begun.
func (r *Request) ResponseBegan() {
	r.service.Enqueue(core.Began{ID: r.id})
}

// Retry returns the request to the core after no part of it was sent. Another decision
// follows.
func (r *Request) Retry() {
	r.service.Enqueue(core.Finish{ID: r.id, Ending: core.NotSent})
}

// Finish reports the end of the request, with its tokens of output.
func (r *Request) Finish(output float64, ending core.Ending) {
	r.removeWaiter()
	r.service.Enqueue(core.Finish{ID: r.id, Output: output, Ending: ending})
}

// Withdraw withdraws a waiting request.
func (r *Request) Withdraw() {
	r.removeWaiter()
	r.service.Enqueue(core.Abandon{ID: r.id})
}

func (r *Request) removeWaiter() {
	r.service.mu.Lock()
	defer r.service.mu.Unlock()
	delete(r.service.waiters, r.id)
	delete(r.service.tryRequested, r.id)
	delete(r.service.resumed, r.id)
}
