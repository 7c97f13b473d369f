package front

import (
	"context"
	"io"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"github.com/tamarindstep/tamarindstep/blame"
	"github.com/tamarindstep/tamarindstep/claim"
	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/fingerprint"
	"github.com/tamarindstep/tamarindstep/internal/exchange"
	"github.com/tamarindstep/tamarindstep/internal/socket"
	"github.com/tamarindstep/tamarindstep/internal/stall"
	"github.com/tamarindstep/tamarindstep/scheduler"
	"github.com/tamarindstep/tamarindstep/telemetry"
)

const (
	// maxSends is the maximum number of sends of a repeatable request.
	maxSends = 3
	// callerCheckInterval is the interval at which the caller's connection is checked while a request waits.
	callerCheckInterval = 500 * time.Millisecond
	// maxBuffer is the size up to which a response that isn't streamed is buffered whole, in bytes.
	maxBuffer   = 1 << 20
	firstBuffer = 4096
)

// attempt is one request being served.
type attempt struct {
	service     *Service
	ctx         *fasthttp.RequestCtx
	call        *call
	trace       context.Context
	span        trace.Span
	began       time.Time
	scheduled   *scheduler.Request
	claimResult chan claim.Result // contains the result once the claim has been answered; nil without a key
	streaming   bool              // the response is relayed after the handler has returned
	holder      claim.Holder
	sends       int
	sentAt      time.Time // time of the last send
	lastSend    blame.Attempt
	blame       *blame.Request
}

// serve schedules the request, claims its key, sends it, and relays the response.
func (s *Service) serve(ctx *fasthttp.RequestCtx, c *call) {
	a := &attempt{service: s, ctx: ctx, call: c, began: time.Now(), holder: claim.NewHolder()}
	a.blame = s.tracker.Track(c.account, a.fingerprintInput())
	a.trace, a.span = s.traces.StartSpan(s.traces.Extract(context.Background(), &ctx.Request.Header), "request", trace.SpanKindServer)
	a.span.SetAttributes(attribute.String("account", c.accountName), attribute.String("route", c.route.Name))
	ctx.Response.Header.Set(requestIDHeader, c.id)
	a.submit()
	a.startClaim()
	for {
		d, left := a.wait()
		if left {
			a.end("caller-left")
			return
		}
		if !d.Dispatched {
			a.refuseUndispatched(d)
			return
		}
		if a.claim() && a.send(d) {
			return
		}
		if a.scheduled == nil {
			return
		}
	}
}

// refuseUndispatched refuses a request that won't be dispatched. If an earlier send failed, the request may have been
// run.
func (a *attempt) refuseUndispatched(d scheduler.Decision) {
	if a.sends > 0 {
		a.refuse(BackendBroke, "and then "+string(d.Refusal), d.RetryAfter)
		return
	}
	a.releaseClaim()
	a.refuse(refusalFor(d.Refusal), "", d.RetryAfter)
}

func (a *attempt) submit() {
	a.scheduled = a.service.scheduler.Submit(core.Arrive{
		Account: a.call.account, Pool: a.call.route.Pool, Class: a.call.class,
		Input: a.call.input, Wait: a.call.wait - time.Since(a.began), Fingerprint: a.blame.Suspect(),
	})
}

// wait waits for the scheduler's decision. It reports true if the caller left first.
func (a *attempt) wait() (scheduler.Decision, bool) {
	_, span := a.service.traces.StartSpan(a.trace, "wait", trace.SpanKindInternal)
	defer span.End()
	ticker := time.NewTicker(callerCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case d := <-a.scheduled.Decisions:
			return d, false
		case <-ticker.C:
			if socket.StateOf(a.ctx.Conn()) != socket.Closed {
				continue
			}
			a.scheduled.Withdraw()
			a.scheduled.Finish(0, core.Cancelled)
			a.releaseClaim()
			a.ctx.SetConnectionClose()
			return scheduler.Decision{}, true
		}
	}
}

// startClaim starts to claim the request's key, if any, while the request waits, so that no slot is occupied during the
// claim.
func (a *attempt) startClaim() {
	if a.call.key == "" {
		return
	}
	a.claimResult = make(chan claim.Result, 1)
	key := claim.KeyOf(a.call.account, a.call.key)
	go func() {
		_, span := a.service.traces.StartSpan(a.trace, "claim", trace.SpanKindInternal)
		result := a.service.claims.Claim(context.WithoutCancel(a.trace), key, a.holder)
		span.SetAttributes(attribute.Stringer("result", result))
		span.End()
		a.claimResult <- result
	}()
}

