package front

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/tamarindstep/tamarindstep/core"
)

// OutcomeHeader is the response header that says whether a refused request was run.
const OutcomeHeader = "Tamarindstep-Outcome"

// The outcomes of a refused request.
const (
	NotRun  = "not-run" // no byte of it was written to a backend server
	Unknown = "unknown" // it may have been run
)

// Refusal is a kind of refusal, as listed in docs/OPERATORS.md.
type Refusal struct {
	Code    string
	Status  int
	Outcome string
	Message string
}

// The refusals.
var (
	UnknownKey     = &Refusal{"unknown-key", 401, NotRun, "the key belongs to no client account"}
	UnknownModel   = &Refusal{"unknown-model", 404, NotRun, "no route takes the model"}
	UnknownService = &Refusal{"unknown-service", 404, NotRun, "no route takes the service and path"}
	UnknownPath    = &Refusal{"unknown-path", 404, NotRun, "nothing is served there"}
	MalformedBody  = &Refusal{"malformed-body", 400, NotRun, "the body can't be read"}
	BodyTooLarge   = &Refusal{"body-too-large", 413, NotRun, "the body is too large"}
	BadDeadline    = &Refusal{"bad-deadline", 400, NotRun, "the header Tamarindstep-Wait isn't a duration such as 30s, of at most 1h"}
	BadClass       = &Refusal{"bad-class", 400, NotRun, "the header Tamarindstep-Class is neither interactive nor batch"}
	BadKey         = &Refusal{"bad-idempotency-key", 400, NotRun, "the header Idempotency-Key has more than 255 characters"}
	NotReady       = &Refusal{"not-ready", 503, NotRun, "the router has no configuration yet"}

	QueueFull    = &Refusal{"queue-full", 429, NotRun, "the client account has as many requests waiting as it may"}
	RateLimited  = &Refusal{"rate-limited", 429, NotRun, "the client account has sent as many requests as it may"}
	WaitExceeded = &Refusal{"wait-exceeded", 503, NotRun, "the request has waited as long as it may"}
	Draining     = &Refusal{"draining", 503, NotRun, "the router is stopping; another will take the request"}
	Unreachable  = &Refusal{"backends-unreachable", 503, NotRun, "no backend server could be reached"}
	HeldBack     = &Refusal{"held-back", 503, NotRun, "backend servers have ended under this request, one after the other; it is tried again then"}
	HeldPart     = &Refusal{"held-prompt-part", 503, NotRun, "backend servers have ended under requests with a part of this prompt, one after the other; one is tried again then"}
	Withdrawn    = &Refusal{"account-withdrawn", 403, NotRun, "the configuration no longer has the client account or the pool"}

	ClaimUnavailable = &Refusal{"claim-unavailable", 503, NotRun, "the request may not be repeated, and its key can't be claimed now"}
	AlreadyClaimed   = &Refusal{"already-claimed", 409, Unknown, "a request with this key has been taken before"}
	BackendBroke     = &Refusal{"backend-broke", 502, Unknown, "the backend server broke off after the request was sent"}
)

// refusals lists all refusals.
var refusals = []*Refusal{
	UnknownKey, UnknownModel, UnknownService, UnknownPath, MalformedBody, BodyTooLarge, BadDeadline,
	BadClass, BadKey, NotReady, QueueFull, RateLimited, WaitExceeded, Draining, Unreachable,
	HeldBack, HeldPart, Withdrawn, ClaimUnavailable, AlreadyClaimed, BackendBroke,
}

// Refusals returns every kind of refusal.
func Refusals() []*Refusal { return refusals }

// refusalFor returns the refusal for the core's reason.
func refusalFor(reason core.Refusal) *Refusal {
	for _, r := range refusals {
		if r.Code == string(reason) {
			return r
		}
	}
	return Unreachable
}

type errorBody struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
}

// minRetryAfter is the minimum Retry-After of a refusal.
const minRetryAfter = time.Second

// write answers a request with the refusal.
func (r *Refusal) write(ctx *fasthttp.RequestCtx, detail string, retryAfter time.Duration) {
	message := r.Message
	if detail != "" {
		message += ": " + detail
	}
	body, err := json.Marshal(struct {
		Error errorBody `json:"error"`
	}{errorBody{Message: message, Type: "tamarindstep_refusal", Code: r.Code, Outcome: r.Outcome}})
	if err != nil {
		body = nil
	}
	ctx.Response.ResetBody()
	ctx.SetStatusCode(r.Status)
	ctx.SetContentType("application/json")
	ctx.Response.Header.Set(OutcomeHeader, r.Outcome)
	seconds := int(math.Ceil(max(retryAfter, minRetryAfter).Seconds()))
	ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(seconds))
	ctx.SetBody(body)
}
