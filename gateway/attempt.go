package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/tamarindstep/tamarindstep/blame"
	"github.com/tamarindstep/tamarindstep/config"
	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/core/admission"
	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/scheduler"
	"github.com/tamarindstep/tamarindstep/telemetry"
)

const (
	// defaultTimeout is the time limit of a request if neither the route nor the caller sets one.
	defaultTimeout = 60 * time.Second
	// defaultRetryAfter is the Retry-After of a router that has no configuration yet or is draining.
	defaultRetryAfter = 300 * time.Millisecond
)

// attempt is one request of a caller.
type attempt struct {
	service     *Service
	conn        *callerConn
	req         *fasthttp.Request
	meta        RequestMeta
	route       *config.CompiledRoute
	account     model.AccountID
	accountName string

	refused             *refusal          // set if the request is refused by its header
	shed                bool              // the refusal is due to overload
	ticket              *admission.Ticket // its admission until it is scheduled
	carried             *admission.Ticket // its admission until it has ended
	began               time.Duration     // by the clock that includes suspended time, as is the deadline
	deadline            time.Duration
	ctx                 context.Context // done when the caller has left or the deadline has passed
	expiredInSuspension atomic.Bool     // its deadline passed while the VM was suspended
	cut                 atomic.Bool     // it was in flight at the end of the time for a stop
	scheduled           *scheduler.Request
	sentAt              time.Time     // of the last send
	answeredAt          time.Time     // when the first part of its answer was received, zero for none yet
	firstPartAfter      time.Duration // until the first part of a stream was received, 0 for none yet
	sentTo              string        // address of the backend server of the last send
	version             sentVersion   // of the last send
	sends               int
	lineage             model.Lineage // of the last send
	bodyShared          bool          // an exchange may still read the request's body
	mayHaveRun          bool          // it may have run on a backend server
	sendFailures        int           // backend servers that nothing could be sent to
	tried               []model.BackendID
	relay               relay
	reserved            reservation
	blame               *blame.Request
	keepAlive           bool // the connection may carry another request
}

// admit determines the route and account from the header alone and whether the request is refused.
func (a *attempt) admit() {
	s := a.service
	a.began = s.clock.Now()
	a.keepAlive = !a.req.Header.ConnectionClose() && !s.draining.Load() && !s.connectionsScarce()
	a.ticket, a.conn.admitted = a.conn.admitted, nil
	a.carried = a.ticket
	if s.overloaded() {
		a.keepAlive = false // the next request is rejected unread or goes to another router
		a.refused, a.shed = tooManyRequests, true
		return
	}
	a.refused = a.resolve()
	if a.refused == nil && a.ticket == nil {
		a.requestAdmission()
	}
}

// release releases the memory and tickets of the request, and recycles it unless an exchange may still use its body.
func (a *attempt) release() {
	a.releaseTickets()
	a.releaseMemory()
	if !a.bodyShared {
		fasthttp.ReleaseRequest(a.req)
	}
}

// handle serves a request that has been read and reports whether the connection may carry another.
func (a *attempt) handle() bool {
	if a.refused != nil {
		a.refuse(a.refused, defaultRetryAfter)
		return a.keepAlive
	}
	if a.conn.hasLeft() {
		a.log("caller-left").Msg("caller left before its request was read")
		a.countOutcome("caller-left")
		return false
	}
	a.blame = a.service.tracker.Track(a.account, a.fingerprintInput)
	ctx, left := context.WithTimeout(context.Background(), a.left())
	defer left()
	a.ctx = ctx
	a.service.inFlight.add(a, left)
	defer a.service.inFlight.remove(a)
	gone := make(chan struct{})
	stop := a.conn.watch(func() { close(gone); left() })
	a.serve()
	stop()
	select {
	case <-gone:
		return false
	default:
		return a.keepAlive
	}
}

