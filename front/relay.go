package front

import (
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/internal/exchange"
)

// progressInterval is the interval at which a request's output is reported to the core.
const progressInterval = 250 * time.Millisecond

var (
	eventPrefix = []byte("data:")
	doneEvent   = []byte("[DONE]")
	usageField  = []byte(`"usage"`)
)

// meter counts the tokens of a response while it is relayed.
type meter struct {
	events      bool // the response is a stream of server-sent events
	tokens      float64
	partialLine []byte // an unfinished line
	ended       bool   // the last event was received
}

// maxLine limits the size of an unfinished line, in bytes.
const maxLine = 1 << 20

func (m *meter) add(p []byte) {
	if !m.events {
		return
	}
	for len(p) > 0 {
		i := bytes.IndexByte(p, '\n')
		if i < 0 {
			if len(m.partialLine)+len(p) <= maxLine {
				m.partialLine = append(m.partialLine, p...)
			}
			return
		}
		m.addLine(append(m.partialLine, p[:i]...))
		m.partialLine = m.partialLine[:0]
		p = p[i+1:]
	}
}

func (m *meter) addLine(line []byte) {
	data, ok := bytes.CutPrefix(line, eventPrefix)
	if !ok {
		return
	}
	data = bytes.TrimSpace(data)
	if bytes.Equal(data, doneEvent) {
		m.ended = true
		return
	}
	m.tokens++
	if bytes.Contains(data, usageField) {
		m.readUsage(data)
	}
}

// readUsage replaces the count with the engine's own if the text contains it.
func (m *meter) readUsage(text []byte) {
	var in struct {
		Usage struct {
			CompletionTokens float64 `json:"completion_tokens"`
		} `json:"usage"`
	}
	if json.Unmarshal(text, &in) == nil && in.Usage.CompletionTokens > 0 {
		m.tokens = in.Usage.CompletionTokens
	}
}

// relay reads a response from a backend server for a caller. Read returns io.EOF only at the end of a whole response;
// any other error makes the HTTP server abort the connection, so that the caller sees that the response is truncated.
type relay struct {
	response      *exchange.Response
	head          []byte // already read
	headErr       error  // the error after head
	meter         meter
	reported      time.Time
	progress      func(tokens float64)
	finish        func(tokens float64, ending core.Ending)
	backendFailed func() // called if the backend server fails after part of the response was read
	callerStopped func() // called if the caller reads only part of the response
	finished      bool
}

// Read implements io.Reader.
func (r *relay) Read(p []byte) (int, error) {
	n, err := r.read(p)
	r.meter.add(p[:n])
	if err == io.EOF && r.meter.events && !r.meter.ended {
		err = io.ErrUnexpectedEOF
	}
	switch {
	case err == io.EOF:
		r.end(core.Done)
	case err != nil:
		if !r.finished {
			r.backendFailed()
		}
		r.end(core.Broken)
	case time.Since(r.reported) >= progressInterval:
		r.reported = time.Now()
		r.progress(r.meter.tokens)
	}
	return n, err
}

func (r *relay) read(p []byte) (int, error) {
	if len(r.head) > 0 {
		n := copy(p, r.head)
		r.head = r.head[n:]
		return n, nil
	}
	if r.headErr != nil {
		return 0, r.headErr
	}
	return r.response.Read(p)
}

func (r *relay) end(ending core.Ending) {
	if r.finished {
		return
	}
	r.finished = true
	r.response.Close()
	r.finish(r.meter.tokens, ending)
}

// Close implements io.Closer. A call before the end of the response means that the caller has left; closing the
// connection signals this to the backend server.
func (r *relay) Close() error {
	if !r.finished {
		r.callerStopped()
	}
	r.end(core.Broken)
	return nil
}
