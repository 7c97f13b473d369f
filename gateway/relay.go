package gateway

import (
	"bytes"
	"errors"
	"io"
	"net"
	"strconv"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/tamarindstep/tamarindstep/back"
	"github.com/tamarindstep/tamarindstep/internal/exchange"
)

const (
	// maxBuffer is the size in bytes of the largest response that is read whole before it is relayed; one that is
	// truncated can then be retried.
	maxBuffer = 256 << 10
	// relayBuffer is the size in bytes of the largest part of a stream relayed at once.
	relayBuffer = 8 << 10
)

// errCallerStopped is the error for a caller that stopped reading its response.
var errCallerStopped = errors.New("caller stopped reading the response")

// relay relays responses to the caller.
type relay struct {
	begun bool // part of the response has been written
	// reported is whether the core has been told that the backend server's answer has begun.
	reported bool
	events   events
	parts    int // parts of a stream relayed
	bytes    int // response bytes read, without heads
	// received is the number of bytes received in the last exchange, with heads and all else that isn't body.
	received int

	framing    exchange.Framing // of the last response
	untilClose bool             // the end of what is relayed is marked only by closing the caller's connection
	// server is the state of the backend server after the last response ended with its connection, "" if its end was marked.
	server back.Liveness
}

// tokensPerEvent is the estimated number of tokens in an event of a stream.
const tokensPerEvent = 3

// outputTokens returns the estimated number of tokens relayed.
func (r *relay) outputTokens() float64 { return float64(r.parts * tokensPerEvent) }

// lastEventID returns the event after which a stream is to be resumed, "" for its beginning.
func (r *relay) lastEventID() string { return r.events.lastID }

// canResume reports whether another backend server's response can continue the truncated one.
func (r *relay) canResume() bool { return !r.begun || r.events.resumable }

// addTo adds to a log line how the last response was framed, how many bytes of responses were read, and whether the
// last one ended within an event.
func (r *relay) addTo(line *zerolog.Event) *zerolog.Event {
	return line.Str("framing", string(r.framing)).Int("answer_bytes", r.bytes).Int("received_bytes", r.received).Bool("within_event", r.events.scanner.withinEvent()).Str("server", string(r.server))
}

// errNotResumed is the error for a response that doesn't resume a truncated stream.
var errNotResumed = errors.New("response does not resume the truncated stream")

// run relays one response, or what it adds to a truncated one.
func (r *relay) run(a *attempt, response *exchange.Response) error {
	r.framing, r.server = response.Framing(), ""
	if a.req.Header.IsHead() {
		r.framing = exchange.Sized // there is no body
	}
	if a.route.Through.Streaming && response.StatusCode() == fasthttp.StatusOK && !a.req.Header.IsHead() {
		return r.relayStream(a, response)
	}
	if r.begun {
		return errNotResumed
	}
	return r.relayWhole(a, response)
}

// relayWhole reads a response to its end before relaying it, if there is memory for it.
func (r *relay) relayWhole(a *attempt, response *exchange.Response) error {
	expected, ok := a.reserveResponse(response)
	if !ok {
		return r.relayChunked(a, response, nil, make([]byte, relayBuffer))
	}
	body, size, err := readBlocks(response, expected)
	r.bytes += size
	if err != nil {
		return err
	}
	if size > maxBuffer {
		return r.relayChunked(a, response, body, make([]byte, blockSize))
	}
	a.resizeResponse(size)
	response.Close()
	if err := r.checkUnmarkedEnd(a); err != nil {
		return err
	}
	a.finish(ending(response.StatusCode()), r.outputTokens()) // a slow caller must not keep the backend server busy
	r.begun = true
	r.writeHead(a, response, r.lengthOr(size))
	if a.req.Header.IsHead() {
		return callerError(a.conn.flush())
	}
	if err := r.writeBlocks(a, body); err != nil {
		return err
	}
	r.allowClose(a)
	return nil
}

// blockSize is the size of the blocks, in bytes, that a buffered response is read into; each is released as soon as the
// kernel has accepted it.
const blockSize = 32 << 10

