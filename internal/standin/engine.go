package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Engine stands in for a model engine. It streams tokens at a fixed rate in a limited number of slots, queues
// requests by priority, stops a stream whose caller has disconnected, and delays its load report.
type Engine struct {
	backend

	name          string
	slots         int
	tokenInterval time.Duration // time between two tokens
	reportDelay   time.Duration // delay of the load report

	mu           sync.Mutex
	running      int
	waiting      []*queueEntry
	lastSequence int
	reported     Load
}

// Load is the load that an engine reports.
type Load struct {
	Running int
	Waiting int
}

// queueEntry is a request waiting for a slot.
type queueEntry struct {
	priority int
	sequence int
	ready    chan struct{}
}

// NewEngine returns an engine. Its load report shows the load of reportDelay ago.
func NewEngine(name string, slots int, tokenInterval, reportDelay time.Duration) *Engine {
	return &Engine{name: name, slots: slots, tokenInterval: tokenInterval, reportDelay: reportDelay}
}

// Handle handles a request.
func (e *Engine) Handle(ctx *fasthttp.RequestCtx) {
	faults := e.currentFaults()
	if e.handleCommon(ctx, faults) {
		return
	}
	switch string(ctx.Path()) {
	case "/metrics":
		e.handleMetrics(ctx)
	case "/v1/completions", "/v1/chat/completions":
		e.handleCompletion(ctx, faults)
	default:
		ctx.Error("no such call", fasthttp.StatusNotFound)
	}
}

func (e *Engine) handleMetrics(ctx *fasthttp.RequestCtx) {
	e.mu.Lock()
	defer e.mu.Unlock()
	load := e.reported
	fmt.Fprintf(ctx, "# TYPE vllm:num_requests_running gauge\nvllm:num_requests_running %d\n", load.Running)
	fmt.Fprintf(ctx, "# TYPE vllm:num_requests_waiting gauge\nvllm:num_requests_waiting %d\n", load.Waiting)
}

// scheduleLoadReport records the current load in the load report after reportDelay. The caller must hold e.mu.
func (e *Engine) scheduleLoadReport() {
	load := Load{Running: e.running, Waiting: len(e.waiting)}
	time.AfterFunc(e.reportDelay, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.reported = load
	})
}

type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
	Priority  int    `json:"priority"`
	Messages  []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
}

func (r completionRequest) text() string {
	if len(r.Messages) == 0 {
		return r.Prompt
	}
	return r.Messages[len(r.Messages)-1].Content
}

func (e *Engine) handleCompletion(ctx *fasthttp.RequestCtx, faults Faults) {
	var in completionRequest
	if err := json.Unmarshal(ctx.PostBody(), &in); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if in.MaxTokens <= 0 {
		in.MaxTokens = 16
	}
	id := e.recordRun(ctx)
	if faults.Reset == "read" {
		dropConnection(ctx)
		return
	}
	c := &completion{engine: e, id: id, in: in, chat: strings.HasSuffix(string(ctx.Path()), "chat/completions"), faults: faults}
	if in.Stream {
		ctx.SetContentType("text/event-stream")
		ctx.SetBodyStream(newPipe(c.stream), -1)
		return
	}
	c.writeWhole(ctx)
}

// acquireSlot waits for a slot.
func (e *Engine) acquireSlot(priority int) {
	e.mu.Lock()
	if e.running < e.slots {
		e.running++
		e.scheduleLoadReport()
		e.mu.Unlock()
		return
	}
	e.lastSequence++
	entry := &queueEntry{priority: priority, sequence: e.lastSequence, ready: make(chan struct{})}
	e.waiting = append(e.waiting, entry)
	e.scheduleLoadReport()
	e.mu.Unlock()
	<-entry.ready
}

// releaseSlot frees a slot, or passes it on to the waiting request of the highest priority.
func (e *Engine) releaseSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.scheduleLoadReport()
	if len(e.waiting) == 0 {
		e.running--
		return
	}
	best := 0
	for i, entry := range e.waiting {
		current := e.waiting[best]
		if entry.priority < current.priority || entry.priority == current.priority && entry.sequence < current.sequence {
			best = i
		}
	}
	entry := e.waiting[best]
	e.waiting = append(e.waiting[:best], e.waiting[best+1:]...)
	close(entry.ready)
}

// completion is a request being processed.
type completion struct {
	engine *Engine
	id     string
	in     completionRequest
	chat   bool
	faults Faults
}

// token returns the text of one token. It contains the request's identifier and the token's index, so that tests
// detect mixed up or truncated answers.
func (c *completion) token(i int) string {
	return fmt.Sprintf("%s#%d ", c.id, i)
}

func (c *completion) choice(text string, last bool) map[string]any {
	choice := map[string]any{"index": 0, "finish_reason": nil}
	if last {
		choice["finish_reason"] = "length"
	}
	switch {
	case c.chat && c.in.Stream:
		choice["delta"] = map[string]string{"content": text}
	case c.chat:
		choice["message"] = map[string]string{"role": "assistant", "content": text}
	default:
		choice["text"] = text
	}
	return choice
}

func (c *completion) object(choice map[string]any) map[string]any {
	return map[string]any{
		"id": c.id, "object": "completion", "model": c.in.Model, "served_by": c.engine.name,
		"choices": []any{choice},
	}
}

func (c *completion) usage() map[string]int {
	prompt := len(strings.Fields(c.in.text()))
	return map[string]int{
		"prompt_tokens": prompt, "completion_tokens": c.in.MaxTokens, "total_tokens": prompt + c.in.MaxTokens,
	}
}

var errInjectedFault = fmt.Errorf("answer aborted by an injected fault")

// stream writes the answer as server-sent events.
func (c *completion) stream(w *bufio.Writer) error {
	c.engine.acquireSlot(c.in.Priority)
	defer c.engine.releaseSlot()
	for i := range c.in.MaxTokens {
		time.Sleep(c.engine.tokenInterval)
		if c.faults.AbortAfter > 0 && i == c.faults.AbortAfter {
			return errInjectedFault
		}
		object := c.object(c.choice(c.token(i), i == c.in.MaxTokens-1))
		if i == c.in.MaxTokens-1 {
			object["usage"] = c.usage()
		}
		line, err := json.Marshal(object)
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "data: %s\n\n", line)
		if err := w.Flush(); err != nil {
			return err
		}
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
	return w.Flush()
}

// writeWhole writes the answer at once.
func (c *completion) writeWhole(ctx *fasthttp.RequestCtx) {
	c.engine.acquireSlot(c.in.Priority)
	defer c.engine.releaseSlot()
	var text strings.Builder
	for i := range c.in.MaxTokens {
		time.Sleep(c.engine.tokenInterval)
		text.WriteString(c.token(i))
	}
	if c.faults.AbortAfter > 0 {
		ctx.SetBodyStream(newPipe(func(w *bufio.Writer) error {
			fmt.Fprint(w, `{"id":"`)
			_ = w.Flush()
			return errInjectedFault
		}), 1000)
		return
	}
	object := c.object(c.choice(text.String(), true))
	object["usage"] = c.usage()
	writeJSON(ctx, object)
}

// newPipe runs write and returns a reader of its output. An error of write aborts the answer; closing the reader
// makes further writes fail.
func newPipe(write func(*bufio.Writer) error) io.ReadCloser {
	r, w := io.Pipe()
	go func() {
		_ = w.CloseWithError(write(bufio.NewWriter(w)))
	}()
	return r
}
