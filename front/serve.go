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
	// maxSends is how often a request that may be repeated is sent.
	maxSends = 3
	// lookEvery is how often a waiting request's caller is looked at.
	lookEvery = 500 * time.Millisecond
	// maxHeld is the size up to which an answer that isn't streamed is held
	// until it is whole, in bytes.
	maxHeld     = 1 << 20
	firstBuffer = 4096
)

// attempt is one request on its way through the router.
type attempt struct {
	service *Service
	ctx     *fasthttp.RequestCtx
	call    *call
	trace   context.Context
	span    trace.Span
	began   time.Time
	held    *scheduler.Request
	claims  chan claim.Result // holds the outcome once it is known; nil for no key
	streams bool              // the answer is being handed on after the handler has returned
	holder  claim.Holder
	sends   int
	sent    time.Time // when it was last sent
	sentTo  blame.Send
	blame   *blame.Case
}

// serve carries a request through: it waits for a backend server, claims its
// key, is sent, and its answer is relayed.
func (s *Service) serve(ctx *fasthttp.RequestCtx, c *call) {
	a := &attempt{service: s, ctx: ctx, call: c, began: time.Now(), holder: claim.NewHolder()}
	a.blame = s.witness.Follow(c.account, a.unchanging())
	a.trace, a.span = s.traces.Begin(s.traces.Extract(context.Background(), &ctx.Request.Header), "request", trace.SpanKindServer)
	a.span.SetAttributes(attribute.String("account", c.name), attribute.String("route", c.route.Name))
	ctx.Response.Header.Set(requestIDHeader, c.id)
	a.submit()
	a.beginClaim()
	for {
		d, left := a.wait()
		if left {
			a.end("caller-left")
			return
		}
		if !d.Dispatched {
			a.refuseWaiting(d)
			return
		}
		if a.claim() && a.send(d) {
			return
		}
		if a.held == nil {
			return
		}
	}
}

// refuseWaiting refuses a request that won't be dispatched. Where it was sent
// before, and broke off, it may have been run.
func (a *attempt) refuseWaiting(d scheduler.Decision) {
	if a.sends > 0 {
		a.refuse(BackendBroke, "and then "+string(d.Refusal), d.RetryAfter)
		return
	}
	a.unclaim()
	a.refuse(ofCore(d.Refusal), "", d.RetryAfter)
}

func (a *attempt) submit() {
	a.held = a.service.scheduler.Submit(core.Arrive{
		Account: a.call.account, Pool: a.call.route.Pool, Class: a.call.class,
		Input: a.call.input, Wait: a.call.wait - time.Since(a.began), Fingerprint: a.blame.Suspect(),
	})
}

// wait waits for the core's decision, and tells whether the caller left first.
func (a *attempt) wait() (scheduler.Decision, bool) {
	_, span := a.service.traces.Begin(a.trace, "wait", trace.SpanKindInternal)
	defer span.End()
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for {
		select {
		case d := <-a.held.Decisions:
			return d, false
		case <-ticker.C:
			if socket.Look(a.ctx.Conn()) != socket.Ended {
				continue
			}
			a.held.Abandon()
			a.held.Finish(0, core.Cancelled)
			a.unclaim()
			a.ctx.SetConnectionClose()
			return scheduler.Decision{}, true
		}
	}
}

// beginClaim begins to claim the request's key, where it has one, while the
// request waits: so that no slot is held for it while others wait.
func (a *attempt) beginClaim() {
	if a.call.key == "" {
		return
	}
	a.claims = make(chan claim.Result, 1)
	key := claim.KeyOf(a.call.account, a.call.key)
	go func() {
		_, span := a.service.traces.Begin(a.trace, "claim", trace.SpanKindInternal)
		result := a.service.claims.Claim(context.WithoutCancel(a.trace), key, a.holder)
		span.SetAttributes(attribute.Stringer("result", result))
		span.End()
		a.claims <- result
	}()
}

