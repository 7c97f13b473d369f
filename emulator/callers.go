package emulator

import (
	"time"

	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/core/prompt"
	"github.com/tamarindstep/tamarindstep/model"
)

// scheduleNext schedules an account's next request of a kind.
func (s *simulation) scheduleNext(kind, account int) {
	hot := s.Load.isHot(account, s.clock.Now()-discoveryPeriod-s.WarmUp, s.Length)
	s.clock.At(s.clock.Now()+s.generator.interArrival(kind, account, hot), func() {
		c := s.generator.draw(kind, account, s.clock.Now())
		s.calls = append(s.calls, c)
		s.attempt(c)
		s.scheduleNext(kind, account)
	})
}

// attempt sends a request to a router.
func (s *simulation) attempt(c *call) {
	c.attempts++
	s.recorder.recordAttempt(s.clock.Now(), c)
	r := s.routers[s.Load.routerOf(c.account, len(s.routers), s.random)]
	k := s.Load.Kinds[c.kind]
	s.clock.At(s.clock.Now()+s.CallerLatency, func() {
		if !r.processor.take(s.clock.Now()) {
			s.refuseByHeader(r, c)
			return
		}
		r.nextID++
		r.calls[r.nextID] = c
		s.step(r, core.Arrive{
			ID: r.nextID, Account: model.Account(accountName(c.account)), Pool: model.Pool(poolName),
			Input: float64(c.prompt.Tokens), Wait: k.Deadline - (s.clock.Now() - c.sentAt),
			Route: uint32(c.kind), Prompt: c.prompt, Objective: k.Objective,
		})
	})
}

func (s *simulation) dispatch(r *router, a core.Dispatch) {
	c := r.calls[a.ID]
	e := s.engines[a.Backend]
	k := s.Load.Kinds[c.kind]
	last := model.Time(0)
	checkPause := func() {
		c.stalled = c.stalled || last > 0 && s.clock.Now()-last > k.MaxPause
		last = s.clock.Now()
	}
	c.execution = &execution{prompt: &c.prompt, output: c.output}
	c.execution.onFirst = func() {
		checkPause()
		c.firstToken = s.clock.Now() + s.CallerLatency - c.sentAt
		s.recorder.recordStart(s.clock.Now(), c)
		s.step(r, core.Began{ID: a.ID})
	}
	c.execution.onProgress = func() {
		checkPause()
		s.step(r, core.Progress{ID: a.ID, Output: float64(c.execution.generated)})
	}
	c.execution.onDone = func() {
		c.done = true
		delete(r.calls, a.ID)
		s.step(r, core.Finish{ID: a.ID, Output: float64(c.output), Ending: core.Done})
	}
	c.engine = e
	if !e.accept(c.execution) {
		s.clock.At(s.clock.Now(), func() { s.step(r, core.Finish{ID: a.ID, Ending: core.Rejected}) })
		s.dropAndRetry(r, a.ID, 0)
		return
	}
	s.clock.At(c.sentAt+k.Deadline, func() { s.abandon(r, a.ID) })
}

// abandon cancels a request whose deadline has passed.
func (s *simulation) abandon(r *router, id core.RequestID) {
	c := r.calls[id]
	if c == nil {
		return
	}
	delete(r.calls, id)
	c.engine.remove(c.execution)
	s.step(r, core.Finish{ID: id, Output: float64(c.execution.generated), Ending: core.Broken})
}

func (s *simulation) handleRefusal(r *router, a core.Refuse) {
	if c := r.calls[a.ID]; c != nil {
		s.recorder.recordBacklog(s.clock.Now(), c)
		if a.Reason == core.Refusal(prompt.OverShare) {
			s.recorder.recordOverShare(s.clock.Now(), c)
		}
	}
	s.dropAndRetry(r, a.ID, a.RetryAfter)
}

// headerRefusalRetryAfter is the retry delay for a request that was refused by its header.
const headerRefusalRetryAfter = 300 * time.Millisecond

// refuseByHeader refuses a request that exceeds the processing rate of the router.
func (s *simulation) refuseByHeader(r *router, c *call) {
	s.step(r, core.RefusedUnread{Requests: []core.UnreadRequest{{
		Account: model.Account(accountName(c.account)), Pool: model.Pool(poolName),
		Route: uint32(c.kind), Prompt: c.prompt,
	}}})
	s.recorder.recordBacklog(s.clock.Now(), c)
	s.retry(c, headerRefusalRetryAfter)
}

// dropAndRetry removes a refused request from the router and schedules its retry.
func (s *simulation) dropAndRetry(r *router, id core.RequestID, after time.Duration) {
	c := r.calls[id]
	delete(r.calls, id)
	if c != nil {
		s.retry(c, after)
	}
}

// retry schedules another attempt, unless the retries are used up or the deadline has passed.
func (s *simulation) retry(c *call, after time.Duration) {
	if c.attempts > s.Load.Retries {
		return
	}
	remaining := s.Load.Kinds[c.kind].Deadline - (s.clock.Now() - c.sentAt)
	if remaining <= 0 {
		return
	}
	s.clock.At(s.clock.Now()+min(after, remaining/retryDelayDivisor), func() { s.attempt(c) })
}
