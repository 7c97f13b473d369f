package gateway

import (
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/tamarindstep/tamarindstep/config"
	"github.com/tamarindstep/tamarindstep/core/holding"
)

// bodyTimeout is the time limit for reading a body.
const bodyTimeout = 30 * time.Second

var (
	// errNoRoom is the error for a body of unknown length for the rest of which there is no memory.
	errNoRoom = errors.New("no memory for the rest of the body")
	// errStopping is the error for a body that isn't read because the router stops.
	errStopping = errors.New("the router stops")
	// errTooLarge is the error for a body of unknown length that turns out to be too large.
	errTooLarge = errors.New("body too large")
)

// readBody reads the body of a request whose header has been read. Memory must be reserved for one of known length; for
// another it is reserved step by step, and the request is shed if there is none for the next step.
func (a *attempt) readBody(limits config.CallerLimits) (*refusal, error) {
	length, known := bodyLength(&a.req.Header)
	if length > limits.BodyBytes {
		return bodyTooLarge, nil
	}
	a.conn.reading.Store(true)
	defer a.conn.reading.Store(false)
	if err := a.conn.expectBody(a.req); err != nil {
		return nil, err
	}
	if a.service.stop.cutting.Load() {
		return nil, errStopping
	}
	if !known {
		a.conn.limitEncoded(limits.BodyBytes)
		defer a.conn.endEncoded()
	}
	var err error
	switch {
	case a.refused != nil:
		err = a.discardBody(limits.BodyBytes)
	case known:
		err = a.readSized(length)
	default:
		err = a.readChunks(limits.BodyBytes)
	}
	switch {
	case a.conn.encodedExceeded():
		return bodyTooLarge, nil
	case errors.Is(err, errNoRoom):
		a.shedForMemory()
		return nil, nil
	case errors.Is(err, errTooLarge):
		return bodyTooLarge, nil
	default:
		return nil, err
	}
}

// expectBody asks a caller that waits for it to send the body, and limits the time for that.
func (c *callerConn) expectBody(req *fasthttp.Request) error {
	if req.MayContinue() {
		if _, err := c.writer.WriteString("HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return err
		}
		if err := c.flush(); err != nil {
			return err
		}
	}
	return c.SetReadDeadline(time.Now().Add(bodyTimeout))
}

// discardBody reads the body of a request that is refused, without holding it.
func (a *attempt) discardBody(largest int) error {
	if length, known := bodyLength(&a.req.Header); known {
		_, err := a.conn.reader.Discard(length)
		return err
	}
	if err := a.req.ContinueReadBodyStream(a.conn.reader, largest, false); err != nil {
		return err
	}
	_, err := io.CopyN(io.Discard, a.req.BodyStream(), int64(largest)+1)
	switch err {
	case nil:
		return errTooLarge
	case io.EOF:
		return nil
	default:
		return err
	}
}

// readSized reads a body of known length into a buffer of exactly that size.
func (a *attempt) readSized(length int) error {
	if length == 0 {
		return a.req.ContinueReadBody(a.conn.reader, 0, false)
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(a.conn.reader, body); err != nil {
		return err
	}
	a.req.SetBodyRaw(body)
	return nil
}

// readChunks reads a body in chunks into a buffer that grows up to the size of the largest body.
func (a *attempt) readChunks(largest int) error {
	if err := a.req.ContinueReadBodyStream(a.conn.reader, largest, false); err != nil {
		return err
	}
	chunks := a.req.BodyStream()
	var body []byte
	for {
		var err error
		if body, err = a.growIfFull(body, largest); err != nil {
			return err
		}
		n, err := readPart(chunks, body)
		body = body[:len(body)+n]
		if err == io.EOF {
			a.setBody(body)
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// setBody replaces the stream from which a body was read by the body.
func (a *attempt) setBody(body []byte) {
	a.req.SetBodyRaw(body)
	if len(body) == 0 {
		a.req.Header.SetContentLength(0)
	}
}

// readPart reads into the free part of a buffer. If that is full, anything but the end of the body makes it too large.
func readPart(chunks io.Reader, buffer []byte) (int, error) {
	if len(buffer) < cap(buffer) {
		return chunks.Read(buffer[len(buffer):cap(buffer)])
	}
	n, err := chunks.Read(make([]byte, 1))
	if n > 0 {
		return 0, errTooLarge
	}
	return 0, err
}

// growIfFull returns a buffer with the same bytes and room for more, unless it has the size of the largest body. It
// reserves the memory for a larger buffer before it allocates that, and holds both until the bytes are copied.
func (a *attempt) growIfFull(body []byte, largest int) ([]byte, error) {
	if len(body) < cap(body) || cap(body) == largest {
		return body, nil
	}
	size := holding.NextSize(cap(body), largest)
	if !a.service.memory.reserve(holding.Body, size) {
		return nil, errNoRoom
	}
	larger := make([]byte, len(body), size)
	copy(larger, body)
	a.service.memory.resize(holding.Body, cap(body), 0)
	a.reserved.body = size
	return larger, nil
}