// claim waits until the request's key is claimed, before anything is sent. It returns false if the request was refused
// because of the claim.
func (a *attempt) claim() bool {
	if a.claimResult == nil {
		return true
	}
	result := <-a.claimResult
	a.claimResult <- result
	switch {
	case result == claim.Held:
		return true
	case result == claim.Unavailable && a.call.route.BestEffort:
		return true
	}
	a.scheduled.Finish(0, core.Cancelled)
	a.scheduled = nil
	if result == claim.Taken {
		a.refuse(AlreadyClaimed, "", 0)
		return false
	}
	a.releaseClaim()
	a.refuse(ClaimUnavailable, "", 0)
	return false
}

// releaseClaim releases the key after nothing was sent, once the result of the claim is known.
func (a *attempt) releaseClaim() {
	if a.claimResult == nil || a.sends > 0 {
		return
	}
	key := claim.KeyOf(a.call.account, a.call.key)
	result, holder, service := a.claimResult, a.holder, a.service.claims
	go func() {
		if <-result != claim.Taken {
			service.Release(key, holder)
		}
	}()
}

// send sends the request to the backend server of the decision. It returns false if the request waits again.
func (a *attempt) send(d scheduler.Decision) bool {
	s := a.service
	c := s.generation.InForce()
	backend := c.Core.Backends[d.Backend]
	policy := c.Core.Policy.Name
	s.metrics.Front.Wait.WithLabelValues(a.call.accountName, a.call.class.String(), policy).Observe(d.Waited.Seconds())
	ctx, span := s.traces.StartSpan(a.trace, "backend", trace.SpanKindClient)
	span.SetAttributes(attribute.String("backend", backend.Name))
	defer span.End()
	engine := c.Core.Pools[a.call.route.Pool].FollowLoad
	req, err := a.call.backendRequest(a.ctx, engine)
	if err != nil {
		a.scheduled.Finish(0, core.Cancelled)
		a.releaseClaim()
		a.refuse(MalformedBody, err.Error(), 0)
		return true
	}
	defer fasthttp.ReleaseRequest(req)
	s.traces.Inject(ctx, &req.Header)
	stop := func() {}
	if engine && !a.call.stream {
		stop = s.rates.report(a.scheduled.Progress)
	}
	a.sentAt = time.Now()
	a.lastSend = blame.Attempt{Backend: d.Backend, Address: c.AddressOf(d.Backend), At: a.sentAt}
	accepts := func() bool { return s.notices.Accepts(d.Backend) }
	response, err := s.back.Send(s.sends, c.AddressOf(d.Backend), req, accepts)
	stop()
	if exchange.NotSent(err) {
		span.SetStatus(codes.Error, err.Error())
		a.scheduled.Retry()
		return false
	}
	a.sends++
	s.metrics.Scheduler.Dispatched.WithLabelValues(a.call.accountName, backend.Name, policy).Inc()
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
		return a.handleFailure(err)
	}
	a.recordRetryAfter(d, response)
	return a.relay(response)
}

// handleFailure handles a response that failed before any of it was relayed to the caller. It returns false if the
// request waits again.
func (a *attempt) handleFailure(cause error) bool {
	a.scheduled.Finish(0, core.Broken)
	a.blame.Interrupted(a.lastSend)
	if a.call.repeatable() && a.sends < maxSends && a.service.sends.Err() == nil {
		a.submit()
		return false
	}
	a.refuse(BackendBroke, cause.Error(), 0)
	return true
}

