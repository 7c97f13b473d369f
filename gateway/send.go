package gateway

import (
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/tamarindstep/tamarindstep/back"
	"github.com/tamarindstep/tamarindstep/blame"
	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/fingerprint"
	"github.com/tamarindstep/tamarindstep/internal/exchange"
	"github.com/tamarindstep/tamarindstep/scheduler"
	"github.com/tamarindstep/tamarindstep/telemetry"
)

// send sends the request to the backend server decided on. It returns false
// where another decision is needed.
func (a *attempt) send(d scheduler.Decision) bool {
	s := a.service
	inForce := s.generation.InForce()
	backend := inForce.Core.Backends[d.Backend]
	a.logDispatch(d, backend.Name, inForce)
	a.lent = true
	a.sentAt = time.Now()
	req := &fasthttp.Request{}
	a.req.Header.CopyTo(&req.Header)
	req.SetBodyRaw(a.req.Body())
	s.settings.Dialect.Forward(&req.Header, Forward{
		Backend: backend.Name, Account: a.name, TimeLeft: a.left(), LastEvent: a.relay.resumeAt(),
		CopyFrom: inForce.AddressOf(d.CopyFrom),
	})
	run := back.Run{Address: inForce.AddressOf(d.Backend), Born: backend.Born}
	answer, err := s.back.Exchange(a.ctx, run, req, exchange.Options{
		Patient: a.patience(), Undelimited: true, Stable: true,
		Skip:   a.isSurplus,
		Wanted: func() bool { return a.isWanted() && s.notices.Takes(d.Backend) },
	})
	if exchange.NotSent(err) {
		return a.unreached(d)
	}
	a.sends++
	s.work.did(workSent)
	a.tried = append(a.tried, d.Backend)
	a.countSent(d)
	if err != nil {
		return a.failed(d, err)
	}
	return a.take(d, answer)
}

const (
	// silentFor is how many times its objective a request may go unanswered by a
	// backend server before another is asked, where that is allowed, and
	// minPatience the least of it.
	silentFor   = 2
	minPatience = 200 * time.Millisecond
	// afterDeadline is how much later than the request's own time the connection
	// to the backend server runs out: the request's time must end first, so that
	// its end isn't taken for an answer that broke off.
	afterDeadline = time.Second
)

// patience returns how long a backend server may be silent. One that may have
// fallen dark isn't waited for while another can still answer in time.
func (a *attempt) patience() time.Duration {
	left := a.left()
	through := a.route.Through
	another := a.route.Repeatable && !through.Streaming && a.sends+1 < through.Attempts
	if !another || through.Objective <= 0 {
		return left + afterDeadline
	}
	return min(left+afterDeadline, max(silentFor*through.Objective, minPatience))
}

// promptly is how soon after its arrival a request is sent without another look at its caller.
const promptly = 20 * time.Millisecond

// isWanted tells whether the request's time isn't over and its caller hasn't left. A router that comes late
// finds an answer that lets it send a request again beside the news that its caller has left, and which of
// the two it takes up first is chance: one that had 0.192 of a processor and the callers of an account that asks
// six times its usual sent five requests on over half a second after that.
func (a *attempt) isWanted() bool {
	if a.left() <= 0 {
		return false
	}
	soon := a.sends == 0 && a.service.clock.Since(a.began) < promptly
	return soon || !a.conn.hasLeft()
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
	if !a.isWanted() {
		a.keep = false
		a.giveUp(tooLate)
		return true
	}
	if a.misses < maxUnreached {
		return false
	}
	a.giveUp(noAttempts)
	return true
}

