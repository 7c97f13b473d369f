package emulator

import (
	"slices"
	"time"

	"github.com/tamarindstep/tamarindstep/internal/eventqueue"
	"github.com/tamarindstep/tamarindstep/model"
)

// Engine holds the parameters of a model engine.
type Engine struct {
	Slots          int           // requests in a batch
	QueueLimit     int           // waiting requests beyond the batch
	MemoryTokens   int           // capacity for tokens of prompts and answers
	PrefillChunk   int           // prompt tokens processed in one step
	StepTime       time.Duration // minimum duration of a step
	TimePerRequest time.Duration // added to a step for each request in the batch
	PrefillRate    float64       // prompt tokens processed in a second
	OutputDelay    time.Duration // until an event of the answer is emitted
	TokensPerEvent int           // tokens in one event of a stream
}

// DefaultEngine is an engine of the size in the current deployment; the values are those of the deployment's
// description.
var DefaultEngine = Engine{
	Slots: 64, QueueLimit: 134, MemoryTokens: 570_274, PrefillChunk: 4096,
	StepTime: 5090 * time.Microsecond, TimePerRequest: 30 * time.Microsecond,
	PrefillRate: 51_100, OutputDelay: 50 * time.Millisecond, TokensPerEvent: 3,
}

// execution is one request at an engine.
type execution struct {
	prompt           *model.Prompt
	output           int
	remainingPrefill int // prompt tokens not yet processed
	generated        int // tokens of the answer
	started          bool
	// onFirst is called at the first event of the answer, onProgress at each further one, onDone at its end.
	onFirst    func()
	onProgress func()
	onDone     func()
}

// engine is a running engine.
type engine struct {
	Engine
	clock        *eventqueue.Queue
	batch        []*execution
	waiting      []*execution
	cache        map[uint64]int // tokens of each part
	lru          []uint64       // parts, least recently used first
	cachedTokens int            // total tokens in cache
	running      bool

	prefillTokens    int // prompt tokens processed
	recomputedTokens int // tokens of shared parts that were processed again after eviction
	computed         map[uint64]bool
	busyTime         time.Duration
}

func newEngine(settings Engine, clock *eventqueue.Queue) *engine {
	return &engine{Engine: settings, clock: clock, cache: map[uint64]int{}, computed: map[uint64]bool{}}
}

// accept enqueues a request; it returns false if the queue is full.
func (e *engine) accept(r *execution) bool {
	if len(e.waiting) >= e.QueueLimit {
		return false
	}
	e.waiting = append(e.waiting, r)
	e.start()
	return true
}

// remove removes a request.
func (e *engine) remove(r *execution) {
	same := func(o *execution) bool { return o == r }
	e.waiting = slices.DeleteFunc(e.waiting, same)
	e.batch = slices.DeleteFunc(e.batch, same)
}

func (e *engine) start() {
	if !e.running {
		e.running = true
		e.clock.At(e.clock.Now(), e.step)
	}
}

// admit moves waiting requests to the batch, in the order of arrival.
func (e *engine) admit() {
	for len(e.waiting) > 0 && len(e.batch) < e.Slots && e.fits(e.waiting[0]) {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		r.remainingPrefill = e.uncachedTokens(r.prompt)
		e.batch = append(e.batch, r)
	}
}

// fits reports whether there is memory for a request in addition to those in the batch.
func (e *engine) fits(r *execution) bool {
	tokens := r.prompt.Tokens + r.output
	for _, o := range e.batch {
		tokens += o.prompt.Tokens/2 + o.generated // parts are shared: about half of a prompt is its own
	}
	return len(e.batch) == 0 || tokens <= e.MemoryTokens
}

// uncachedTokens returns the number of prompt tokens that are not in the cache.
func (e *engine) uncachedTokens(p *model.Prompt) int {
	uncached := p.Tokens
	for i, part := range p.Parts {
		if _, ok := e.cache[part.ID]; !ok {
			e.countRecomputed(p.Parts[i:])
			break
		}
		e.touch(part.ID)
		uncached -= part.Tokens
	}
	return max(uncached, 0)
}

// countRecomputed counts the tokens of the shared parts that the engine had processed before.
func (e *engine) countRecomputed(parts []model.Part) {
	for _, part := range parts[:len(parts)-1] {
		if e.computed[part.ID] {
			e.recomputedTokens += part.Tokens
		}
	}
}

func (e *engine) touch(id uint64) {
	i := slices.Index(e.lru, id)
	if i >= 0 {
		e.lru = slices.Delete(e.lru, i, i+1)
	}
	e.lru = append(e.lru, id)
}

// cachePrompt adds a prompt's parts to the cache and evicts the least recently used parts beyond the capacity.
func (e *engine) cachePrompt(p *model.Prompt) {
	for _, part := range p.Parts {
		if _, ok := e.cache[part.ID]; !ok {
			e.cache[part.ID] = part.Tokens
			e.cachedTokens += part.Tokens
		}
		e.computed[part.ID] = true
		e.touch(part.ID)
	}
	limit := e.MemoryTokens
	for _, r := range e.batch {
		limit -= r.generated
	}
	for e.cachedTokens > limit && len(e.lru) > 0 {
		oldest := e.lru[0]
		e.lru = e.lru[1:]
		e.cachedTokens -= e.cache[oldest]
		delete(e.cache, oldest)
	}
}

// step runs one step of the batch: one token for each request whose prompt has been processed, and up to PrefillChunk
// tokens of the prompts that have not.
func (e *engine) step() {
	e.admit()
	if len(e.batch) == 0 {
		e.running = false
		return
	}
	prefilled := 0
	var decoding []*execution
	for _, r := range e.batch {
		if r.remainingPrefill > 0 && prefilled < e.PrefillChunk {
			chunk := min(r.remainingPrefill, e.PrefillChunk-prefilled)
			prefilled += chunk
			r.remainingPrefill -= chunk
			if r.remainingPrefill > 0 {
				continue
			}
			e.cachePrompt(r.prompt)
		}
		if r.remainingPrefill == 0 {
			decoding = append(decoding, r)
		}
	}
	e.prefillTokens += prefilled
	duration := e.StepTime + time.Duration(len(e.batch))*e.TimePerRequest +
		time.Duration(float64(prefilled)/e.PrefillRate*float64(time.Second))
	e.busyTime += duration
	e.clock.At(e.clock.Now()+duration, func() { e.finishStep(decoding) })
}

func (e *engine) finishStep(decoding []*execution) {
	for _, r := range decoding {
		e.generate(r)
	}
	e.step()
}

// generate produces one token of a request's answer.
func (e *engine) generate(r *execution) {
	if !slices.Contains(e.batch, r) {
		return
	}
	r.generated++
	if !r.started {
		r.started = true
		e.clock.At(e.clock.Now()+e.OutputDelay, r.onFirst)
	} else if r.generated%e.TokensPerEvent == 0 {
		e.clock.At(e.clock.Now()+e.OutputDelay, r.onProgress)
	}
	if r.generated >= r.output {
		e.remove(r)
		e.clock.At(e.clock.Now()+e.OutputDelay, r.onDone)
	}
}