// claim waits until the request's key is claimed, before anything is sent. It
// returns false where the request was refused for it.
func (a *attempt) claim() bool {
	if a.claims == nil {
		return true
	}
	result := <-a.claims
	a.claims <- result
	switch {
	case result == claim.Held:
		return true
	case result == claim.Unavailable && a.call.route.BestEffort:
		return true
	}
	a.held.Finish(0, core.Cancelled)
	a.held = nil
	if result == claim.Taken {
		a.refuse(AlreadyClaimed, "", 0)
		return false
	}
	a.unclaim()
	a.refuse(ClaimUnavailable, "", 0)
	return false
}

// unclaim gives the key back after nothing was sent for it, once it is known
// whether it is held.
func (a *attempt) unclaim() {
	if a.claims == nil || a.sends > 0 {
		return
	}
	key := claim.KeyOf(a.call.account, a.call.key)
	claims, holder, service := a.claims, a.holder, a.service.claims
	go func() {
		if <-claims != claim.Taken {
			service.Release(key, holder)
		}
	}()
}

// send sends the request to the backend server that was decided on. It returns
// false where the request waits again.
func (a *attempt) send(d scheduler.Decision) bool {
	s := a.service
	c := s.generation.InForce()
	backend := c.Core.Backends[d.Backend]
	policy := c.Core.Policy.Name
	s.metrics.Front.Wait.WithLabelValues(a.call.name, a.call.class.String(), policy).Observe(d.Waited.Seconds())
	ctx, span := s.traces.Begin(a.trace, "backend", trace.SpanKindClient)
	span.SetAttributes(attribute.String("backend", backend.Name))
	defer span.End()
	engine := c.Core.Pools[a.call.route.Pool].FollowLoad
	req, err := a.call.backendRequest(a.ctx, engine)
	if err != nil {
		a.held.Finish(0, core.Cancelled)
		a.unclaim()
		a.refuse(MalformedBody, err.Error(), 0)
		return true
	}
	defer fasthttp.ReleaseRequest(req)
	s.traces.Inject(ctx, &req.Header)
	stop := func() {}
	if engine && !a.call.eventsWish {
		stop = s.pace.follow(a.held.Progress)
	}
	a.sent = time.Now()
	a.sentTo = blame.Send{Backend: d.Backend, Address: c.AddressOf(d.Backend), At: a.sent}
	takes := func() bool { return s.notices.Takes(d.Backend) }
	answer, err := s.back.Send(context.WithoutCancel(ctx), c.AddressOf(d.Backend), req, takes)
	stop()
	if exchange.NotSent(err) {
		span.SetStatus(codes.Error, err.Error())
		a.held.Retry()
		return false
	}
	a.sends++
	s.metrics.Share.Dispatched.WithLabelValues(a.call.name, backend.Name, policy).Inc()
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
		return a.brokeOff(err)
	}
	a.hear(d, answer)
	return a.relay(answer)
}

// brokeOff handles a backend server that broke off before any of its answer
// went to the caller. It returns false where the request waits again.
func (a *attempt) brokeOff(cause error) bool {
	a.held.Finish(0, core.Broken)
	a.blame.BrokeOff(a.sentTo)
	if a.call.repeatable() && a.sends < maxSends {
		a.submit()
		return false
	}
	a.refuse(BackendBroke, cause.Error(), 0)
	return true
}

