package gateway

import (
	"math"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/tamarindstep/tamarindstep/config"
	"github.com/tamarindstep/tamarindstep/core/holding"
	"github.com/tamarindstep/tamarindstep/internal/exchange"
	"github.com/tamarindstep/tamarindstep/telemetry"
)

// memory accounts for the request and response bodies in memory and decides which are refused or not buffered.
type memory struct {
	log         zerolog.Logger
	metrics     *telemetry.Front
	gauges      map[holding.Kind]prometheus.Gauge // of the bytes held
	limitedLogs map[holding.Kind]*logLimiter

	mu     sync.Mutex
	budget *holding.Budget
}

func newMemory(limit int, log zerolog.Logger, metrics *telemetry.Front) *memory {
	if limit == 0 {
		limit = math.MaxInt
	}
	metrics.HeldBytesLimit.Set(float64(limit))
	m := &memory{
		log: log, metrics: metrics, gauges: map[holding.Kind]prometheus.Gauge{}, limitedLogs: map[holding.Kind]*logLimiter{},
		budget: holding.New(limit),
	}
	for kind, name := range kindNames {
		m.gauges[kind], m.limitedLogs[kind] = metrics.HeldBytes.WithLabelValues(name), newLogLimiter()
	}
	return m
}

// kindNames are the names of the kinds in metrics and logs.
var kindNames = map[holding.Kind]string{
	holding.Body: "requests", holding.Response: "answers", holding.Event: "events", holding.Connection: "connections",
	holding.Head: "heads",
}

// limitedTexts are the log messages for failed reservations, by kind.
var limitedTexts = map[holding.Kind]string{
	holding.Body:       "no room: large requests refused unread",
	holding.Response:   "no room: answers passed on in parts",
	holding.Event:      "no room: events passed on in parts",
	holding.Connection: "no room: connections refused unread",
	holding.Head:       "no room: requests refused for their heads",
}

// resize changes the size of a reservation.
func (m *memory) resize(k holding.Kind, from, to int) {
	if from == to {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Resize(k, from, to)
	m.updateGauge(k)
}

// reserve reserves memory and reports whether there was enough.
func (m *memory) reserve(k holding.Kind, bytes int) bool {
	if bytes == 0 {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.budget.Reserve(k, bytes) {
		m.recordRefusal(k, bytes)
		return false
	}
	m.updateGauge(k)
	return true
}

// updateGauge sets the gauge of a kind.
func (m *memory) updateGauge(k holding.Kind) {
	m.gauges[k].Set(float64(m.budget.Held(k)))
}

// recordRefusal counts a failed reservation and logs such failures at a limited rate.
func (m *memory) recordRefusal(k holding.Kind, bytes int) {
	m.metrics.MemoryLimited.WithLabelValues(kindNames[k]).Inc()
	if n := m.limitedLogs[k].due(); n > 0 {
		m.log.Warn().Str("held", kindNames[k]).Int64("times", n).Int("bytes", bytes).Int("requests_bytes", m.budget.Held(holding.Body)).
			Int("answers_bytes", m.budget.Held(holding.Response)).Int("events_bytes", m.budget.Held(holding.Event)).
			Int("connections_bytes", m.budget.Held(holding.Connection)).Int("heads_bytes", m.budget.Held(holding.Head)).
			Int("limit_bytes", m.budget.Limit()).Msg(limitedTexts[k])
	}
}

// reservation is the memory reserved for one request, in bytes.
type reservation struct{ body, response, event, head int }

// reserveConn reserves memory for the buffers of a caller's connection and returns its size. ok is false if there isn't
// enough.
func (s *Service) reserveConn() (bytes int, ok bool) {
	bytes = limitsOf(s.generation.InForce()).HeaderBytes + writeBuffer
	return bytes, s.memory.reserve(holding.Connection, bytes)
}

// headCopies is how many times the head of a request is in memory beside the buffer that it was read into: parsed, with
// the headers for the backend server, in the exchange that writes it, and as it is written.
const headCopies = 4

// reserveHead reserves memory for the copies of the head of a request, or refuses the request before its body is read.
func (a *attempt) reserveHead() {
	if a.refused != nil {
		return // there won't be any
	}
	bytes := headCopies * len(a.req.Header.RawHeaders())
	if a.service.memory.reserve(holding.Head, bytes) {
		a.reserved.head = bytes
		return
	}
	a.refused = noRoomForHead
	a.shed, a.keepAlive = true, false
}

// reserveBody reserves memory for the body of a request, or refuses the request before the body is read. Memory for a
// body of unknown length is reserved while it is read, and the body of a refused request isn't held.
func (a *attempt) reserveBody(limits config.CallerLimits) {
	length, known := bodyLength(&a.req.Header)
	if a.refused != nil || !known || length > limits.BodyBytes {
		return
	}
	if a.service.memory.reserve(holding.Body, length) {
		a.reserved.body = length
		return
	}
	a.shedForMemory()
}

// shedForMemory refuses a request for whose body there is no memory.
func (a *attempt) shedForMemory() {
	a.refused = noRoomForBody
	a.shed, a.keepAlive = true, false
}

// reserveResponse reserves memory for the body of a response and returns its maximum size; ok is false if there isn't
// enough.
func (a *attempt) reserveResponse(response *exchange.Response) (limit int, ok bool) {
	a.resizeResponse(0) // of a previous send
	limit = response.Header.ContentLength()
	if limit < 0 || limit > maxBuffer {
		limit = maxBuffer
	}
	if a.req.Header.IsHead() || response.StatusCode() == fasthttp.StatusNotModified {
		limit = 0
	}
	if !a.service.memory.reserve(holding.Response, limit) {
		return 0, false
	}
	a.reserved.response = limit
	return limit, true
}

// resizeResponse adjusts the reservation to the given number of bytes of the response.
func (a *attempt) resizeResponse(bytes int) {
	a.service.memory.resize(holding.Response, a.reserved.response, bytes)
	a.reserved.response = bytes
}

// eventCopies is how many times an unfinished event is in memory at the most: in a buffer that has grown by up to a
// quarter, and in a copy while that grows or the whole event is passed on.
const eventCopies = 3

// reserveEvent reserves memory for the next part of an event of which the given number of bytes are buffered, and
// reports whether there was enough. What is no larger than the buffer of a stream counts as part of that.
func (a *attempt) reserveEvent(buffered int) bool {
	if buffered <= relayBuffer {
		a.resizeEvent(0) // of an event before
		return true
	}
	needed := eventCopies * (buffered + relayBuffer)
	if needed <= a.reserved.event {
		return true
	}
	more := max(needed, 2*a.reserved.event) - a.reserved.event // a few large steps
	if !a.service.memory.reserve(holding.Event, more) {
		return false
	}
	a.reserved.event += more
	return true
}

// resizeEvent adjusts the reservation to the given number of bytes of an event.
func (a *attempt) resizeEvent(bytes int) {
	a.service.memory.resize(holding.Event, a.reserved.event, bytes)
	a.reserved.event = bytes
}

// releaseMemory releases the memory reserved for the request.
func (a *attempt) releaseMemory() {
	a.resizeResponse(0)
	a.resizeEvent(0)
	a.service.memory.resize(holding.Body, a.reserved.body, 0)
	a.service.memory.resize(holding.Head, a.reserved.head, 0)
	a.reserved.body, a.reserved.head = 0, 0
}
