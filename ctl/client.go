package ctl

import (
	"context"
	"encoding/json"
	"io"
	"strconv"
	"time"

	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"

	"github.com/tamarindstep/tamarindstep/admin"
	"github.com/tamarindstep/tamarindstep/internal/exchange"
)

const (
	dialTimeout = 3 * time.Second
	// callTimeout is the time limit of each wait for a router, and callLimit that of a whole call.
	callTimeout = 15 * time.Second
	callLimit   = 2 * callTimeout
	// maxResponse is the size of the largest response, in bytes.
	maxResponse = 16 << 20
)

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
	router  *exchange.Client
}

func newClient(address, token string) *client {
	return &client{address: address, token: token, router: exchange.NewClient(address, dialTimeout)}
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
	req.Header.SetMethod(method)
	req.SetRequestURI(path)
	req.Header.SetHost(c.address)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.token)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	req.SetBody(body)
	got, err := c.exchange(req)
	switch {
	case exchange.NotSent(err):
		return nil, Unreached.Wrap(err, "router %s doesn't answer", c.address)
	case err != nil:
		return nil, Lost.Wrap(err, "router %s doesn't answer", c.address)
	default:
		return got, nil
	}
}

// exchange sends a request, once, and reads the whole response.
func (c *client) exchange(req *fasthttp.Request) (*response, error) {
	resp, err := c.router.Do(context.Background(), req, exchange.Options{Timeout: callTimeout, Within: callLimit, MaxBody: maxResponse})
	if err != nil {
		return nil, err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp)
	if err != nil {
		return nil, err
	}
	generation, _ := strconv.ParseUint(string(resp.Header.Peek(admin.GenerationHeader)), 10, 64)
	return &response{status: resp.StatusCode(), generation: generation, body: body}, nil
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