// readBlocks reads a response with an expected size, up to one byte more than maxBuffer.
func readBlocks(response *exchange.Response, expected int) (blocks net.Buffers, size int, err error) {
	for size <= maxBuffer {
		block := make([]byte, 0, blockFor(expected, size))
		for len(block) < cap(block) {
			n, err := response.Read(block[len(block):cap(block)])
			block = block[:len(block)+n]
			size += n
			if err == io.EOF && len(block) == 0 && len(blocks) > 0 {
				return blocks, size, nil
			}
			if err == io.EOF {
				return append(blocks, block), size, nil
			}
			if err != nil {
				return nil, size, err
			}
		}
		blocks = append(blocks, block)
	}
	return blocks, size, nil
}

// blockFor returns the size of the next block after the given number of bytes. A response of unknown length, for which
// maxBuffer bytes are expected, begins with a small block. Each block has room for one more byte, so that the end is
// found without another block.
func blockFor(expected, read int) int {
	if expected == maxBuffer && read == 0 {
		return writeBuffer
	}
	return min(max(expected-read, 0)+1, blockSize)
}

// writeBlocks writes a body. A single block goes through the connection's buffer, so that it is sent together with the
// head.
func (r *relay) writeBlocks(a *attempt, body net.Buffers) error {
	if len(body) == 1 {
		_, _ = a.conn.writer.Write(body[0])
		return callerError(a.conn.flush())
	}
	return callerError(a.conn.writeBuffers(&body))
}

// relayChunked relays a response that isn't buffered whole: the blocks read so far, then parts of up to the buffer's
// size.
func (r *relay) relayChunked(a *attempt, response *exchange.Response, blocks net.Buffers, buffer []byte) error {
	r.begun = true
	a.answeredAt = time.Now()
	a.scheduled.ResponseBegan()
	r.writeHead(a, response, r.lengthOr(chunked))
	for _, block := range blocks {
		if err := r.writeChunk(a, block); err != nil {
			return err
		}
	}
	for {
		n, err := response.Read(buffer)
		r.bytes += n
		if err != nil && err != io.EOF {
			return err
		}
		if err := r.writeChunk(a, buffer[:n]); err != nil {
			return err
		}
		if err == io.EOF {
			if err := r.checkUnmarkedEnd(a); err != nil {
				return err
			}
			return r.writeEnd(a)
		}
	}
}