// relay relays the response to the caller. It returns false if the request waits again because the response failed
// before any of it was relayed.
func (a *attempt) relay(response *exchange.Response) bool {
	events := strings.HasPrefix(string(response.Header.ContentType()), "text/event-stream")
	r := &relay{response: response, meter: meter{events: events}, reported: time.Now(), progress: a.scheduled.Progress}
	r.finish = a.finished
	r.backendFailed = a.recordBackendFailure
	r.callerStopped = a.callerStopCounter(a.ctx.Conn())
	size := firstBuffer
	if !events {
		size = maxBuffer
	}
	r.head, r.headErr = readHead(response, size, events)
	if r.headErr != nil && r.headErr != io.EOF {
		cause := r.headErr
		r.finished = true
		response.Close()
		return a.handleFailure(cause)
	}
	if !events && r.headErr == io.EOF {
		r.meter.readUsage(r.head)
	}
	a.service.metrics.Front.FirstByte.WithLabelValues(a.call.route.Name).Observe(time.Since(a.began).Seconds())
	a.copyHead(response)
	length := response.Header.ContentLength()
	if !events && r.headErr == io.EOF {
		body := r.head
		r.end(core.Done)
		a.ctx.SetBody(body)
		return true
	}
	a.streaming = true
	a.service.open.Add(1)
	a.ctx.SetBodyStream(r, max(length, -1))
	return true
}

func (a *attempt) copyHead(response *exchange.Response) {
	a.ctx.SetStatusCode(response.StatusCode())
	a.ctx.SetContentType(string(response.Header.ContentType()))
	if after := response.Header.Peek(fasthttp.HeaderRetryAfter); len(after) > 0 {
		a.ctx.Response.Header.SetBytesV(fasthttp.HeaderRetryAfter, after)
	}
}

// readHead reads the beginning of a response: the first part of an event stream, otherwise as much as there is, up to
// size.
func readHead(response *exchange.Response, size int, events bool) ([]byte, error) {
	buffer := make([]byte, 0, min(size, firstBuffer))
	for len(buffer) < size {
		if len(buffer) == cap(buffer) {
			buffer = append(buffer, 0)[:len(buffer)]
		}
		n, err := response.Read(buffer[len(buffer):min(cap(buffer), size)])
		buffer = buffer[:len(buffer)+n]
		if err != nil || events && n > 0 {
			return buffer, err
		}
	}
	return buffer, nil
}

// finished is called after the response has been relayed or has failed.
func (a *attempt) finished(tokens float64, ending core.Ending) {
	a.scheduled.Finish(tokens, ending)
	s := a.service
	if a.streaming {
		defer s.open.Add(-1)
	}
	c := s.generation.InForce()
	s.metrics.Scheduler.Tokens.WithLabelValues(a.call.accountName, a.call.route.Name, c.Core.Policy.Name).Add(tokens + a.call.input)
	if ending == core.Done {
		a.blame.Answered()
		s.rates.observe(tokens, time.Since(a.sentAt))
		a.end("done")
		return
	}
	a.span.SetStatus(codes.Error, "broken off")
	a.end("broken")
}

// recordBackendFailure is called if the backend server failed after part of the response was relayed. It may be called
// after the handler has returned.
func (a *attempt) recordBackendFailure() {
	a.service.metrics.Front.IncompleteAnswers.WithLabelValues(string(telemetry.BreakBackend)).Inc()
	send := a.lastSend
	send.Begun = true
	a.blame.Interrupted(send)
}

// callerStopCounter returns a function that counts a response of which the caller read only a part.
func (a *attempt) callerStopCounter(conn net.Conn) func() {
	incomplete := a.service.metrics.Front.IncompleteAnswers
	return func() {
		why := telemetry.BreakCallerLeft
		if bounded, ok := conn.(*stall.Conn); ok && bounded.Stalled() {
			why = telemetry.BreakCallerStalled
		}
		incomplete.WithLabelValues(string(why)).Inc()
	}
}

// fingerprintInput returns the parts of the request that stay the same when it is repeated. They are copied if the
// response is streamed, because a stream may fail after the handler has returned and its request is reused.
func (a *attempt) fingerprintInput() func() fingerprint.Request {
	method, path, body := a.ctx.Method(), a.ctx.RequestURI(), a.call.body
	request := fingerprint.Request{Account: a.call.accountName, Method: method, Path: path, Body: body}
	if a.call.stream {
		request.Method, request.Path, request.Body = slices.Clone(method), slices.Clone(path), slices.Clone(body)
	}
	return func() fingerprint.Request { return request }
}

func (a *attempt) refuse(r *Refusal, detail string, retryAfter time.Duration) {
	a.span.SetStatus(codes.Error, r.Code)
	a.service.refuse(a.ctx, r, detail, retryAfter)
	a.end(r.Code)
}

func (a *attempt) end(outcome string) {
	a.span.End()
	a.service.metrics.Front.Requests.WithLabelValues(a.call.accountName, a.call.route.Name, outcome).Inc()
}
