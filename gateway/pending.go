package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/core/admission"
	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/scheduler"
	"github.com/tamarindstep/tamarindstep/telemetry"
)

// forgetEvery is how often the gate drops what is over.
const forgetEvery = time.Second

// pending decides by their headers which requests are read, and follows those until they are
// decided on. It keeps the last decision on each account for the log.
type pending struct {
	metrics *telemetry.Front

	mu       sync.Mutex
	gate     *admission.Gate
	forgot   model.Time
	accounts map[model.AccountID]*accountPending
}

type accountPending struct {
	last    scheduler.Decision
	crowded occasional // refusals by the header
}

func newPending(processor float64, metrics *telemetry.Front) *pending {
	return &pending{
		gate: admission.NewGate(processor), metrics: metrics, accounts: map[model.AccountID]*accountPending{},
	}
}

// arrive decides on a request by its header.
func (p *pending) arrive(now model.Time, r admission.Request) (admission.Verdict, admission.Ticket) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now >= p.forgot+forgetEvery {
		p.forgot = now
		p.gate.Forget(now)
	}
	verdict, ticket := p.gate.Arrive(now, r)
	p.note()
	return verdict, ticket
}

// crowded tells whether requests are being refused by their header.
func (p *pending) crowded(now model.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gate.Crowded(now)
}

// decided takes the decision on a request that was let in so long ago.
func (p *pending) decided(now model.Time, account model.AccountID, t admission.Ticket, age time.Duration, d scheduler.Decision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gate.Decided(now, t, admission.Decision{Took: age - d.Waited, Refused: !d.Dispatched, Holds: d.Holds})
	p.account(account).last = d
	p.note()
}

// left takes back a request that has ended without a decision.
func (p *pending) left(t admission.Ticket) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gate.Left(t)
	p.note()
}

// ended takes that a request that was let in has ended.
func (p *pending) ended(t admission.Ticket) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gate.Ended(t)
	p.note()
}

// note shows operators how much waits for a decision, and how much may.
func (p *pending) note() {
	p.metrics.Pending.Set(float64(p.gate.Pending()))
	p.metrics.Window.Set(p.gate.Window())
	carried, limit := p.gate.Carried()
	p.metrics.Carried.Set(float64(carried))
	p.metrics.CarriedLimit.Set(limit)
}

// crowd counts a request of an account that is refused by its header. It returns how many
// there are to write a line for, 0 for none now, and the last decision on one of the account.
func (p *pending) crowd(account model.AccountID) (refused int64, last scheduler.Decision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.account(account)
	return a.crowded.due(), a.last
}

func (p *pending) account(account model.AccountID) *accountPending {
	a := p.accounts[account]
	if a == nil {
		a = &accountPending{crowded: occasional{began: time.Now()}}
		p.accounts[account] = a
	}
	return a
}

// within returns the time in which the request is to be decided on.
func (a *attempt) within() time.Duration {
	if objective := a.route.Through.Objective; objective > 0 {
		return time.Duration(admission.Part * float64(objective))
	}
	return time.Duration(admission.Part * float64(a.left()))
}

// subject is what the gate decides on.
func (a *attempt) subject() admission.Request {
	return admission.Request{
		Account: a.account, Route: model.HashName(a.route.Name), Within: a.within(),
		Stream: a.route.Through.Streaming, Objective: a.route.Through.Objective, Late: a.service.scheduler.Late(),
		First: a.conn.writes.rested == 0,
	}
}

// letIn decides by its header whether the request is read.
func (a *attempt) letIn() {
	s := a.service
	verdict, ticket := s.pending.arrive(s.now(), a.subject())
	if verdict.Reason == admission.Admitted {
		a.ticket, a.carried = &ticket, &ticket
		return
	}
	a.crowdOut(verdict)
}

// crowdOut refuses the request by its header, and lets the core count what its account asks for.
func (a *attempt) crowdOut(verdict admission.Verdict) {
	s := a.service
	a.refused, a.shed = crowded, true
	s.metrics.Front.Unread.WithLabelValues(string(verdict.Reason)).Inc()
	s.scheduler.TurnAway(core.Unread{
		Account: a.account, Pool: a.route.PoolFor(rand.Float64()),
		Route: model.HashName(a.route.Name), Prompt: a.meta.Prompt,
	})
	if n, last := s.pending.crowd(a.account); n > 0 {
		a.logCrowded(n, verdict, last)
	}
}

// letGo gives the request's places back, where it has any: among those that wait for a decision, and among those that are carried.
func (a *attempt) letGo() {
	if a.ticket != nil {
		a.service.pending.left(*a.ticket)
		a.ticket = nil
	}
	if a.carried != nil {
		a.service.pending.ended(*a.carried)
		a.carried = nil
	}
}

// noteDecision takes the first decision on the request.
func (a *attempt) noteDecision(d scheduler.Decision) {
	if a.ticket == nil {
		return
	}
	s := a.service
	s.pending.decided(s.now(), a.account, *a.ticket, s.clock.Since(a.began), d)
	a.ticket = nil
}

// now is the time that the gate counts by.
func (s *Service) now() model.Time { return s.clock.Now() }

// logCrowded notes that so many requests of the account were refused by their header, why this
// one was, and what the last decision on one of them was.
func (a *attempt) logCrowded(refused int64, v admission.Verdict, last scheduler.Decision) {
	logBasis(a.log("crowded"), last.Basis).Int64("refused", refused).Str("reason", string(v.Reason)).
		Int("waiting", v.Pending).Int("window", v.Window).Int("carried", v.Carried).Int("carried_limit", v.Bound).
		Bool("last_dispatched", last.Dispatched).Str("last_reason", string(last.Refusal)).
		Msg("request refused by its header")
}
