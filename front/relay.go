package front

import (
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/internal/exchange"
)

// progressEvery is how often the core is told of a request's output.
const progressEvery = 250 * time.Millisecond

var (
	eventPrefix = []byte("data:")
	lastEvent   = []byte("[DONE]")
	usageField  = []byte(`"usage"`)
)

// meter counts the tokens of an answer as it flows.
type meter struct {
	events bool // the answer is a stream of server-sent events
	tokens float64
	line   []byte // the beginning of a line whose end hasn't come
	ended  bool   // the last event has come
}

// maxLine bounds what is kept of a line whose end hasn't come, in bytes.
const maxLine = 1 << 20

func (m *meter) take(p []byte) {
	if !m.events {
		return
	}
	for len(p) > 0 {
		i := bytes.IndexByte(p, '\n')
		if i < 0 {
			if len(m.line)+len(p) <= maxLine {
				m.line = append(m.line, p...)
			}
			return
		}
		m.takeLine(append(m.line, p[:i]...))
		m.line = m.line[:0]
		p = p[i+1:]
	}
}

func (m *meter) takeLine(line []byte) {
	data, ok := bytes.CutPrefix(line, eventPrefix)
	if !ok {
		return
	}
	data = bytes.TrimSpace(data)
	if bytes.Equal(data, lastEvent) {
		m.ended = true
		return
	}
	m.tokens++
	if bytes.Contains(data, usageField) {
		m.takeUsage(data)
	}
}

// takeUsage takes the engine's own count, where the text has it.
func (m *meter) takeUsage(text []byte) {
	var in struct {
		Usage struct {
			CompletionTokens float64 `json:"completion_tokens"`
		} `json:"usage"`
	}
	if json.Unmarshal(text, &in) == nil && in.Usage.CompletionTokens > 0 {
		m.tokens = in.Usage.CompletionTokens
	}
}

// relay is an answer on its way from a backend server to a caller. Its end is
// io.EOF only where the answer is whole; anything else makes the server break
// the connection off, so that the caller can tell.
type relay struct {
	answer   *exchange.Answer
	head     []byte // read already
	headErr  error  // what came after head
	meter    meter
	told     time.Time
	progress func(tokens float64)
	finish   func(tokens float64, ending core.Ending)
	brokeOff func() // the backend server did, after part of the answer was read
	untaken  func() // the caller took only part of the answer
	finished bool
}

// Read implements io.Reader.
func (r *relay) Read(p []byte) (int, error) {
	n, err := r.read(p)
	r.meter.take(p[:n])
	if err == io.EOF && r.meter.events && !r.meter.ended {
		err = io.ErrUnexpectedEOF
	}
	switch {
	case err == io.EOF:
		r.end(core.Done)
	case err != nil:
		if !r.finished {
			r.brokeOff()
		}
		r.end(core.Broken)
	case time.Since(r.told) >= progressEvery:
		r.told = time.Now()
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
	return r.answer.Read(p)
}

func (r *relay) end(ending core.Ending) {
	if r.finished {
		return
	}
	r.finished = true
	r.answer.Close()
	r.finish(r.meter.tokens, ending)
}

// Close implements io.Closer. Before the end it means that the caller left;
// the backend server is told by the end of its connection.
func (r *relay) Close() error {
	if !r.finished {
		r.untaken()
	}
	r.end(core.Broken)
	return nil
}
