package front

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/tamarindstep/tamarindstep/config"
	"github.com/tamarindstep/tamarindstep/model"
)

// The headers that callers may set.
const (
	waitHeader        = "Tamarindstep-Wait"
	classHeader       = "Tamarindstep-Class"
	idempotencyHeader = "Idempotency-Key"
	requestIDHeader   = "X-Request-Id"
)

const (
	maxWait           = time.Hour
	maxIdempotencyKey = 255
	// bytesPerToken is the estimated number of bytes of text per token.
	bytesPerToken = 4.0
	servicePrefix = "/services/"
)

// call is a parsed request of a caller.
type call struct {
	id          string
	account     model.AccountID
	accountName string
	route       *config.CompiledRoute
	class       model.Class
	input       float64 // tokens
	wait        time.Duration
	key         string // idempotency key, "" for none
	path        string // at the backend server
	body        []byte
	stream      bool // the caller asked for a streamed response
}

// repeatable reports whether the request may be sent again after it may have run.
func (c *call) repeatable() bool { return c.route.Repeatable && c.key == "" }

// problem is a refusal with the details of the request.
type problem struct {
	refusal *Refusal
	detail  string
}

// parseCall parses a caller's request.
func parseCall(ctx *fasthttp.RequestCtx, c *config.Compiled) (*call, *problem) {
	key, _ := strings.CutPrefix(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	account, ok := c.AccountOf(key)
	if !ok {
		return nil, &problem{refusal: UnknownKey}
	}
	out := &call{account: account, accountName: c.Core.Accounts[account].Name, body: ctx.Request.Body()}
	path := string(ctx.Path())
	var p *problem
	if rest, ok := strings.CutPrefix(path, servicePrefix); ok {
		p = out.readService(ctx, c, rest)
	} else {
		p = out.readCompletion(ctx, c, path)
	}
	if p != nil {
		return nil, p
	}
	if p := out.readHeaders(&ctx.Request.Header); p != nil {
		return nil, p
	}
	return out, nil
}

func (c *call) readService(ctx *fasthttp.RequestCtx, conf *config.Compiled, rest string) *problem {
	service, path, _ := strings.Cut(rest, "/")
	c.path = "/" + path
	c.route = conf.ServiceRoute(service, c.path)
	if c.route == nil {
		return &problem{UnknownService, fmt.Sprintf("%q, %q", service, c.path)}
	}
	if query := ctx.QueryArgs().QueryString(); len(query) > 0 {
		c.path += "?" + string(query)
	}
	c.input = c.route.CallCost
	return nil
}

// completion is the relevant part of an OpenAI-style request.
type completion struct {
	Model    string          `json:"model"`
	Stream   bool            `json:"stream"`
	Prompt   json.RawMessage `json:"prompt"`
	Messages json.RawMessage `json:"messages"`
}

func (c *call) readCompletion(ctx *fasthttp.RequestCtx, conf *config.Compiled, path string) *problem {
	if !ctx.IsPost() {
		return &problem{UnknownPath, path}
	}
	var in completion
	if err := json.Unmarshal(c.body, &in); err != nil {
		return &problem{MalformedBody, jsonPosition(c.body, err)}
	}
	switch {
	case in.Model == "":
		return &problem{MalformedBody, `field "model" is missing`}
	case strings.HasSuffix(path, "/chat/completions") && len(in.Messages) == 0:
		return &problem{MalformedBody, `field "messages" is missing`}
	case strings.HasSuffix(path, "/v1/completions") && len(in.Prompt) == 0:
		return &problem{MalformedBody, `field "prompt" is missing`}
	}
	c.route = conf.ModelRoute(in.Model)
	if c.route == nil {
		return &problem{UnknownModel, fmt.Sprintf("%q", in.Model)}
	}
	c.path = path
	c.stream = in.Stream
	c.input = float64(len(in.Prompt)+len(in.Messages)) / bytesPerToken
	return nil
}

// jsonPosition describes the line and column at which a body is not valid JSON.
func jsonPosition(body []byte, err error) string {
	offset := int64(len(body))
	switch e := err.(type) {
	case *json.SyntaxError:
		offset = e.Offset
	case *json.UnmarshalTypeError:
		offset = e.Offset
	}
	before := string(body[:min(offset, int64(len(body)))])
	line := strings.Count(before, "\n") + 1
	column := len(before) - strings.LastIndex(before, "\n") - 1
	return fmt.Sprintf("line %d, column %d: %v", line, max(column, 1), err)
}

func (c *call) readHeaders(h *fasthttp.RequestHeader) *problem {
	c.class = c.route.Class
	c.wait = c.route.Wait
	switch class := string(h.Peek(classHeader)); class {
	case "":
	case model.Interactive.String():
		c.class = max(c.class, model.Interactive)
	case model.Batch.String():
		c.class = model.Batch
	default:
		return &problem{BadClass, fmt.Sprintf("%q", class)}
	}
	if wait := string(h.Peek(waitHeader)); wait != "" {
		d, err := time.ParseDuration(wait)
		if err != nil || d <= 0 || d > maxWait {
			return &problem{BadDeadline, fmt.Sprintf("%q", wait)}
		}
		c.wait = d
	}
	c.key = string(h.Peek(idempotencyHeader))
	if len(c.key) > maxIdempotencyKey {
		return &problem{refusal: BadKey}
	}
	c.id = string(h.Peek(requestIDHeader))
	if c.id == "" {
		c.id = newRequestID()
	}
	return nil
}

// backendRequest returns the request to send to a backend server.
func (c *call) backendRequest(ctx *fasthttp.RequestCtx, engine bool) (*fasthttp.Request, error) {
	req := fasthttp.AcquireRequest()
	req.Header.SetMethodBytes(ctx.Method())
	req.SetRequestURI(c.path)
	req.Header.SetHost("backend")
	req.Header.Set(requestIDHeader, c.id)
	req.Header.SetContentTypeBytes(ctx.Request.Header.ContentType())
	if accept := ctx.Request.Header.Peek(fasthttp.HeaderAccept); len(accept) > 0 {
		req.Header.SetBytesV(fasthttp.HeaderAccept, accept)
	}
	body := c.body
	if engine {
		var err error
		if body, err = withPriority(body, c.class); err != nil {
			fasthttp.ReleaseRequest(req)
			return nil, err
		}
	}
	req.SetBody(body)
	return req, nil
}

// withPriority sets the field that orders the queue of an engine; the lowest value goes first.
func withPriority(body []byte, class model.Class) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	priority, err := json.Marshal(int(class))
	if err != nil {
		return nil, err
	}
	fields["priority"] = priority
	return json.Marshal(fields)
}