// resolve determines the route, the account and the deadline.
func (a *attempt) resolve() *refusal {
	s := a.service
	meta, err := s.settings.Dialect.Request(&a.req.Header)
	if err != nil {
		a.keepAlive = false
		return malformed
	}
	a.meta = meta
	inForce := s.generation.InForce()
	switch {
	case inForce == nil || !s.generation.Ready():
		return noConfig
	case s.stop.refusing.Load():
		return stopping
	}
	path := a.req.Header.RequestURI()
	a.route = inForce.HostRoute(string(a.req.Header.Host()), pathOf(path))
	if a.route == nil {
		return a.confirmRefusal(unknownRoute)
	}
	if !a.route.Through.Public {
		var known bool
		if a.account, known = inForce.AccountOf(meta.Key); !known {
			return a.confirmRefusal(unknownKey)
		}
		a.accountName = inForce.Core.Accounts[a.account].Name
	}
	a.setDeadline()
	return nil
}

// maxStoreSilence is how long the configuration counts as current after any router last reached the store, according to
// the reports received. A configuration change must be in force within two seconds, of which half a second is spent on
// the store's watch and on gossip.
const maxStoreSilence = 1500 * time.Millisecond

// confirmRefusal returns the refusal of a request that the configuration doesn't allow. A router that has
// received no recent report of a contact with the store may have an outdated configuration: it returns a retryable
// refusal, so that the caller tries again, possibly at another router. A small overloaded router otherwise answered 404
// for three seconds after a route was in force on all others, because neither gossip datagrams nor store calls got
// through.
func (a *attempt) confirmRefusal(r *refusal) *refusal {
	if a.service.scheduler.SinceStoreReached() > maxStoreSilence {
		a.keepAlive = false // the next request may reach another router
		return configUnconfirmed
	}
	return r
}

// pathOf returns the path of a request target.
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

// serve schedules and sends the request until it is answered.
func (a *attempt) serve() {
	for {
		d, ok := a.decide()
		if !ok {
			return
		}
		if a.stopRefuses() {
			a.finish(core.NotSent, 0)
			a.giveUp(stopping)
			return
		}
		if a.send(d) {
			return
		}
	}
}

// decide submits the request if necessary and waits for the scheduler's decision. ok is false if the request has ended
// without being dispatched.
func (a *attempt) decide() (scheduler.Decision, bool) {
	if a.scheduled == nil {
		arrive := core.Arrive{
			Account: a.account,
			Pool:    a.route.PoolFor(rand.Float64()),
			Class:   a.route.Class,
			Input:   float64(a.meta.Prompt.Tokens),
			Wait:    a.left(),

			Route:     model.NameHash(a.route.Name),
			Prompt:    a.meta.Prompt,
			Objective: a.route.Through.Objective,
			Priority:  a.route.Through.Priority,
			Exclude:   a.tried,
			Retry:     a.sends > 0,

			Fingerprint: a.blame.Suspect(),
		}
		a.describeStream(&arrive)
		a.scheduled = a.service.scheduler.Submit(arrive)
	}
	select {
	case d := <-a.scheduled.Decisions:
		a.recordDecision(d)
		if d.Dispatched {
			return d, true
		}
		a.handleRefusal(d)
	case <-a.ctx.Done():
		a.scheduled.Withdraw()
		a.scheduled.Finish(0, core.Cancelled)
		a.endExpired(tooLate)
	}
	return scheduler.Decision{}, false
}

// describeStream adds the stream that a request begins or resumes. What the caller has received of it, here or before,
// can only be followed by what the same software writes.
func (a *attempt) describeStream(arrive *core.Arrive) {
	if !a.route.Through.Resumable {
		return
	}
	arrive.Stream = model.Stream(a.accountName, a.meta.ID)
	arrive.Pools = a.route.Pools()
	arrive.Continues = a.meta.LastEvent != ""
	if a.meta.Resumes != "" {
		arrive.Resumes = model.Stream(a.accountName, a.meta.Resumes)
	}
	arrive.Bound = a.relay.begun || arrive.Continues && a.sends > 0
	arrive.Lineage = a.lineage
	if arrive.Bound {
		arrive.Pool = a.lineage.Pool
	}
}

