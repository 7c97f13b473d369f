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

// Engine stands in for a model engine. It streams tokens at a set rate over a
// set number of slots, takes the next by priority when one is free, notices
// callers that leave, and reports its load late.
type Engine struct {
	backend

	name  string
	slots int
	gap   time.Duration // between two tokens
	lag   time.Duration // of the load report

	mu       sync.Mutex
	running  int
	waiting  []*seat
	order    int
	reported Load
}

// Load is what an engine reports of itself.
type Load struct {
	Running int
	Waiting int
}

// seat is a request's place in the engine's queue.
type seat struct {
	priority int
	order    int
	ready    chan struct{}
}

// NewEngine returns an engine. Its load report is as old as lag.
func NewEngine(name string, slots int, gap, lag time.Duration) *Engine {
	return &Engine{name: name, slots: slots, gap: gap, lag: lag}
}

// Handle answers one call.
func (e *Engine) Handle(ctx *fasthttp.RequestCtx) {
	faults := e.get()
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

// noteLoad lets the present load show in the report once the lag has passed.
// The caller holds the lock.
func (e *Engine) noteLoad() {
	load := Load{Running: e.running, Waiting: len(e.waiting)}
	time.AfterFunc(e.lag, func() {
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
	id := e.ran(ctx)
	if faults.Reset == "read" {
		dropConnection(ctx)
		return
	}
	run := &run{engine: e, id: id, in: in, chat: strings.HasSuffix(string(ctx.Path()), "chat/completions"), faults: faults}
	if in.Stream {
		ctx.SetContentType("text/event-stream")
		ctx.SetBodyStream(newPipe(run.stream), -1)
		return
	}
	run.whole(ctx)
}

// seatFor waits for a slot; it returns false where the caller left meanwhile.
func (e *Engine) seatFor(priority int) {
	e.mu.Lock()
	if e.running < e.slots {
		e.running++
		e.noteLoad()
		e.mu.Unlock()
		return
	}
	e.order++
	s := &seat{priority: priority, order: e.order, ready: make(chan struct{})}
	e.waiting = append(e.waiting, s)
	e.noteLoad()
	e.mu.Unlock()
	<-s.ready
}

// leave frees a slot, and gives it to the most urgent that waits.
func (e *Engine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.noteLoad()
	if len(e.waiting) == 0 {
		e.running--
		return
	}
	best := 0
	for i, s := range e.waiting {
		b := e.waiting[best]
		if s.priority < b.priority || s.priority == b.priority && s.order < b.order {
			best = i
		}
	}
	s := e.waiting[best]
	e.waiting = append(e.waiting[:best], e.waiting[best+1:]...)
	close(s.ready)
}

// run is one request that the engine runs.
type run struct {
	engine *Engine
	id     string
	in     completionRequest
	chat   bool
	faults Faults
}

// token returns the text of one token, which names the request and the place,
// so that a test can tell an answer that was crossed or cut.
func (r *run) token(i int) string {
	return fmt.Sprintf("%s#%d ", r.id, i)
}

func (r *run) choice(text string, last bool) map[string]any {
	choice := map[string]any{"index": 0, "finish_reason": nil}
	if last {
		choice["finish_reason"] = "length"
	}
	switch {
	case r.chat && r.in.Stream:
		choice["delta"] = map[string]string{"content": text}
	case r.chat:
		choice["message"] = map[string]string{"role": "assistant", "content": text}
	default:
		choice["text"] = text
	}
	return choice
}

func (r *run) object(choice map[string]any) map[string]any {
	return map[string]any{
		"id": r.id, "object": "completion", "model": r.in.Model, "served_by": r.engine.name,
		"choices": []any{choice},
	}
}

func (r *run) usage() map[string]int {
	prompt := len(strings.Fields(r.in.text()))
	return map[string]int{
		"prompt_tokens": prompt, "completion_tokens": r.in.MaxTokens, "total_tokens": prompt + r.in.MaxTokens,
	}
}

var errBrokenOff = fmt.Errorf("broken off on purpose")

// stream writes the answer as server-sent events.
func (r *run) stream(w *bufio.Writer) error {
	r.engine.seatFor(r.in.Priority)
	defer r.engine.leave()
	for i := range r.in.MaxTokens {
		time.Sleep(r.engine.gap)
		if r.faults.BreakAfter > 0 && i == r.faults.BreakAfter {
			return errBrokenOff
		}
		object := r.object(r.choice(r.token(i), i == r.in.MaxTokens-1))
		if i == r.in.MaxTokens-1 {
			object["usage"] = r.usage()
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

// whole writes the answer at once.
func (r *run) whole(ctx *fasthttp.RequestCtx) {
	r.engine.seatFor(r.in.Priority)
	defer r.engine.leave()
	var text strings.Builder
	for i := range r.in.MaxTokens {
		time.Sleep(r.engine.gap)
		text.WriteString(r.token(i))
	}
	if r.faults.BreakAfter > 0 {
		ctx.SetBodyStream(newPipe(func(w *bufio.Writer) error {
			fmt.Fprint(w, `{"id":"`)
			_ = w.Flush()
			return errBrokenOff
		}), 1000)
		return
	}
	object := r.object(r.choice(text.String(), true))
	object["usage"] = r.usage()
	writeJSON(ctx, object)
}

// newPipe runs a writer and returns what it writes; an error of the writer
// breaks the answer off, and a reader that leaves ends the writer.
func newPipe(write func(*bufio.Writer) error) io.ReadCloser {
	r, w := io.Pipe()
	go func() {
		_ = w.CloseWithError(write(bufio.NewWriter(w)))
	}()
	return r
}
