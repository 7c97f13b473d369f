package gateway

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/tamarindstep/tamarindstep/core/notice"
	"github.com/tamarindstep/tamarindstep/model"
)

// Dialect reads and writes the headers that carry what routers, callers and
// backend servers tell each other beside a request and its answer.
type Dialect interface {
	// Request reads what a caller says of its request; the error says what is
	// wrong with it.
	Request(h *fasthttp.RequestHeader) (Meta, error)
	// Forward changes a caller's header into the one for a backend server.
	Forward(h *fasthttp.RequestHeader, f Forward)
	// Answer reads what a backend server says of its answer.
	Answer(h *fasthttp.ResponseHeader) AnswerMeta
}

// Meta is what a caller says of its request.
type Meta struct {
	ID       string
	Key      string        // the account's key, "" for none
	TimeLeft time.Duration // how long the caller waits, 0 where it doesn't say
	Prompt   model.Prompt
	// LastEvent is the last event that the caller has of a stream that it
	// resumes, "" for none.
	LastEvent string
}

// Forward is what a backend server is told with a request.
type Forward struct {
	Backend   string // the run of the backend server that is meant
	Account   string // "" for none
	TimeLeft  time.Duration
	LastEvent string // "" to begin at the beginning
	// CopyFrom is the address of the backend server from which it is to copy
	// what that one keeps of the prompt, "" for none.
	CopyFrom string
}

// AnswerMeta is what a backend server says of its answer.
type AnswerMeta struct {
	ID string // of the request that it answers
	// NotRun tells that the request was not run.
	NotRun bool
	// Notice is what it says of itself.
	Notice notice.Notice
	// Problem is why some of that can't be read, nil where it can or there is nothing.
	Problem error
}
