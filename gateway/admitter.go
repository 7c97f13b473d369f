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

// pruneInterval is the interval at which the gate drops expired state.
const pruneInterval = time.Second

// admitter admits or refuses requests by their headers and tracks the admitted ones until they are scheduled. It keeps
// the last decision on each account for the log.
type admitter struct {
	metrics *telemetry.Front

	mu       sync.Mutex
	gate     *admission.Gate
	pruned   model.Time
	accounts map[model.AccountID]*accountAdmissions
}

type accountAdmissions struct {
	last     scheduler.Decision
	refusals logLimiter // refusals by the header
}

func newAdmitter(processor float64, metrics *telemetry.Front) *admitter {
	return &admitter{
		gate: admission.NewGate(processor), metrics: metrics, accounts: map[model.AccountID]*accountAdmissions{},
	}
}

// arrive admits or refuses a request by its header.
func (p *admitter) arrive(now model.Time, r admission.Request) (admission.Verdict, admission.Ticket) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now >= p.pruned+pruneInterval {
		p.pruned = now
		p.gate.DeleteExpired(now)
	}
	verdict, ticket := p.gate.Admit(now, r)
	p.updateMetrics()
	return verdict, ticket
}

// isRefusing reports whether requests are being refused by their headers.
func (p *admitter) isRefusing(now model.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gate.Crowded(now)
}

// recordDecision records the scheduler's decision on a request that was admitted the given age ago.
func (p *admitter) recordDecision(now model.Time, account model.AccountID, t admission.Ticket, age time.Duration, d scheduler.Decision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gate.Decided(now, t, admission.Decision{Took: age - d.Waited, Refused: !d.Dispatched, ValidFor: d.ValidFor})
	p.account(account).last = d
	p.updateMetrics()
}

// withdraw removes a request that has ended without a decision.
func (p *admitter) withdraw(t admission.Ticket) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gate.Abandoned(t)
	p.updateMetrics()
}

// complete records that an admitted request has ended.
func (p *admitter) complete(t admission.Ticket) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gate.Ended(t)
	p.updateMetrics()
}

// updateMetrics sets the gauges of pending and carried requests and of their limits.
func (p *admitter) updateMetrics() {
	p.metrics.Pending.Set(float64(p.gate.Pending()))
	p.metrics.PendingLimit.Set(p.gate.Window())
	carried, limit := p.gate.Streams()
	p.metrics.Streams.Set(float64(carried))
	p.metrics.StreamsLimit.Set(limit)
}

// countRefusal counts a request of an account that is refused by its header. It returns the number of refusals to log,
// 0 for none now, and the last decision on a request of the account.
func (p *admitter) countRefusal(account model.AccountID) (refused int64, last scheduler.Decision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.account(account)
	return a.refusals.due(), a.last
}

func (p *admitter) account(account model.AccountID) *accountAdmissions {
	a := p.accounts[account]
	if a == nil {
		a = &accountAdmissions{refusals: logLimiter{began: time.Now()}}
		p.accounts[account] = a
	}
	return a
}

// decideWithin returns the time within which the request should be scheduled.
func (a *attempt) decideWithin() time.Duration {
	if objective := a.route.Through.Objective; objective > 0 {
		return time.Duration(admission.DecisionFraction * float64(objective))
	}
	return time.Duration(admission.DecisionFraction * float64(a.left()))
}

// admissionRequest returns the input of the gate for this request.
func (a *attempt) admissionRequest() admission.Request {
	return admission.Request{
		Account: a.account, Route: model.NameHash(a.route.Name), DecisionBudget: a.decideWithin(),
		Stream: a.route.Through.Streaming, Objective: a.route.Through.Objective, SchedulingDelay: a.service.scheduler.MeanLag(),
		FirstOnConn: a.conn.writes.idle == 0,
	}
}

// requestAdmission admits or refuses the request by its header.
func (a *attempt) requestAdmission() {
	s := a.service
	verdict, ticket := s.admitter.arrive(s.now(), a.admissionRequest())
	if verdict.Reason == admission.Admitted {
		a.ticket, a.carried = &ticket, &ticket
		return
	}
	a.refuseByHeader(verdict)
}

// refuseByHeader refuses the request and reports it to the core as demand of its account.
func (a *attempt) refuseByHeader(verdict admission.Verdict) {
	s := a.service
	a.refused, a.shed = queueFull, true
	s.metrics.Front.RefusedUnread.WithLabelValues(string(verdict.Reason)).Inc()
	s.scheduler.ReportUnread(core.UnreadRequest{
		Account: a.account, Pool: a.route.PoolFor(rand.Float64()),
		Route: model.NameHash(a.route.Name), Prompt: a.meta.Prompt,
	})
	if n, last := s.admitter.countRefusal(a.account); n > 0 {
		a.logRefusedByHeader(n, verdict, last)
	}
}

// releaseTickets releases the request's tickets, if any.
func (a *attempt) releaseTickets() {
	if a.ticket != nil {
		a.service.admitter.withdraw(*a.ticket)
		a.ticket = nil
	}
	if a.carried != nil {
		a.service.admitter.complete(*a.carried)
		a.carried = nil
	}
}

// recordDecision records the first decision on the request.
func (a *attempt) recordDecision(d scheduler.Decision) {
	if a.ticket == nil {
		return
	}
	s := a.service
	s.admitter.recordDecision(s.now(), a.account, *a.ticket, s.clock.Since(a.began), d)
	a.ticket = nil
}

// now returns the time used by the gate.
func (s *Service) now() model.Time { return s.clock.Now() }

// logRefusedByHeader logs the number of requests of the account refused by their headers, the reason for this refusal,
// and the last decision on a request of the account.
func (a *attempt) logRefusedByHeader(refused int64, v admission.Verdict, last scheduler.Decision) {
	logBasis(a.log("crowded"), last.Basis).Int64("refused", refused).Str("reason", string(v.Reason)).
		Int("waiting", v.Pending).Int("window", v.Window).Int("carried", v.Streams).Int("carried_limit", v.StreamLimit).
		Bool("last_dispatched", last.Dispatched).Str("last_reason", string(last.Refusal)).
		Msg("request refused by its header")
}
