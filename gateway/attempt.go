package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/tamarindstep/tamarindstep/blame"
	"github.com/tamarindstep/tamarindstep/config"
	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/core/admission"
	"github.com/tamarindstep/tamarindstep/core/prompt"
	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/scheduler"
	"github.com/tamarindstep/tamarindstep/telemetry"
)

const (
	// defaultTimeout is how long a request may take where nobody says.
	defaultTimeout = 60 * time.Second
	// startRetryAfter is when a caller is asked back by a router that doesn't
	// know its configuration yet, or is stopping.
	startRetryAfter = 300 * time.Millisecond
)

// attempt is one request of a caller.
type attempt struct {
	service *Service
	conn    *callerConn
	req     *fasthttp.Request
	meta    Meta
	route   *config.CompiledRoute
	account model.AccountID
	name    string // of the account

	refused    *refusal          // found by its header
	shed       bool              // it is refused for what there is to do here
	ticket     *admission.Ticket // its place among those that wait for a decision, until there is one
	carried    *admission.Ticket // its place among those that are carried, until it has ended
	began      time.Duration     // by the clock that counts sleep, as the deadline is
	deadline   time.Duration
	ctx        context.Context // ends when the caller has left, or its time is over
	overslept  atomic.Bool     // its time was over when the machine woke
	held       *scheduler.Request
	sentAt     time.Time     // of the last send
	begunAfter time.Duration // until the first part of a stream came, 0 for none yet
	sends      int
	lent       bool // an exchange may still write the request's body
	ran        bool // it may have run somewhere
	misses     int  // backend servers that couldn't be reached
	tried      []model.BackendID
	relay      relay
	holds      holds
	blame      *blame.Case
	keep       bool // the connection may carry another request
}

// admit finds, by the header alone, what the request is and whether it is refused.
func (a *attempt) admit() {
	s := a.service
	a.began = s.clock.Now()
	a.keep = !a.req.Header.ConnectionClose() && !s.draining.Load() && !s.crowdedOut()
	a.ticket, a.conn.admitted = a.conn.admitted, nil
	a.carried = a.ticket
	if s.overloaded() {
		a.keep = false // the next one is turned away unread, or goes to another router
		a.refused, a.shed = tooMany, true
		return
	}
	a.refused = a.understand()
	if a.refused == nil && a.ticket == nil {
		a.letIn()
	}
}

// release gives the request back where nothing may still write its body, and its place where
// it has ended without a decision.
func (a *attempt) release() {
	a.letGo()
	a.returnHeld()
	if !a.lent {
		fasthttp.ReleaseRequest(a.req)
	}
}

// handle serves a request that was read, and tells whether the connection may
// carry another.
func (a *attempt) handle() bool {
	if a.refused != nil {
		a.refuse(a.refused, startRetryAfter)
		return a.keep
	}
	if a.conn.hasLeft() {
		a.log("caller-left").Msg("caller left before its request was read")
		a.count("caller-left")
		return false
	}
	a.blame = a.service.witness.Follow(a.account, a.unchanging)
	ctx, left := context.WithTimeout(context.Background(), a.left())
	defer left()
	a.ctx = ctx
	a.service.sleepers.add(a, left)
	defer a.service.sleepers.remove(a)
	gone := make(chan struct{})
	stop := a.conn.watch(func() { close(gone); left() })
	a.serve()
	stop()
	select {
	case <-gone:
		return false
	default:
		return a.keep
	}
}

// understand finds the route and the account, and how long there is.
func (a *attempt) understand() *refusal {
	s := a.service
	meta, err := s.settings.Dialect.Request(&a.req.Header)
	if err != nil {
		a.keep = false
		return malformed
	}
	a.meta = meta
	inForce := s.generation.InForce()
	switch {
	case inForce == nil || !s.generation.Ready():
		return noConfig
	case s.ending.Load():
		return stopping
	}
	path := a.req.Header.RequestURI()
	a.route = inForce.HostRoute(string(a.req.Header.Host()), pathOf(path))
	if a.route == nil {
		return a.denied(unknownRoute)
	}
	if !a.route.Through.Public {
		var known bool
		if a.account, known = inForce.AccountOf(meta.Key); !known {
			return a.denied(unknownKey)
		}
		a.name = inForce.Core.Accounts[a.account].Name
	}
	a.setDeadline()
	return nil
}

// confirmedFor is how long what the operators had written when a router last reached the store counts as what holds now.
// Users want a change in force in two seconds, of which half of one goes into watching and telling.
const confirmedFor = 1500 * time.Millisecond

// denied returns the refusal of a request that the configuration doesn't allow. A router that hasn't heard of the store for a
// while can't know that it isn't allowed: it says so at its own cost, and its caller comes again, where others know. One
// small router with a crowd before it answered 404 for three seconds after a route was in force everywhere else, as
// neither datagrams nor calls of the store came through.
func (a *attempt) denied(r *refusal) *refusal {
	if a.service.scheduler.StoreUnheard() > confirmedFor {
		a.keep = false // the next one may reach another router
		return unconfirmed
	}
	return r
}

// pathOf returns the path of a request's target.
func pathOf(target []byte) string {
	for i, b := range target {
		if b == '?' {
			return string(target[:i])
		}
	}
	return string(target)
}

func (a *attempt) setDeadline() {
	limit := defaultTimeout
	if a.route.Through.Timeout > 0 {
		limit = a.route.Through.Timeout
	}
	if a.meta.TimeLeft > 0 {
		limit = min(limit, a.meta.TimeLeft)
	}
	a.deadline = a.began + limit
}

// serve decides and sends until there is an answer.
func (a *attempt) serve() {
	for {
		d, ok := a.decide()
		if !ok {
			return
		}
		if a.send(d) {
			return
		}
	}
}

