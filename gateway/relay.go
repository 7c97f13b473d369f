package gateway

import (
	"errors"
	"io"
	"net"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/internal/exchange"
)

const (
	// maxHeld is the size of the largest answer, in bytes, that is read whole
	// before any of it is handed on; one that breaks off can then be sent again.
	maxHeld = 256 << 10
	// relayBuffer is the size of the largest part of a stream handed on at once.
	relayBuffer = 8 << 10
)

// errCaller is the error for a caller that takes no more of its answer.
var errCaller = errors.New("the caller takes no more")

// relay hands an answer on to the caller.
type relay struct {
	begun  bool // part of the answer has been written
	events events
	parts  int // of a stream that were handed on
	bytes  int // of answers that were read, without their heads
}

// tokensPerEvent is what an event of a stream is taken to hold.
const tokensPerEvent = 3

// output returns about how many tokens have been handed on.
func (r *relay) output() float64 { return float64(r.parts * tokensPerEvent) }

// resumeAt returns the event after which a stream is to be continued, "" for
// its beginning.
func (r *relay) resumeAt() string { return r.events.last }

// mayContinue tells whether another backend server's answer can take up where
// the last one broke off.
func (r *relay) mayContinue() bool { return !r.begun || r.events.resumable }

// run hands on one answer, or what it adds to one that broke off.
func (r *relay) run(a *attempt, answer *exchange.Answer) error {
	if a.route.Through.Streaming && answer.StatusCode() == fasthttp.StatusOK {
		return r.stream(a, answer)
	}
	if r.begun {
		return errors.New("no stream continues the one that broke off")
	}
	return r.whole(a, answer)
}

// whole reads an answer to its end before it hands it on, where there is room for it.
func (r *relay) whole(a *attempt, answer *exchange.Answer) error {
	most, ok := a.takeAnswer(answer)
	if !ok {
		return r.long(a, answer, nil, make([]byte, relayBuffer))
	}
	body, size, err := readBlocks(answer, most)
	r.bytes += size
	if err != nil {
		return err
	}
	if size > maxHeld {
		return r.long(a, answer, body, make([]byte, heldBlock))
	}
	a.holdAnswer(size)
	answer.Close()
	a.finish(core.Done, r.output()) // the server isn't held to its caller's pace
	r.begun = true
	r.writeHead(a, answer, size)
	if a.req.Header.IsHead() {
		return callerError(a.conn.flush())
	}
	return r.writeBlocks(a, body)
}

// heldBlock is the size of the blocks, in bytes, that a held answer is read into: each is let go of as soon as
// the caller's system has taken it.
const heldBlock = 32 << 10

// readBlocks reads an answer of which most bytes are expected, up to one more than are held of any.
func readBlocks(answer *exchange.Answer, most int) (blocks net.Buffers, size int, err error) {
	for size <= maxHeld {
		block := make([]byte, 0, blockFor(most, size))
		for len(block) < cap(block) {
			n, err := answer.Read(block[len(block):cap(block)])
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

// blockFor returns the size of the next block of an answer of which so much has been read. One of unknown length, for
// which as much as is ever held is expected, begins with a small one. There is room for a byte more, so that the end is
// met without another block.
func blockFor(most, read int) int {
	if most == maxHeld && read == 0 {
		return answerBuffer
	}
	return min(max(most-read, 0)+1, heldBlock)
}

// writeBlocks writes a body: through the connection's buffer where it is one block, as its head is sent with it then.
func (r *relay) writeBlocks(a *attempt, body net.Buffers) error {
	if len(body) == 1 {
		_, _ = a.conn.writer.Write(body[0])
		return callerError(a.conn.flush())
	}
	return callerError(a.conn.writeBuffers(&body))
}

// long hands on an answer that isn't held: what was read of it, and then parts as large as a buffer.
func (r *relay) long(a *attempt, answer *exchange.Answer, blocks net.Buffers, buffer []byte) error {
	r.begun = true
	a.held.Began()
	r.writeHead(a, answer, chunked)
	for _, block := range blocks {
		if err := r.writeChunk(a, block); err != nil {
			return err
		}
	}
	for {
		n, err := answer.Read(buffer)
		r.bytes += n
		if err != nil && err != io.EOF {
			return err
		}
		if err := r.writeChunk(a, buffer[:n]); err != nil {
			return err
		}
		if err == io.EOF {
			return r.end(a)
		}
	}
}

// stream hands events on as they come.
func (r *relay) stream(a *attempt, answer *exchange.Answer) error {
	r.events.resumable = a.route.Through.Resumable
	r.events.begin(a.meta.LastEvent)
	buffer := make([]byte, relayBuffer)
	began := false
	for {
		n, err := answer.Read(buffer)
		r.bytes += n
		if n > 0 {
			if !began {
				began = true
				a.begunAfter = a.service.clock.Since(a.began)
				a.held.Began()
			}
			r.parts++
			a.service.work.did(workParts)
			if err := r.pass(a, answer, r.events.take(buffer[:n])); err != nil {
				return err
			}
		}
		if err == io.EOF {
			if err := r.pass(a, answer, r.events.rest()); err != nil {
				return err
			}
			return r.end(a)
		}
		if err != nil {
			return err
		}
	}
}

// pass writes a part of a stream, after its head where that is still due.
func (r *relay) pass(a *attempt, answer *exchange.Answer, part []byte) error {
	if len(part) == 0 {
		return nil
	}
	if !r.begun {
		r.begun = true
		r.writeHead(a, answer, chunked)
	}
	return r.writeChunk(a, part)
}

// end writes the end of an answer in chunks.
func (r *relay) end(a *attempt) error {
	_, _ = a.conn.writer.WriteString("0\r\n\r\n")
	return callerError(a.conn.flush())
}

func (r *relay) writeChunk(a *attempt, part []byte) error {
	if len(part) == 0 {
		return nil
	}
	w := a.conn.writer
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
	return errors.Join(errCaller, err)
}

// chunked is the length of a body that is written in chunks.
const chunked = -1

// connectionHeaders concern one connection only and aren't handed on.
var connectionHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true,
}

// writeHead writes the head of the backend server's answer.
func (r *relay) writeHead(a *attempt, answer *exchange.Answer, length int) {
	w := a.conn.writer
	status := answer.StatusCode()
	_, _ = w.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + fasthttp.StatusMessage(status) + "\r\n")
	for name, value := range answer.Header.All() {
		if connectionHeaders[string(name)] {
			continue
		}
		_, _ = w.Write(name)
		_, _ = w.WriteString(": ")
		_, _ = w.Write(value)
		_, _ = w.WriteString("\r\n")
	}
	if length == chunked {
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n")
	} else {
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(length) + "\r\n")
	}
	if a.service.draining.Load() {
		a.keep = false
	}
	if !a.keep {
		_, _ = w.WriteString("Connection: close\r\n")
	}
	_, _ = w.WriteString("\r\n")
}