// handleRefusal answers a request that the core refuses: as not admitted if it has never run, otherwise with the
// outcome of its last send.
func (a *attempt) handleRefusal(d scheduler.Decision) {
	best := a.service.generation.InForce().Core.Backends[d.Basis.Backend] // the zero value for none
	logBasis(a.logResumed(a.log("refused"), d), d.Basis).Str("reason", string(d.Refusal)).Str("backend", best.Name).
		Dur("waited_ms", d.Waited).Dur("retry_after_ms", d.RetryAfter).Int("sends", a.sends).
		Msg("request refused")
	why, special := refusalsByReason[d.Refusal]
	if !special {
		why = notAdmitted
	}
	if a.mayHaveRun || a.relay.begun {
		a.giveUp(why)
		return
	}
	a.refuse(why, d.RetryAfter)
}

// abort ends a response so that the caller sees that it is truncated.
func (a *attempt) abort(why telemetry.BreakCause) {
	a.keepAlive = false
	a.countBreach(why)
	a.conn.Abort()
	a.countOutcome("broken")
}

// endExpired ends a request of which nothing is being sent, after its deadline has passed or its caller has left.
func (a *attempt) endExpired(r *refusal) {
	if a.callerLeft() {
		a.keepAlive = false
		a.countOutcome("caller-left")
		return
	}
	a.giveUp(a.endRefusal(r))
}

// endRefusal returns the refusal of a request whose time is over, given that of one that was never sent.
func (a *attempt) endRefusal(unsent *refusal) *refusal {
	switch {
	case a.cut.Load() && a.mayHaveRun:
		return routerStopped
	case a.cut.Load():
		return stopping
	case a.mayHaveRun:
		return timedOut
	default:
		return unsent
	}
}

// left returns the time until the deadline.
func (a *attempt) left() time.Duration { return a.service.clock.Until(a.deadline) }

// callerLeft reports whether the request ended because its caller left, and not because its deadline passed.
func (a *attempt) callerLeft() bool {
	return errors.Is(a.ctx.Err(), context.Canceled) && !a.expiredInSuspension.Load() && !a.cut.Load()
}

// mayRetry reports whether the request may be sent to another backend server.
func (a *attempt) mayRetry() bool {
	return a.sends < max(a.route.Through.Attempts, 1) && a.left() > 0
}

// mayResend reports whether another backend server may be asked for the answer, or for the rest of it.
func (a *attempt) mayResend() bool {
	return a.route.Repeatable && a.ctx.Err() == nil && a.relay.canResume() && a.mayRetry()
}

// finish reports how a send has ended to the scheduler; only the first report of a send counts.
func (a *attempt) finish(ending core.Ending, output float64) {
	if a.scheduled == nil {
		return
	}
	a.countVersion(ending)
	a.scheduled.Finish(output, ending)
	a.scheduled = nil
}

// countRefusal counts a refusal in the metrics.
func (a *attempt) countRefusal(r *refusal) {
	a.service.metrics.Front.Refusals.WithLabelValues(r.code).Inc()
	a.countOutcome(r.code)
}

func (a *attempt) refuse(r *refusal, retryAfter time.Duration) {
	a.countRefusal(r)
	switch r {
	case queueFull: // logged in aggregate
	case tooManyRequests:
		a.service.logShed()
	default:
		a.log("answered").Int("status", r.status).Str("code", r.code).Dur("retry_after_ms", retryAfter).Msg("own answer")
	}
	if r.write(a.conn, retryAfter, !a.keepAlive) != nil {
		a.keepAlive = false
	}
}

func (a *attempt) countOutcome(outcome string) {
	route := ""
	if a.route != nil {
		route = a.route.Name
	}
	a.service.metrics.Front.Requests.WithLabelValues(a.accountName, route, outcome).Inc()
}
