package gateway

import (
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// refusal is an answer of the router's own. Those with status 429 or 503 say
// that the request was not run and won't be; those with 502 and 504 say nothing
// of it.
type refusal struct {
	status int
	code   string
	// final refusals are the same if the caller asks again.
	final bool
}

// The refusals.
var (
	malformed      = &refusal{fasthttp.StatusBadRequest, "malformed", true}
	unknownKey     = &refusal{fasthttp.StatusUnauthorized, "unknown-key", true}
	unknownRoute   = &refusal{fasthttp.StatusNotFound, "unknown-route", true}
	bodyTooLarge   = &refusal{fasthttp.StatusRequestEntityTooLarge, "body-too-large", true}
	headerTooLarge = &refusal{fasthttp.StatusRequestHeaderFieldsTooLarge, "header-too-large", true}
	noConfig       = &refusal{fasthttp.StatusServiceUnavailable, "no-configuration", false}
	unconfirmed    = &refusal{fasthttp.StatusServiceUnavailable, "configuration-unconfirmed", false}
	tooMany        = &refusal{fasthttp.StatusServiceUnavailable, "too-many-requests", false}
	crowded        = &refusal{fasthttp.StatusServiceUnavailable, "queue-full", false}
	noRoom         = &refusal{fasthttp.StatusServiceUnavailable, "no-room-for-body", false}
	stopping       = &refusal{fasthttp.StatusServiceUnavailable, "stopping", false}
	tooLate        = &refusal{fasthttp.StatusServiceUnavailable, "too-late", false}
	// heldBack says when the request is tried again. It is sent for all that arrives in the meantime, so
	// that it promises the truth: the request hasn't run for this attempt, and a later one may.
	heldBack    = &refusal{fasthttp.StatusServiceUnavailable, "held-back", false}
	notAdmitted = &refusal{fasthttp.StatusServiceUnavailable, "not-admitted", false}
	noAttempts  = &refusal{fasthttp.StatusServiceUnavailable, "no-attempts-left", false}
	brokeOff    = &refusal{fasthttp.StatusBadGateway, "backend-broke-off", false}
	timedOut    = &refusal{fasthttp.StatusGatewayTimeout, "timed-out", false}
)

// write writes the refusal to a caller.
func (r *refusal) write(c *callerConn, retryAfter time.Duration, last bool) error {
	if _, err := c.writer.Write(r.text(retryAfter, last)); err != nil {
		return err
	}
	return c.flush()
}

// text returns the whole answer; last tells the caller that its connection ends.
func (r *refusal) text(retryAfter time.Duration, last bool) []byte {
	body := fmt.Sprintf("{\"error\":%q}\n", r.code)
	head := "HTTP/1.1 " + strconv.Itoa(r.status) + " " + fasthttp.StatusMessage(r.status) + "\r\n" +
		"Content-Type: application/json\r\n" +
		"Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	if !r.final && retryAfter > 0 {
		head += "Retry-After: " + strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64) + "\r\n"
	}
	if last {
		head += "Connection: close\r\n"
	}
	return []byte(head + "\r\n" + body)
}
