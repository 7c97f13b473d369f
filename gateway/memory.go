package gateway

import (
	"math"
	"sync"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/tamarindstep/tamarindstep/config"
	"github.com/tamarindstep/tamarindstep/core/holding"
	"github.com/tamarindstep/tamarindstep/internal/exchange"
	"github.com/tamarindstep/tamarindstep/telemetry"
)

// memory counts what is held for callers, and tells what gives way.
type memory struct {
	log      zerolog.Logger
	metrics  *telemetry.Front
	refused  *occasional
	passedOn *occasional

	mu     sync.Mutex
	budget *holding.Budget
}

func newMemory(limit int, log zerolog.Logger, metrics *telemetry.Front) *memory {
	if limit == 0 {
		limit = math.MaxInt
	}
	metrics.HeldLimit.Set(float64(limit))
	return &memory{log: log, metrics: metrics, refused: newOccasional(), passedOn: newOccasional(), budget: holding.New(limit)}
}

// heldNames are the kinds of what is held, as metrics and logs name them.
var heldNames = map[holding.Kind]string{holding.Body: "requests", holding.Answer: "answers"}

// change changes how much of something is held.
func (m *memory) change(k holding.Kind, from, to int) {
	if from == to {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Change(k, from, to)
	m.tell(k)
}

// take takes room, and tells whether there is any.
func (m *memory) take(k holding.Kind, bytes int) bool {
	if bytes == 0 {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.budget.Take(k, bytes) {
		m.giveWay(k, bytes)
		return false
	}
	m.tell(k)
	return true
}

// tell sets the gauge of a kind.
func (m *memory) tell(k holding.Kind) {
	m.metrics.Held.WithLabelValues(heldNames[k]).Set(float64(m.budget.Held(k)))
}

// giveWay counts something for which there is no room, and writes a line now and then.
func (m *memory) giveWay(k holding.Kind, bytes int) {
	m.metrics.GaveWay.WithLabelValues(heldNames[k]).Inc()
	said, text := m.refused, "no room: large requests refused unread"
	if k == holding.Answer {
		said, text = m.passedOn, "no room: answers passed on in parts"
	}
	if n := said.due(); n > 0 {
		m.log.Warn().Str("held", heldNames[k]).Int64("times", n).Int("bytes", bytes).Int("requests_bytes", m.budget.Held(holding.Body)).
			Int("answers_bytes", m.budget.Held(holding.Answer)).Int("limit_bytes", m.budget.Limit()).Msg(text)
	}
}

// holds is what is held for one request, in bytes.
type holds struct{ body, answer int }

// takeBody takes room for the body of a request, or refuses it before it is read. One whose length isn't
// known counts once it is read.
func (a *attempt) takeBody(limits config.CallerLimits) {
	length, known := bodyLength(&a.req.Header)
	if a.shed || !known || length > limits.BodyBytes {
		return
	}
	if a.service.memory.take(holding.Body, length) {
		a.holds.body = length
		return
	}
	a.shed, a.keep = true, false
	if a.refused == nil {
		a.refused = noRoom
	}
}

// countBody counts a body that was read.
func (a *attempt) countBody() {
	length := len(a.req.Body())
	a.service.memory.change(holding.Body, a.holds.body, length)
	a.holds.body = length
}

// takeAnswer takes room for the body of an answer, and returns how much of it is held at the most; ok
// is false where there is no room.
func (a *attempt) takeAnswer(answer *exchange.Answer) (most int, ok bool) {
	a.holdAnswer(0) // of a send before
	most = answer.Header.ContentLength()
	if most < 0 || most > maxHeld {
		most = maxHeld
	}
	if a.req.Header.IsHead() || answer.StatusCode() == fasthttp.StatusNotModified {
		most = 0
	}
	if !a.service.memory.take(holding.Answer, most) {
		return 0, false
	}
	a.holds.answer = most
	return most, true
}

// holdAnswer says how much of an answer is held.
func (a *attempt) holdAnswer(bytes int) {
	a.service.memory.change(holding.Answer, a.holds.answer, bytes)
	a.holds.answer = bytes
}

// returnHeld gives back what is held for the request.
func (a *attempt) returnHeld() {
	a.holdAnswer(0)
	a.service.memory.change(holding.Body, a.holds.body, 0)
	a.holds.body = 0
}
