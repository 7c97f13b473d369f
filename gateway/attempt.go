package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/tamarindstep/tamarindstep/config"
	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/internal/exchange"
	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/scheduler"
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

	began    time.Time
	deadline time.Time
	ctx      context.Context // ends when the caller has left
	held     *scheduler.Request
	sends    int
	ran      bool // it may have run somewhere
	misses   int  // backend servers that couldn't be reached
	tried    []model.BackendID
	relay    relay
	keep     bool // the connection may carry another request
}

// handle serves a request that was read, and tells whether the connection may
// carry another.
func (s *Service) handle(c *callerConn, req *fasthttp.Request) bool {
	a := &attempt{service: s, conn: c, req: req, began: time.Now()}
	a.keep = !req.Header.ConnectionClose() && !s.draining.Load()
	if s.open.Load() > int64(s.settings.MaxRequests) || s.scheduler.Behind() {
		a.refuse(tooMany, startRetryAfter)
		return a.keep
	}
	if refused := a.understand(); refused != nil {
		a.refuse(refused, startRetryAfter)
		return a.keep
	}
	ctx, left := context.WithDeadline(context.Background(), a.deadline)
	defer left()
	a.ctx = ctx
	gone := make(chan struct{})
	stop := c.watch(func() { close(gone); left() })
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
		return unknownRoute
	}
	if !a.route.Through.Public {
		var known bool
		if a.account, known = inForce.AccountOf(meta.Key); !known {
			return unknownKey
		}
		a.name = inForce.Core.Accounts[a.account].Name
	}
	a.setDeadline()
	return nil
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
	a.deadline = a.began.Add(limit)
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
			Wait:    time.Until(a.deadline),

			Route:     model.HashName(a.route.Name),
			Prompt:    a.meta.Prompt,
			Objective: a.route.Through.Objective,
			Priority:  a.route.Through.Priority,
			Except:    a.tried,
			Repeat:    a.sends > 0,
		})
	}
	select {
	case d := <-a.held.Decisions:
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
	a.log("refused").Str("reason", string(d.Refusal)).Dur("waited_ms", d.Waited).Dur("delay_ms", d.Delay).
		Dur("retry_after_ms", d.RetryAfter).Int("sends", a.sends).Msg("request refused")
	if a.ran || a.relay.begun {
		a.giveUp(notAdmitted)
		return
	}
	a.refuse(notAdmitted, d.RetryAfter)
}

// breakOff ends an answer so that its caller sees that it isn't whole.
func (a *attempt) breakOff() {
	a.keep = false
	a.conn.abort()
	a.count("broken")
}

// log returns a log line on the request.
func (a *attempt) log(outcome string) *zerolog.Event {
	route := ""
	if a.route != nil {
		route = a.route.Name
	}
	return a.service.log.Info().Str("request", a.meta.ID).Str("outcome", outcome).
		Str("account", a.name).Str("route", route).Dur("age_ms", time.Since(a.began))
}

// logDispatch notes a decision with what it rests on.
func (a *attempt) logDispatch(d scheduler.Decision, backend string, inForce *config.InForce) {
	a.log("dispatched").Str("backend", backend).Int("send", a.sends+1).Dur("waited_ms", d.Waited).
		Dur("delay_ms", d.Delay).Int("unread", d.Unread).Int("backlog", d.Backlog).Bool("over_share", d.Over).Int("copied", d.Copied).
		Dur("loads_age_ms", d.Age).Uint64("generation", inForce.Generation).Uint64("catalog", inForce.Catalog).
		Msg("request dispatched")
}

// end answers a request of which nothing was sent, once its time is over or its
// caller has left.
func (a *attempt) end(r *refusal) {
	if !errors.Is(a.ctx.Err(), context.DeadlineExceeded) {
		a.keep = false
		a.count("caller-left")
		return
	}
	if a.ran {
		r = timedOut
	}
	a.giveUp(r)
}

// send sends the request to the backend server decided on. It returns false
// where another decision is needed.
func (a *attempt) send(d scheduler.Decision) bool {
	s := a.service
	inForce := s.generation.InForce()
	backend := inForce.Core.Backends[d.Backend]
	a.logDispatch(d, backend.Name, inForce)
	req := &fasthttp.Request{}
	a.req.Header.CopyTo(&req.Header)
	req.SetBodyRaw(a.req.Body())
	s.settings.Dialect.Forward(&req.Header, Forward{
		Backend: backend.Name, Account: a.name, TimeLeft: time.Until(a.deadline), LastEvent: a.relay.resumeAt(),
		CopyFrom: inForce.AddressOf(d.CopyFrom),
	})
	answer, err := s.back.Exchange(a.ctx, inForce.AddressOf(d.Backend), req, exchange.Options{
		Patient: a.patience(), Undelimited: true, Stable: true,
		Skip: a.isSurplus,
	})
	if exchange.NotSent(err) {
		return a.unreached(d)
	}
	a.sends++
	a.tried = append(a.tried, d.Backend)
	if err != nil {
		return a.failed(err)
	}
	return a.take(answer)
}

const (
	// silentFor is how many times its objective a request may go unanswered by a
	// backend server before another is asked, where that is allowed, and
	// minPatience the least of it.
	silentFor   = 2
	minPatience = 200 * time.Millisecond
)

