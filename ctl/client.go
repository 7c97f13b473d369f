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

// The errors of the command line, each with its own exit code.
var (
	namespace = errorx.NewNamespace("ctl")
	// Refused is the error for an operation that a router refused.
	Refused = namespace.NewType("refused")
	// Unreached is the error for a router that can't be reached.
	Unreached = namespace.NewType("unreached")
	// Lost is the error for a lost response: the operation may or may not have
	// taken effect.
	Lost = namespace.NewType("lost")
	// Conflicted is the error for an apply that was preceded by another one.
	Conflicted = namespace.NewType("conflicted")
	// Invalid is the error for an invalid file.
	Invalid = namespace.NewType("invalid")
)

// client is a client of a router's administration API.
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

// response is the response of a router.
type response struct {
	status     int
	generation uint64
	body       []byte
}

// call makes a request; headers are pairs of name and value.
func (c *client) call(method, path string, body []byte, headers ...string) (*response, error) {
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
		if !isDialError(err) {
			return nil, Lost.Wrap(err, "router %s doesn't answer", c.address)
		}
		return nil, Unreached.Wrap(err, "router %s doesn't answer", c.address)
	}
	generation, _ := strconv.ParseUint(string(resp.Header.Peek(admin.GenerationHeader)), 10, 64)
	return &response{
		status: resp.StatusCode(), generation: generation, body: append([]byte(nil), resp.Body()...),
	}, nil
}

// decode decodes the body of a successful response into out, or returns the error it contains.
func (r *response) decode(out any) (*admin.Error, error) {
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
	return &e, toError(&e)
}

func toError(e *admin.Error) error {
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

// isDialError reports whether a call failed before a connection was established.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.Is(err, fasthttp.ErrDialTimeout) || errors.As(err, &op) && op.Op == "dial"
}