// decide waits for the core's decision; ok is false where the request has
// ended without one.
func (a *attempt) decide() (scheduler.Decision, bool) {
	if a.held == nil {
		a.held = a.service.scheduler.Submit(core.Arrive{
			Account: a.account,
			Pool:    a.route.PoolFor(rand.Float64()),
			Class:   a.route.Class,
			Input:   float64(a.meta.Prompt.Tokens),
			Wait:    a.left(),

			Route:     model.HashName(a.route.Name),
			Prompt:    a.meta.Prompt,
			Objective: a.route.Through.Objective,
			Priority:  a.route.Through.Priority,
			Except:    a.tried,
			Repeat:    a.sends > 0,

			Fingerprint: a.blame.Suspect(),
		})
	}
	select {
	case d := <-a.held.Decisions:
		a.noteDecision(d)
		if d.Dispatched {
			return d, true
		}
		a.notDispatched(d)
	case <-a.ctx.Done():
		a.held.Abandon()
		a.held.Finish(0, core.Cancelled)
		a.end(tooLate)
	}
	return scheduler.Decision{}, false
}

// notDispatched answers a request that the core refuses: as not admitted where it
// has never run, else with what its last backend server has come to.
func (a *attempt) notDispatched(d scheduler.Decision) {
	best := a.service.generation.InForce().Core.Backends[d.Basis.Best] // without a name for none
	logBasis(a.log("refused"), d.Basis).Str("reason", string(d.Refusal)).Str("backend", best.Name).
		Dur("waited_ms", d.Waited).Dur("retry_after_ms", d.RetryAfter).Int("sends", a.sends).
		Msg("request refused")
	why := notAdmitted
	if d.Refusal == core.HeldBack {
		why = heldBack
	}
	if a.ran || a.relay.begun {
		a.giveUp(why)
		return
	}
	a.refuse(why, d.RetryAfter)
}

// breakOff ends an answer so that its caller sees that it isn't whole.
func (a *attempt) breakOff(why telemetry.Breach) {
	a.keep = false
	a.countBreach(why)
	a.conn.Abort()
	a.count("broken")
}

// log returns a log line on the request.
func (a *attempt) log(outcome string) *zerolog.Event {
	route := ""
	if a.route != nil {
		route = a.route.Name
	}
	return a.service.log.Info().Str("request", a.meta.ID).Str("outcome", outcome).
		Str("account", a.name).Str("route", route).Dur("age_ms", a.service.clock.Since(a.began))
}

// logDispatch notes a decision with what it rests on.
func (a *attempt) logDispatch(d scheduler.Decision, backend string, inForce *config.InForce) {
	logBasis(a.log("dispatched"), d.Basis).Str("backend", backend).Int("send", a.sends+1).
		Dur("waited_ms", d.Waited).Int("copied", d.Copied).
		Uint64("generation", inForce.Generation).Uint64("catalog", inForce.Catalog).Uint64("halls", inForce.Halls).
		Msg("request dispatched")
}

// logBasis adds what a decision rests on to a line.
func logBasis(line *zerolog.Event, b prompt.Basis) *zerolog.Event {
	return line.Dur("delay_ms", b.Delay).Dur("soonest_ms", b.Soonest).Int("unread", b.Unread).
		Int("backlog", b.Backlog).Int("unheard", b.Unheard).Float64("slowness", b.Slow).
		Bool("over_share", b.Over).Str("standing", b.Stands).Float64("best_begun", b.Ahead).Float64("share_had", b.Had).Float64("share_asked", b.Asked).
		Float64("share_lately", b.Lately).Float64("owed", b.Owed).Float64("bound", b.Bound).Float64("bound_lately", b.Brief).Dur("loads_age_ms", b.Age)
}

// end answers a request of which nothing was sent, once its time is over or its
// caller has left.
func (a *attempt) end(r *refusal) {
	if a.callerLeft() {
		a.keep = false
		a.count("caller-left")
		return
	}
	if a.ran {
		r = timedOut
	}
	a.giveUp(r)
}

// left returns how much of the request's time is left.
func (a *attempt) left() time.Duration { return a.service.clock.Until(a.deadline) }

// callerLeft tells whether the request has ended as its caller left, and not as its time is over.
func (a *attempt) callerLeft() bool {
	return errors.Is(a.ctx.Err(), context.Canceled) && !a.overslept.Load()
}

// mayRetry tells whether the request may be sent to another backend server.
func (a *attempt) mayRetry() bool {
	return a.sends < max(a.route.Through.Attempts, 1) && a.left() > 0
}

// finish tells how a send has ended for its backend server; only the first word on a send counts.
func (a *attempt) finish(ending core.Ending, output float64) {
	if a.held == nil {
		return
	}
	a.held.Finish(output, ending)
	a.held = nil
}

// countRefusal counts a refusal in the metrics.
func (a *attempt) countRefusal(r *refusal) {
	a.service.metrics.Front.Refusals.WithLabelValues(r.code).Inc()
	a.count(r.code)
}

func (a *attempt) refuse(r *refusal, retryAfter time.Duration) {
	a.countRefusal(r)
	switch r {
	case crowded: // which has a line for many
	case tooMany:
		a.service.noteShed()
	default:
		a.log("answered").Int("status", r.status).Str("code", r.code).Dur("retry_after_ms", retryAfter).Msg("own answer")
	}
	if r.write(a.conn, retryAfter, !a.keep) != nil {
		a.keep = false
	}
}

func (a *attempt) count(outcome string) {
	route := ""
	if a.route != nil {
		route = a.route.Name
	}
	a.service.metrics.Front.Requests.WithLabelValues(a.name, route, outcome).Inc()
}