// patience returns how long a backend server may be silent. One that may have
// fallen dark isn't waited for while another can still answer in time.
func (a *attempt) patience() time.Duration {
	left := time.Until(a.deadline)
	through := a.route.Through
	another := a.route.Repeatable && !through.Streaming && a.sends+1 < through.Attempts
	if !another || through.Objective <= 0 {
		return left
	}
	return min(left, max(silentFor*through.Objective, minPatience))
}

// isSurplus tells whether an answer names another request than this one.
func (a *attempt) isSurplus(h *fasthttp.ResponseHeader) bool {
	id := a.service.settings.Dialect.Answer(h).ID
	return id != "" && id != a.meta.ID
}

// promises are the statuses that tell a caller that its request wasn't run. A
// backend server's is handed on only where it has said so in its own way.
var promises = map[int]bool{
	fasthttp.StatusTooManyRequests: true, fasthttp.StatusServiceUnavailable: true,
	fasthttp.StatusRequestTimeout: true, fasthttp.StatusMisdirectedRequest: true,
}

// errFalsePromise is the error for such a status where the request may have run.
var errFalsePromise = errors.New("the status would say that the request wasn't run")

// errNameless is the error for a success that doesn't say whose it is.
var errNameless = errors.New("the answer names no request")

// maxUnreached is how many backend servers that can't be reached are tried.
const maxUnreached = 3

// unreached handles a request of which nothing was sent. It returns false where
// another backend server is tried.
func (a *attempt) unreached(d scheduler.Decision) bool {
	a.finish(core.NotSent, 0)
	a.misses++
	a.tried = append(a.tried, d.Backend)
	if a.ctx.Err() != nil {
		a.end(tooLate)
		return true
	}
	if a.misses < maxUnreached {
		return false
	}
	a.giveUp(noAttempts)
	return true
}

// take takes a backend server's answer.
func (a *attempt) take(answer *exchange.Answer) bool {
	defer answer.Close()
	meta := a.service.settings.Dialect.Answer(&answer.Header)
	if meta.ID == "" && answer.StatusCode() < fasthttp.StatusBadRequest {
		return a.failed(errNameless)
	}
	if meta.NotRun {
		return a.notRun()
	}
	if promises[answer.StatusCode()] {
		return a.failed(errFalsePromise)
	}
	if answer.StatusCode() >= fasthttp.StatusInternalServerError && a.route.Repeatable && a.mayRetry() {
		a.ran = true
		a.log("failed").Int("status", answer.StatusCode()).Int("send", a.sends).Msg("backend server failed")
		a.finish(core.Failed, 0)
		return false
	}
	err := a.relay.run(a, answer)
	if err == nil {
		a.finish(core.Done, a.relay.output())
		a.log("done").Int("status", answer.StatusCode()).Int("send", a.sends).Msg("request answered")
		a.count("done")
		return true
	}
	return a.failed(err)
}

// notRun handles an answer that says that the request wasn't run.
func (a *attempt) notRun() bool {
	a.log("rejected").Int("send", a.sends).Msg("backend server didn't run the request")
	a.finish(core.Rejected, 0)
	if a.mayRetry() {
		return false
	}
	a.giveUp(noAttempts)
	return true
}

// giveUp answers a request that isn't tried any more: with a refusal that says it
// wasn't run only where it has not run anywhere.
func (a *attempt) giveUp(r *refusal) {
	switch {
	case a.relay.begun:
		a.breakOff()
	case a.ran:
		a.refuse(brokeOff, 0)
	default:
		a.refuse(r, startRetryAfter)
	}
}

// failed handles a request that was sent and whose answer broke off. It returns
// false where it is sent again.
func (a *attempt) failed(cause error) bool {
	if errors.Is(a.ctx.Err(), context.Canceled) {
		a.finish(core.Broken, 0)
		a.keep = false
		a.log("caller-left").Int("send", a.sends).Msg("caller left")
		a.count("caller-left")
		return true
	}
	a.ran = true
	a.finish(core.Failed, 0)
	a.log("broke-off").Err(cause).Int("send", a.sends).Bool("begun", a.relay.begun).Msg("answer broke off")
	if a.route.Repeatable && a.ctx.Err() == nil && !errors.Is(cause, errCaller) && a.relay.mayContinue() && a.mayRetry() {
		return false
	}
	if a.relay.begun {
		a.breakOff()
		return true
	}
	if a.ctx.Err() != nil {
		a.refuse(timedOut, 0)
		return true
	}
	a.refuse(brokeOff, 0)
	return true
}

// mayRetry tells whether the request may be sent to another backend server.
func (a *attempt) mayRetry() bool {
	return a.sends < max(a.route.Through.Attempts, 1) && time.Until(a.deadline) > 0
}

func (a *attempt) finish(ending core.Ending, output float64) {
	a.held.Finish(output, ending)
	a.held = nil
}

func (a *attempt) refuse(r *refusal, retryAfter time.Duration) {
	a.service.metrics.Front.Refusals.WithLabelValues(r.code).Inc()
	a.count(r.code)
	a.log("answered").Int("status", r.status).Str("code", r.code).Dur("retry_after_ms", retryAfter).Msg("own answer")
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