// relayStream relays a stream as it arrives, whole events at a time if it can be resumed.
func (r *relay) relayStream(a *attempt, response *exchange.Response) error {
	r.events.opaque = !isEventStream(response)
	if r.begun && r.events.opaque {
		return errNotResumed
	}
	r.events.resumable = a.route.Through.Resumable && !r.events.opaque
	r.events.begin(a.meta.LastEvent)
	buffer := make([]byte, relayBuffer)
	began := false
	r.reported = false
	for {
		if err := r.reserveEvent(a, response); err != nil {
			return err
		}
		n, err := response.Read(buffer)
		r.bytes += n
		if n > 0 {
			if !began {
				began = true
				a.recordFirstPart()
			}
			if err := r.relayPart(a, response, buffer[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return r.endStream(a, response, began)
		}
		if err != nil {
			return err
		}
	}
}

// recordFirstPart records that the first part of a stream was received.
func (a *attempt) recordFirstPart() {
	a.firstPartAfter = a.service.clock.Since(a.began)
	a.answeredAt = time.Now()
	a.observeFirstEvent()
}

// relayPart relays what can be relayed of a stream after a part of it was received.
func (r *relay) relayPart(a *attempt, response *exchange.Response, part []byte) error {
	r.parts++
	a.service.work.add(workParts)
	whole := r.events.push(part)
	r.reportBegin(a, whole)
	if err := r.writePart(a, response, whole); err != nil {
		return err
	}
	return r.events.checkLimits()
}

// reportBegin reports once that the answer has begun. A stream that may be resumed begins with its first whole event, which
// binds it to the version of its backend server.
func (r *relay) reportBegin(a *attempt, part []byte) {
	if r.reported || len(part) == 0 && r.events.resumable {
		return
	}
	r.reported = true
	a.scheduled.ResponseBegan()
}

// errEventTooLarge is the error for a stream that resumes another with an event that is too large to compare.
var errEventTooLarge = errors.New("no memory for the first event of a resumed stream")

// reserveEvent reserves memory for the next part of an unfinished event. If there is none, the stream is passed on as it
// arrives from there on.
func (r *relay) reserveEvent(a *attempt, response *exchange.Response) error {
	if a.reserveEvent(len(r.events.partial)) {
		return nil
	}
	partial, ok := r.events.passThrough()
	if !ok {
		return errEventTooLarge
	}
	err := r.writePart(a, response, partial)
	a.resizeEvent(0)
	return err
}

// eventStreamType is the media type of server-sent events.
const eventStreamType = "text/event-stream"

// isEventStream reports whether a response of a streaming route is a stream of events, as is one without a type.
func isEventStream(response *exchange.Response) bool {
	mediaType := response.Header.ContentType()
	return len(mediaType) == 0 || bytes.HasPrefix(mediaType, []byte(eventStreamType))
}

// endStream ends the relaying of a stream whose end was read, unless that isn't the end of the whole stream. began is
// whether any part of this response arrived.
func (r *relay) endStream(a *attempt, response *exchange.Response, began bool) error {
	switch {
	case r.events.scanner.withinEvent():
		return errWithinEvent
	case r.framing == exchange.UntilClose && !began && !r.events.opaque && r.events.lastID == "":
		return errNoEvents
	}
	if err := r.checkUnmarkedEnd(a); err != nil {
		return err
	}
	r.beginStream(a, response) // it may have had no event
	if err := r.writeChunk(a, r.events.remainder()); err != nil {
		return err
	}
	return r.writeEnd(a)
}

var (
	// errWithinEvent is the error for a stream that ended within an event.
	errWithinEvent = errors.New("stream ended within an event")
	// errNoEvents is the error for a stream whose connection ended before its first event.
	errNoEvents = errors.New("connection ended before the first event of a stream")
)

// lengthOr returns the length with which the last response is relayed, given that of one whose end is marked.
func (r *relay) lengthOr(marked int) int {
	if r.framing == exchange.UntilClose {
		return untilClose
	}
	return marked
}

// writePart writes a part of a stream, preceded by the head if that hasn't been written yet.
func (r *relay) writePart(a *attempt, response *exchange.Response, part []byte) error {
	if len(part) == 0 {
		return nil
	}
	r.beginStream(a, response)
	return r.writeChunk(a, part)
}

// beginStream writes the head of a stream if that hasn't been written yet.
func (r *relay) beginStream(a *attempt, response *exchange.Response) {
	if r.begun {
		return
	}
	r.begun = true
	r.writeHead(a, response, r.lengthOr(chunked))
}

// writeEnd marks the end of a response, unless closing the connection does.
func (r *relay) writeEnd(a *attempt) error {
	if !r.untilClose {
		_, _ = a.conn.writer.WriteString("0\r\n\r\n")
	}
	if err := a.conn.flush(); err != nil {
		return callerError(err)
	}
	r.allowClose(a)
	return nil
}

// allowClose lets the caller's connection be closed in order after a response whose end is marked only by that.
func (r *relay) allowClose(a *attempt) {
	if r.untilClose {
		a.conn.ResetOnClose(false)
	}
}

func (r *relay) writeChunk(a *attempt, part []byte) error {
	if len(part) == 0 {
		return nil
	}
	w := a.conn.writer
	if r.untilClose {
		_, _ = w.Write(part)
		return callerError(a.conn.flush())
	}
	_, _ = w.WriteString(strconv.FormatInt(int64(len(part)), 16))
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(part)
	_, _ = w.WriteString("\r\n")
	return callerError(a.conn.flush())
}

func callerError(err error) error {
	if err == nil {
		return nil
	}
	return errors.Join(errCallerStopped, err)
}
