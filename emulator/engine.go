package emulator

import (
	"slices"
	"time"

	"github.com/tamarindstep/tamarindstep/internal/eventqueue"
	"github.com/tamarindstep/tamarindstep/model"
)

// Engine is how a model engine runs its batch.
type Engine struct {
	Slots     int           // requests in a batch
	Queue     int           // requests that wait beyond that
	Memory    int           // tokens of prompts and answers that are kept
	Chunk     int           // tokens of a prompt that are read in one step
	Step      time.Duration // the least that a step takes
	PerSlot   time.Duration // for each request in the batch
	ReadRate  float64       // tokens of prompts read in a second
	FirstWait time.Duration // before an answer's first token
	Stride    int           // tokens in one event of a stream
}

// DefaultEngine is an engine of the size the users have today; the figures are
// those of their deployment's description.
var DefaultEngine = Engine{
	Slots: 64, Queue: 134, Memory: 570_274, Chunk: 4096,
	Step: 5090 * time.Microsecond, PerSlot: 30 * time.Microsecond,
	ReadRate: 51_100, FirstWait: 50 * time.Millisecond, Stride: 3,
}

// run is one request at an engine.
type run struct {
	prompt  *model.Prompt
	output  int
	unread  int // tokens of the prompt
	made    int // tokens of the answer
	started bool
	// first and each are called with the first and each further event of the
	// answer, done with its end.
	first func()
	each  func()
	done  func()
}

// engine is one engine at work.
type engine struct {
	Engine
	time    *eventqueue.Queue
	batch   []*run
	waiting []*run
	kept    map[uint64]int // tokens of each part
	order   []uint64       // of the parts, the one unused the longest first
	held    int            // tokens of the parts kept
	busy    bool

	read    int // tokens of prompts
	reread  int // of parts shared with other requests that had been read before
	seen    map[uint64]bool
	working time.Duration
}

func newEngine(shape Engine, time *eventqueue.Queue) *engine {
	return &engine{Engine: shape, time: time, kept: map[uint64]int{}, seen: map[uint64]bool{}}
}

// accept takes a request, or turns it away where the queue is full.
func (e *engine) accept(r *run) bool {
	if len(e.waiting) >= e.Queue {
		return false
	}
	e.waiting = append(e.waiting, r)
	e.wake()
	return true
}

// drop takes back a request whose caller has left.
func (e *engine) drop(r *run) {
	same := func(o *run) bool { return o == r }
	e.waiting = slices.DeleteFunc(e.waiting, same)
	e.batch = slices.DeleteFunc(e.batch, same)
}

func (e *engine) wake() {
	if !e.busy {
		e.busy = true
		e.time.At(e.time.Now(), e.step)
	}
}

// admit fills the batch with what waits, in the order it came.
func (e *engine) admit() {
	for len(e.waiting) > 0 && len(e.batch) < e.Slots && e.fits(e.waiting[0]) {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		r.unread = e.find(r.prompt)
		e.batch = append(e.batch, r)
	}
}

// fits tells whether there is memory for a request beside those that run.
func (e *engine) fits(r *run) bool {
	sum := r.prompt.Tokens + r.output
	for _, o := range e.batch {
		sum += o.prompt.Tokens/2 + o.made // parts are shared: about half is its own
	}
	return len(e.batch) == 0 || sum <= e.Memory
}

// find returns how much of a prompt is to be read.
func (e *engine) find(p *model.Prompt) int {
	unread := p.Tokens
	for i, part := range p.Parts {
		if _, ok := e.kept[part.ID]; !ok {
			e.countAgain(p.Parts[i:])
			break
		}
		e.touch(part.ID)
		unread -= part.Tokens
	}
	return max(unread, 0)
}

// countAgain counts the shared ones among parts that are read though some engine
// had read them.
func (e *engine) countAgain(parts []model.Part) {
	for _, part := range parts[:len(parts)-1] {
		if e.seen[part.ID] {
			e.reread += part.Tokens
		}
	}
}

func (e *engine) touch(id uint64) {
	i := slices.Index(e.order, id)
	if i >= 0 {
		e.order = slices.Delete(e.order, i, i+1)
	}
	e.order = append(e.order, id)
}

// keep puts a prompt's parts into the memory; those unused the longest give way.
func (e *engine) keep(p *model.Prompt) {
	for _, part := range p.Parts {
		if _, ok := e.kept[part.ID]; !ok {
			e.kept[part.ID] = part.Tokens
			e.held += part.Tokens
		}
		e.seen[part.ID] = true
		e.touch(part.ID)
	}
	room := e.Memory
	for _, r := range e.batch {
		room -= r.made
	}
	for e.held > room && len(e.order) > 0 {
		oldest := e.order[0]
		e.order = e.order[1:]
		e.held -= e.kept[oldest]
		delete(e.kept, oldest)
	}
}

// step runs one step of the batch: a token for each request that is being
// answered, and a piece of the first prompt that is still to be read.
func (e *engine) step() {
	e.admit()
	if len(e.batch) == 0 {
		e.busy = false
		return
	}
	reading := 0
	var ready []*run
	for _, r := range e.batch {
		if r.unread > 0 && reading < e.Chunk {
			piece := min(r.unread, e.Chunk-reading)
			reading += piece
			r.unread -= piece
			if r.unread > 0 {
				continue
			}
			e.keep(r.prompt)
		}
		if r.unread == 0 {
			ready = append(ready, r)
		}
	}
	e.read += reading
	took := e.Step + time.Duration(len(e.batch))*e.PerSlot +
		time.Duration(float64(reading)/e.ReadRate*float64(time.Second))
	e.working += took
	e.time.At(e.time.Now()+took, func() { e.finishStep(ready) })
}

func (e *engine) finishStep(ready []*run) {
	for _, r := range ready {
		e.token(r)
	}
	e.step()
}

// token makes one token of a request's answer.
func (e *engine) token(r *run) {
	if !slices.Contains(e.batch, r) {
		return
	}
	r.made++
	if !r.started {
		r.started = true
		e.time.At(e.time.Now()+e.FirstWait, r.first)
	} else if r.made%e.Stride == 0 {
		e.time.At(e.time.Now()+e.FirstWait, r.each)
	}
	if r.made >= r.output {
		e.drop(r)
		e.time.At(e.time.Now()+e.FirstWait, r.done)
	}
}
