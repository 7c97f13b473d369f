package gateway

import (
	"errors"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/tamarindstep/tamarindstep/back"
	"github.com/tamarindstep/tamarindstep/blame"
	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/fingerprint"
	"github.com/tamarindstep/tamarindstep/internal/exchange"
	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/scheduler"
	"github.com/tamarindstep/tamarindstep/telemetry"
)

// send sends the request to the backend server of the decision. It returns false if another decision is needed.
func (a *attempt) send(d scheduler.Decision) bool {
	s := a.service
	inForce := s.generation.InForce()
	backend := inForce.Core.Backends[d.Backend]
	a.logDispatch(d, backend, inForce)
	if a.route.Through.Resumable && backend.Lineage() != d.Lineage {
		return a.handleNotSent(d) // it has started again with other software since the decision
	}
	a.bodyShared = true
	a.lineage = d.Lineage
	a.sentAt, a.answeredAt = time.Now(), time.Time{}
	req := &fasthttp.Request{}
	a.req.Header.CopyTo(&req.Header)
	req.SetBodyRaw(a.req.Body())
	s.settings.Dialect.Forward(&req.Header, Forward{
		Backend: backend.Name, Account: a.accountName, TimeLeft: a.left(), LastEvent: a.relay.lastEventID(),
		CopyFrom: inForce.AddressOf(d.CopyFrom),
	})
	run := back.Run{Address: inForce.AddressOf(d.Backend), Born: backend.Born}
	a.sentTo = run.Address
	a.version = sentVersion{pool: inForce.Core.Pools[backend.Pool].Name, name: backend.Version}
	response, err := s.back.Exchange(a.ctx, run, req, exchange.Options{
		Timeout: a.silenceLimit(), MaxBody: maxAnswerBytes, AnySize: true, AllowUndelimited: true, BodyStable: true,
		Skip:   a.isForOtherRequest,
		Wanted: func() bool { return a.isWanted() && s.notices.Accepts(d.Backend) },
	})
	if exchange.NotSent(err) {
		return a.handleNotSent(d)
	}
	a.sends++
	s.work.add(workSent)
	a.tried = append(a.tried, d.Backend)
	a.countSent(d)
	if err != nil {
		a.relay.received = exchange.Received(err)
		return a.handleFailure(d, err)
	}
	return a.receive(d, response)
}

const (
	// silenceFactor is the multiple of its objective that a request may go unanswered by a backend server before
	// another is tried, if that is allowed, and minSilence its lower bound.
	silenceFactor = 2
	minSilence    = 200 * time.Millisecond
	// deadlineMargin is how much later than the request's deadline the exchange with the backend server times out: the
	// deadline must pass first, so that it isn't taken for a truncated response.
	deadlineMargin = time.Second
)

// silenceLimit returns how long a backend server may send nothing. While another one can still answer in time, the wait
// is short, because the first one may be unreachable.
func (a *attempt) silenceLimit() time.Duration {
	left := a.left()
	through := a.route.Through
	another := a.route.Repeatable && !through.Streaming && a.sends+1 < through.Attempts
	if !another || through.Objective <= 0 {
		return left + deadlineMargin
	}
	return min(left+deadlineMargin, max(silenceFactor*through.Objective, minSilence))
}

// recheckAfter is the age from which on the caller's connection is checked before a request is sent.
const recheckAfter = 20 * time.Millisecond

// isWanted reports whether the request's deadline hasn't passed and its caller hasn't left. An overloaded router may
// find a response that allows a retry and the caller's disconnection pending at the same time, and handles them in
// random order. Without this check a router with 0.192 of a processor, whose callers' account sent six times its usual
// load, sent five requests on more than half a second after their callers had left.
func (a *attempt) isWanted() bool {
	if a.left() <= 0 {
		return false
	}
	soon := a.sends == 0 && a.service.clock.Since(a.began) < recheckAfter
	return soon || !a.conn.hasLeft()
}

// isForOtherRequest reports whether a response names another request than this one.
func (a *attempt) isForOtherRequest(h *fasthttp.ResponseHeader) bool {
	id := a.service.settings.Dialect.Response(h).ID
	return id != "" && id != a.meta.ID
}

