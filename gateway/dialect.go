package gateway

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/tamarindstep/tamarindstep/core/notice"
	"github.com/tamarindstep/tamarindstep/model"
)

// Dialect reads and writes the headers with the metadata of requests and responses that routers, callers and backend
// servers exchange.
type Dialect interface {
	// Request reads the metadata from a caller's request header; the error describes invalid metadata.
	Request(h *fasthttp.RequestHeader) (RequestMeta, error)
	// Forward changes the header of a caller's request into the one sent to a backend server.
	Forward(h *fasthttp.RequestHeader, f Forward)
	// Response reads the metadata from a backend server's response header.
	Response(h *fasthttp.ResponseHeader) ResponseMeta
}

// RequestMeta is the metadata of a caller's request.
type RequestMeta struct {
	ID       string
	Key      string        // the client account's key, "" for none
	TimeLeft time.Duration // how long the caller waits, 0 if not specified
	Prompt   model.Prompt
	// LastEvent is the identifier of the last event received of a stream that the caller resumes, "" for none.
	LastEvent string
	// Resumes is the ID of the request that brought the first event of that stream, "" if the caller doesn't name it.
	Resumes string
}

// Forward is the metadata sent to a backend server with a request.
type Forward struct {
	Backend   string // the name of the intended backend server process
	Account   string // "" for none
	TimeLeft  time.Duration
	LastEvent string // "" for the beginning of the stream
	// CopyFrom is the address of the backend server from which to copy the cached part of the prompt, "" for none.
	CopyFrom string
}

// ResponseMeta is the metadata of a backend server's response.
type ResponseMeta struct {
	ID string // of the request that it answers, "" unless it names exactly one
	// Invalid says why the response can't be that of one backend server, nil if it can.
	Invalid error
	// NotRun reports that the request was not run.
	NotRun bool
	// Notice is the backend server's notice about its own state.
	Notice notice.Notice
	// NoticeErr is the error from reading the notice, nil if there is none.
	NoticeErr error
}