// relay hands the answer on to the caller. It returns false where the request
// waits again, as the answer broke off before any of it was handed on.
func (a *attempt) relay(answer *exchange.Answer) bool {
	events := strings.HasPrefix(string(answer.Header.ContentType()), "text/event-stream")
	r := &relay{answer: answer, meter: meter{events: events}, told: time.Now(), progress: a.held.Progress}
	r.finish = a.finished
	r.brokeOff = a.brokeOffBegun
	r.untaken = a.countUntaken(a.ctx.Conn())
	size := firstBuffer
	if !events {
		size = maxHeld
	}
	r.head, r.headErr = readHead(answer, size, events)
	if r.headErr != nil && r.headErr != io.EOF {
		cause := r.headErr
		r.finished = true
		answer.Close()
		return a.brokeOff(cause)
	}
	if !events && r.headErr == io.EOF {
		r.meter.takeUsage(r.head)
	}
	a.service.metrics.Front.First.WithLabelValues(a.call.route.Name).Observe(time.Since(a.began).Seconds())
	a.answerHead(answer)
	length := answer.Header.ContentLength()
	if !events && r.headErr == io.EOF {
		body := r.head
		r.end(core.Done)
		a.ctx.SetBody(body)
		return true
	}
	a.streams = true
	a.service.open.Add(1)
	a.ctx.SetBodyStream(r, max(length, -1))
	return true
}

func (a *attempt) answerHead(answer *exchange.Answer) {
	a.ctx.SetStatusCode(answer.StatusCode())
	a.ctx.SetContentType(string(answer.Header.ContentType()))
	if after := answer.Header.Peek(fasthttp.HeaderRetryAfter); len(after) > 0 {
		a.ctx.Response.Header.SetBytesV(fasthttp.HeaderRetryAfter, after)
	}
}

// readHead reads the beginning of an answer: of a stream of events what comes
// first, of any other as much as there is, up to size.
func readHead(answer *exchange.Answer, size int, events bool) ([]byte, error) {
	buffer := make([]byte, 0, min(size, firstBuffer))
	for len(buffer) < size {
		if len(buffer) == cap(buffer) {
			buffer = append(buffer, 0)[:len(buffer)]
		}
		n, err := answer.Read(buffer[len(buffer):min(cap(buffer), size)])
		buffer = buffer[:len(buffer)+n]
		if err != nil || events && n > 0 {
			return buffer, err
		}
	}
	return buffer, nil
}

// finished is called once the answer has been handed on, or has broken off.
func (a *attempt) finished(tokens float64, ending core.Ending) {
	a.held.Finish(tokens, ending)
	s := a.service
	if a.streams {
		defer s.open.Add(-1)
	}
	c := s.generation.InForce()
	s.metrics.Share.Tokens.WithLabelValues(a.call.name, a.call.route.Name, c.Core.Policy.Name).Add(tokens + a.call.input)
	if ending == core.Done {
		a.blame.Answered()
		s.pace.observe(tokens, time.Since(a.sent))
		a.end("done")
		return
	}
	a.span.SetStatus(codes.Error, "broken off")
	a.end("broken")
}

// brokeOffBegun is called where the backend server broke off an answer of which part was handed on. It
// may be called after the handler has returned.
func (a *attempt) brokeOffBegun() {
	a.service.metrics.Front.Breaches.WithLabelValues(string(telemetry.BreachBackend)).Inc()
	send := a.sentTo
	send.Begun = true
	a.blame.BrokeOff(send)
}

// countUntaken returns what counts an answer that its caller took only a part of.
func (a *attempt) countUntaken(conn net.Conn) func() {
	breaches := a.service.metrics.Front.Breaches
	return func() {
		why := telemetry.BreachLeft
		if bounded, ok := conn.(*stall.Conn); ok && bounded.Stalled() {
			why = telemetry.BreachStalled
		}
		breaches.WithLabelValues(string(why)).Inc()
	}
}

// unchanging returns what stays the same of the request when it comes again. Its parts are copied, as a
// stream may break off after the handler has returned and its request is used again.
func (a *attempt) unchanging() func() fingerprint.Request {
	method, path, body := a.ctx.Method(), a.ctx.RequestURI(), a.call.body
	request := fingerprint.Request{Account: a.call.name, Method: method, Path: path, Body: body}
	if a.call.eventsWish {
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
	a.service.metrics.Front.Requests.WithLabelValues(a.call.name, a.call.route.Name, outcome).Inc()
}