// take takes a backend server's answer.
func (a *attempt) take(d scheduler.Decision, answer *exchange.Answer) bool {
	defer answer.Close()
	meta := a.service.settings.Dialect.Answer(&answer.Header)
	if meta.ID == "" && answer.StatusCode() < fasthttp.StatusBadRequest {
		return a.failed(d, errNameless)
	}
	a.hear(d, meta)
	if meta.NotRun {
		return a.notRun(d, answer.StatusCode())
	}
	if promises[answer.StatusCode()] {
		return a.failed(d, errFalsePromise)
	}
	if answer.StatusCode() >= fasthttp.StatusInternalServerError && a.route.Repeatable && a.mayRetry() {
		a.ran = true
		a.log("failed").Int("status", answer.StatusCode()).Int("send", a.sends).Msg("backend server failed")
		a.finish(core.Failed, 0)
		return false
	}
	before := a.relay.bytes
	err := a.relay.run(a, answer)
	a.countBytes(telemetry.HallAnswers, a.hallOf(d.Backend), a.relay.bytes-before)
	if err == nil {
		a.finish(core.Done, a.relay.output())
		a.blame.Answered()
		a.log("done").Int("status", answer.StatusCode()).Int("send", a.sends).Dur("begun_ms", a.begunAfter).Msg("request answered")
		a.count("done")
		return true
	}
	return a.failed(d, err)
}

// nameOf returns the name of the backend server that was decided on, "" for one that is gone since.
func (a *attempt) nameOf(d scheduler.Decision) string {
	return a.service.generation.InForce().Core.Backends[d.Backend].Name
}

// notRun handles an answer that says that the request wasn't run.
func (a *attempt) notRun(d scheduler.Decision, status int) bool {
	a.log("rejected").Str("backend", a.nameOf(d)).Int("status", status).Int("send", a.sends).Msg("backend server didn't run the request")
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
		a.breakOff(a.breachOf(nil))
	case a.ran:
		a.refuse(brokeOff, 0)
	default:
		a.refuse(r, startRetryAfter)
	}
}

// failed handles a request that was sent and whose answer broke off. It returns
// false where it is sent again.
func (a *attempt) failed(d scheduler.Decision, cause error) bool {
	why := a.breachOf(cause)
	if a.callerLeft() {
		a.finish(core.Broken, 0)
		a.keep = false
		if a.relay.begun {
			a.countBreach(why)
		}
		a.log("caller-left").Int("send", a.sends).Msg("caller left")
		a.count("caller-left")
		return true
	}
	a.ran = true
	a.finish(a.endingOf(cause), 0)
	ended := a.serverEnded(d, cause)
	again := a.route.Repeatable && a.ctx.Err() == nil && !errors.Is(cause, errCaller) && a.relay.mayContinue() && a.mayRetry()
	a.conn.writes.note(a.log("broke-off")).Err(cause).Str("cause", string(why)).Int("send", a.sends).Bool("begun", a.relay.begun).Bool("again", again).Int("answer_bytes", a.relay.bytes).
		Bool("server_ended", ended).Stringer("fingerprint", a.blame.Fingerprint()).Msg("answer broke off")
	if again {
		return false
	}
	if a.relay.begun {
		a.breakOff(why)
		return true
	}
	if a.ctx.Err() != nil { // its time is over
		a.refuse(timedOut, 0)
		return true
	}
	a.refuse(brokeOff, 0)
	return true
}

// endingOf returns how an answer that broke off counts for its backend server: not against it where the caller took no more,
// or took most of the time by its reading until there was none left.
func (a *attempt) endingOf(cause error) core.Ending {
	slowly := a.ctx.Err() != nil && a.conn.writes.spent > time.Since(a.sentAt)/2
	if slowly || errors.Is(cause, errCaller) {
		return core.Broken
	}
	return core.Failed
}

// serverEnded tells whether the backend server of a send whose answer broke off has ended, which is
// held against the request then.
func (a *attempt) serverEnded(d scheduler.Decision, cause error) bool {
	if errors.Is(cause, errCaller) || errors.Is(cause, errNameless) || errors.Is(cause, errFalsePromise) {
		return false
	}
	return a.blame.BrokeOff(blame.Send{
		Backend: d.Backend, Address: a.service.generation.InForce().AddressOf(d.Backend),
		At: a.sentAt, Begun: a.relay.begun,
	})
}

// unchanging returns what stays the same of the request when it comes again.
func (a *attempt) unchanging() fingerprint.Request {
	return fingerprint.Request{
		Account: a.name, Host: a.req.Header.Host(), Method: a.req.Header.Method(),
		Path: a.req.Header.RequestURI(), Body: a.req.Body(),
	}
}
