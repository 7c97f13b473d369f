package ctl

import (
	"encoding/json"
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"

	"github.com/tamarindstep/tamarindstep/admin"
)

const callTimeout = 15 * time.Second

// The errors of the command line, each with an exit code of its own.
var (
	namespace = errorx.NewNamespace("ctl")
	// Refused is the error for what a router refused to do.
	Refused = namespace.NewType("refused")
	// Unreached is the error for a router that doesn't answer.
	Unreached = namespace.NewType("unreached")
	// Lost is the error for an answer that was lost: what was asked may have
	// taken hold.
	Lost = namespace.NewType("lost")
	// Conflicted is the error for an apply that came after another.
	Conflicted = namespace.NewType("conflicted")
	// Invalid is the error for a file with errors in it.
	Invalid = namespace.NewType("invalid")
)

// client speaks to a router's administration API.
type client struct {
	address string
	token   string
	http    fasthttp.Client
}

func newClient(address, token string) *client {
	return &client{address: address, token: token, http: fasthttp.Client{
		ReadTimeout: callTimeout, WriteTimeout: callTimeout,
		MaxIdemponentCallAttempts: 1, MaxResponseBodySize: 16 << 20,
	}}
}

// reply is a router's answer.
type reply struct {
	status     int
	generation uint64
	body       []byte
}

// call makes one call; headers come in pairs of name and value.
func (c *client) call(method, path string, body []byte, headers ...string) (*reply, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.address + path)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.token)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	req.SetBody(body)
	if err := c.http.Do(req, resp); err != nil {
		if !isDial(err) {
			return nil, Lost.Wrap(err, "router %s doesn't answer", c.address)
		}
		return nil, Unreached.Wrap(err, "router %s doesn't answer", c.address)
	}
	generation, _ := strconv.ParseUint(string(resp.Header.Peek(admin.GenerationHeader)), 10, 64)
	return &reply{
		status: resp.StatusCode(), generation: generation, body: append([]byte(nil), resp.Body()...),
	}, nil
}

// into reads an answer, or the error that came in its place.
func (r *reply) into(out any) (*admin.Error, error) {
	if r.status < fasthttp.StatusBadRequest {
		if out == nil {
			return nil, nil
		}
		return nil, json.Unmarshal(r.body, out)
	}
	var e admin.Error
	if err := json.Unmarshal(r.body, &e); err != nil {
		return nil, Refused.New("status %d: %s", r.status, r.body)
	}
	return &e, errorOf(&e)
}

func errorOf(e *admin.Error) error {
	switch e.Code {
	case admin.CodeInvalid:
		return Invalid.New("%s", e.Message)
	case admin.CodeConflict:
		return Conflicted.New("%s", e.Message)
	case admin.CodeUnknown:
		return Lost.New("%s", e.Message)
	case admin.CodeUnavailable:
		return Unreached.New("%s", e.Message)
	}
	return Refused.New("%s: %s", e.Code, e.Message)
}

// isDial tells whether a call failed before a connection was made.
func isDial(err error) bool {
	var op *net.OpError
	return errors.Is(err, fasthttp.ErrDialTimeout) || errors.As(err, &op) && op.Op == "dial"
}