// notRunStatuses are the statuses that tell a caller that its request wasn't run. One from a backend server is relayed
// only if its response marks the request as not run.
var notRunStatuses = map[int]bool{
	fasthttp.StatusTooManyRequests: true, fasthttp.StatusServiceUnavailable: true,
	fasthttp.StatusRequestTimeout: true, fasthttp.StatusMisdirectedRequest: true,
}

// errNotRunStatus is the error for such a status if the request may have run.
var errNotRunStatus = errors.New("status says that the request wasn't run, though it may have run")

// errNoRequestID is the error for a response that doesn't name exactly one request: it may be anything that was sent after the
// response to an earlier request on the connection, and doesn't show that this request was not run.
var errNoRequestID = errors.New("response doesn't name one request")

// errInvalidResponse is the error for a response that can't be that of one backend server.
var errInvalidResponse = errors.New("response is not that of one backend server")

// maxNotSent is the maximum number of backend servers that are tried without being able to send to them.
const maxNotSent = 3

// handleNotSent handles a request of which nothing was sent. It returns false if another backend server is tried.
func (a *attempt) handleNotSent(d scheduler.Decision) bool {
	a.finish(core.NotSent, 0)
	a.sendFailures++
	a.tried = append(a.tried, d.Backend)
	if a.ctx.Err() != nil {
		a.endExpired(tooLate)
		return true
	}
	if !a.isWanted() {
		a.keepAlive = false
		a.giveUp(tooLate)
		return true
	}
	if a.sendFailures < maxNotSent {
		return false
	}
	a.giveUp(noAttemptsLeft)
	return true
}

// receive handles the response of a backend server. It returns false if another decision is needed.
func (a *attempt) receive(d scheduler.Decision, response *exchange.Response) bool {
	defer response.Close()
	meta := a.service.settings.Dialect.Response(&response.Header)
	if meta.ID == "" {
		return a.handleFailure(d, errNoRequestID)
	}
	if meta.Invalid != nil {
		return a.handleFailure(d, errors.Join(errInvalidResponse, meta.Invalid))
	}
	a.recordNotice(d, meta)
	if meta.NotRun {
		return a.handleNotRun(d, response.StatusCode())
	}
	if notRunStatuses[response.StatusCode()] {
		return a.handleFailure(d, errNotRunStatus)
	}
	if response.StatusCode() >= fasthttp.StatusInternalServerError && a.route.Repeatable && a.mayRetry() {
		a.mayHaveRun = true
		a.log("failed").Int("status", response.StatusCode()).Int("send", a.sends).Msg("backend server failed")
		a.finish(core.Failed, 0)
		return false
	}
	before := a.relay.bytes
	err := a.relay.run(a, response)
	a.relay.received = response.Received()
	a.countBytes(telemetry.HallAnswers, a.hallOf(d.Backend), a.relay.bytes-before)
	if err == nil {
		a.finish(ending(response.StatusCode()), a.relay.outputTokens())
		a.recordAnswer(response.StatusCode())
		a.service.observe(a)
		a.relay.addTo(a.log("done")).Int("status", response.StatusCode()).Int("send", a.sends).Dur("begun_ms", a.firstPartAfter).Msg("request answered")
		a.countOutcome("done")
		return true
	}
	response.Close() // at once: the backend server may send on
	return a.handleFailure(d, err)
}

// recordAnswer records that the request got a whole answer. A failure of the backend server may have come before it ran
// the request, and shows nothing.
func (a *attempt) recordAnswer(status int) {
	if status < fasthttp.StatusInternalServerError {
		a.blame.Answered()
	}
}

// nameOf returns the name of the decision's backend server, "" if it has been removed since.
func (a *attempt) nameOf(d scheduler.Decision) string {
	return a.service.generation.InForce().Core.Backends[d.Backend].Name
}

// handleNotRun handles a response that marks the request as not run.
func (a *attempt) handleNotRun(d scheduler.Decision, status int) bool {
	a.log("rejected").Str("backend", a.nameOf(d)).Int("status", status).Int("send", a.sends).Msg("backend server didn't run the request")
	a.finish(core.Rejected, 0)
	if a.mayRetry() {
		return false
	}
	a.giveUp(noAttemptsLeft)
	return true
}

