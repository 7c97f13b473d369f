package scheduler

import (
	"github.com/tamarindstep/tamarindstep/core"
)

// Request is a request's hold on the core.
type Request struct {
	service *Service
	id      core.RequestID
	// Decisions gives the core's decision, and another after each NotSent.
	Decisions chan Decision
}

// Submit lets a request wait for a backend server.
func (s *Service) Submit(a core.Arrive) *Request {
	s.mu.Lock()
	s.nextID++
	a.ID = s.nextID
	r := &Request{service: s, id: a.ID, Decisions: make(chan Decision, 1)}
	s.waiters[a.ID] = r.Decisions
	s.mu.Unlock()
	a.Lag = s.lag.ofAnswers()
	s.Tell(a)
	return r
}

// Progress tells how many tokens of output have flowed.
func (r *Request) Progress(output float64) {
	r.service.Tell(core.Progress{ID: r.id, Output: output})
}

// Began tells that the answer has begun.
func (r *Request) Began() {
	r.service.Tell(core.Began{ID: r.id})
}

// Retry gives the request back after nothing of it was sent; the next decision
// follows.
func (r *Request) Retry() {
	r.service.Tell(core.Finish{ID: r.id, Ending: core.NotSent})
}

// Finish ends the request.
func (r *Request) Finish(output float64, ending core.Ending) {
	r.forget()
	r.service.Tell(core.Finish{ID: r.id, Output: output, Ending: ending})
}

// Abandon takes the request back while it waits.
func (r *Request) Abandon() {
	r.forget()
	r.service.Tell(core.Abandon{ID: r.id})
}

func (r *Request) forget() {
	r.service.mu.Lock()
	defer r.service.mu.Unlock()
	delete(r.service.waiters, r.id)
	delete(r.service.asked, r.id)
}