// giveUp answers a request that isn't retried any more. The refusal says that it wasn't run only if it has not run
// anywhere.
func (a *attempt) giveUp(r *refusal) {
	switch {
	case a.relay.begun:
		a.abort(a.breakCauseOf(nil))
	case a.mayHaveRun && r == routerStopped:
		a.refuse(r, 0)
	case a.mayHaveRun:
		a.refuse(backendBrokeOff, 0)
	default:
		a.refuse(r, defaultRetryAfter)
	}
}

// handleFailure handles a request that was sent and whose response failed. It returns false if the request is sent
// again.
func (a *attempt) handleFailure(d scheduler.Decision, cause error) bool {
	why := a.breakCauseOf(cause)
	if a.callerLeft() {
		a.finish(core.Broken, 0)
		a.keepAlive = false
		if a.relay.begun {
			a.countBreach(why)
		}
		a.log("caller-left").Int("send", a.sends).Msg("caller left")
		a.countOutcome("caller-left")
		return true
	}
	a.mayHaveRun = true
	a.finish(a.endingOf(cause), 0)
	ended := a.serverEnded(d, cause)
	resend := a.mayResend() && !errors.Is(cause, errCallerStopped)
	a.relay.addTo(a.conn.writes.addTo(a.log("broke-off"))).Err(cause).Str("cause", string(why)).Int("send", a.sends).Bool("begun", a.relay.begun).Bool("again", resend).
		Bool("server_ended", ended).Stringer("fingerprint", a.blame.Fingerprint()).Strs("parts", partNames(a.meta.Prompt)).Msg("answer broke off")
	if resend {
		return false
	}
	if a.relay.begun {
		a.abort(why)
		return true
	}
	if a.ctx.Err() != nil { // the deadline has passed, or the router stops
		a.refuse(a.endRefusal(tooLate), 0)
		return true
	}
	a.refuse(backendBrokeOff, 0)
	return true
}

// partNames returns the identifiers of the parts that a prompt may share with others, for log lines.
func partNames(p model.Prompt) []string {
	var out []string
	for _, part := range p.Shared() {
		out = append(out, strconv.FormatUint(part.ID, 16))
	}
	return out
}

// endingOf returns how a failed response counts for its backend server: not as a failure if the caller stopped reading,
// if this router had no memory for it, or if slow reading by the caller used up most of the time until the deadline.
func (a *attempt) endingOf(cause error) core.Ending {
	slowly := a.ctx.Err() != nil && a.conn.writes.total > time.Since(a.sentAt)/2
	if slowly || errors.Is(cause, errCallerStopped) || errors.Is(cause, errEventTooLarge) {
		return core.Broken
	}
	return core.Failed
}

// serverEnded reports whether the backend server of a failed send has ended, and if so records that against the request.
func (a *attempt) serverEnded(d scheduler.Decision, cause error) bool {
	if a.ctx.Err() != nil { // the router ended the send, and its answer must not wait for a server that hangs
		return false
	}
	for _, other := range []error{errCallerStopped, errNoRequestID, errInvalidResponse, errNotRunStatus} {
		if errors.Is(cause, other) {
			return false
		}
	}
	return a.blame.Interrupted(blame.Attempt{
		Backend: d.Backend, Address: a.sentTo, At: a.sentAt, Begun: !a.answeredAt.IsZero(),
		Pool: a.lineage.Pool, Shared: a.suspectParts(),
	})
}

// crashTime is how long after the first part of its answer a prompt may be the cause of its backend server's end: one that
// crashes a backend server does so as its answer begins. Of the streams that a server carries when it ends, nearly all
// have lasted longer, and needn't be told of.
const crashTime = 2 * time.Second

// suspectParts returns the parts of the prompt that may be the cause of an end of the backend server.
func (a *attempt) suspectParts() []model.Part {
	if !a.answeredAt.IsZero() && time.Since(a.answeredAt) > crashTime {
		return nil
	}
	return a.meta.Prompt.Shared()
}

// fingerprintInput returns the parts of the request that stay the same when it is repeated.
func (a *attempt) fingerprintInput() fingerprint.Request {
	return fingerprint.Request{
		Account: a.accountName, Host: a.req.Header.Host(), Method: a.req.Header.Method(),
		Path: a.req.Header.RequestURI(), Body: a.req.Body(),
	}
}
