package exchange

import (
	"bytes"
	"errors"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// Response is a response whose head has been read; the body is read with Read. It must be closed.
type Response struct {
	*fasthttp.Response
	client  *Client
	conn    *conn
	options Options
	body    io.Reader // nil for no body
	written chan error
	// writeErr is the error of writing the request concurrently, once that has ended.
	writeErr error
	early    bool // the head arrived before the request was written
	ended    bool
	// bodyRead is the number of bytes of the body read so far.
	bodyRead int
	// received is the number of bytes received in the whole exchange, set when it is closed.
	received int
	stop     func() bool
}

// inlineBody is the size of the largest request body, in bytes, that is written before reading begins: it fits into the
// send buffer of a connection.
const inlineBody = 2048

// exchange writes the request and reads the head of the response.
func (a *Response) exchange(req *fasthttp.Request) error {
	a.conn.wrote.Store(false)
	a.conn.received = 0
	a.conn.SetTimeout(a.options.Timeout)
	if err := a.conn.SetReadDeadline(time.Now().Add(a.options.Timeout)); err != nil {
		return err
	}
	if err := a.write(req); err != nil {
		return err
	}
	if err := a.readHead(); err != nil {
		return err
	}
	return a.openBody(req)
}

// write writes the request. A long one is written concurrently with reading, because a server may respond before it has
// read all of it.
func (a *Response) write(req *fasthttp.Request) error {
	if len(req.Body()) <= inlineBody {
		return a.conn.writeAll(req)
	}
	own := &fasthttp.Request{}
	if a.options.BodyStable {
		req.Header.CopyTo(&own.Header)
		own.SetBodyRaw(req.Body())
	} else {
		req.CopyTo(own)
	}
	written := make(chan error, 1)
	a.written = written
	conn := a.conn
	go func() { written <- conn.writeAll(own) }()
	return nil
}

func (c *conn) writeAll(req *fasthttp.Request) error {
	if err := req.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

// readHead reads heads until there is a final one that belongs to the request.
func (a *Response) readHead() error {
	for skipped := 0; ; skipped++ {
		if err := a.readFinalHead(); err != nil {
			return err
		}
		if a.options.Skip == nil || !a.options.Skip(&a.Header) {
			return nil
		}
		if skipped == maxSkipped {
			return ErrUnmatchedResponse
		}
		if err := a.skipBody(); err != nil {
			return err
		}
	}
}

// skipBody discards the body of a response to an earlier request.
func (a *Response) skipBody() error {
	if a.undelimited() {
		return ErrUnmatchedResponse
	}
	body := a.bodyReader()
	if body == nil {
		return nil
	}
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxSkippedBytes+1))
	if n > maxSkippedBytes {
		return &LimitError{Part: PartSkipped, Limit: maxSkippedBytes}
	}
	return err
}

// openBody prepares reading the body and checks whether the request has been written.
func (a *Response) openBody(req *fasthttp.Request) error {
	if a.written != nil {
		select {
		case a.writeErr = <-a.written:
			a.written = nil
			a.early = a.writeErr != nil
		default:
			a.early = true
		}
	}
	if !req.Header.IsHead() {
		a.body = a.bodyReader()
	}
	if a.body != nil && a.undelimited() && !a.options.AllowUndelimited {
		return ErrUndelimited
	}
	if a.body != nil && a.Header.ContentLength() > a.maxBody() {
		return a.bodyTooLarge()
	}
	return nil
}

// maxBody returns the size in bytes of the largest body.
func (a *Response) maxBody() int {
	if a.options.MaxBody == 0 || a.options.AnySize && a.Framing() == Sized {
		return math.MaxInt
	}
	return a.options.MaxBody
}

func (a *Response) bodyTooLarge() error {
	return &LimitError{Part: PartBody, Limit: a.options.MaxBody}
}

// undelimited reports whether the body ends only with the connection.
func (a *Response) undelimited() bool { return a.Framing() == UntilClose }

// Framing is how the end of a response's body is marked.
type Framing string

// Framings of response bodies.
const (
	Sized      Framing = "length" // by its length in bytes
	Chunked    Framing = "chunks" // by the last chunk
	UntilClose Framing = "close"  // by the end of the connection
)

// Framing returns how the end of the response's body is marked.
func (a *Response) Framing() Framing {
	switch n := a.Header.ContentLength(); {
	case n >= 0 || hasNoBody(a.StatusCode()):
		return Sized
	case n == -1:
		return Chunked
	default:
		return UntilClose
	}
}

// bodyReader returns a reader of the body, nil for no body.
func (a *Response) bodyReader() io.Reader {
	if hasNoBody(a.StatusCode()) {
		return nil
	}
	switch n := a.Header.ContentLength(); {
	case n == 0:
		return nil
	case n > 0:
		return &fixedBody{src: a.conn.reader, left: n}
	case n == -1:
		return &chunkedBody{src: a.conn.reader}
	default:
		return a.conn.reader
	}
}

// hasNoBody reports whether responses with a status never have a body.
func hasNoBody(status int) bool {
	return status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// Read reads the body. It returns io.EOF only after the whole body has been read, as far as this side of the connection
// can know if its end isn't marked.
func (a *Response) Read(p []byte) (int, error) {
	if a.body == nil || a.ended {
		a.ended = true
		return 0, io.EOF
	}
	if err := a.conn.SetReadDeadline(time.Now().Add(a.options.Timeout)); err != nil {
		return 0, err
	}
	n, err := a.body.Read(p)
	if err == io.EOF && a.undelimited() {
		err = a.unmarkedEnd()
	}
	a.bodyRead += n
	if a.bodyRead > a.maxBody() {
		return 0, a.bodyTooLarge()
	}
	a.ended = err == io.EOF
	return n, err
}

// Received returns the number of bytes received so far, with heads and all else that isn't body.
func (a *Response) Received() int {
	if a.conn == nil {
		return a.received
	}
	return a.conn.received
}

// Close ends the exchange. The connection is reused if the response was read to its end and closed otherwise, which
// also signals the server to stop.
func (a *Response) Close() {
	if a.conn == nil {
		return
	}
	conn := a.conn
	a.conn, a.received = nil, conn.received
	whole := a.stop() && (a.ended || a.body == nil)
	reusable := whole && !a.early && !a.ConnectionClose() && !a.undelimited() && conn.reader.Buffered() == 0
	if !reusable {
		_ = conn.Close()
		return
	}
	conn.idleLimit = idleLimitFrom(a.Header.Peek("Keep-Alive"))
	a.client.putIdle(conn)
}

// idleLimitFrom returns how long a connection may be idle according to a Keep-Alive header.
func idleLimitFrom(keepAlive []byte) time.Duration {
	_, value, ok := bytes.Cut(keepAlive, []byte("timeout="))
	if !ok {
		return defaultIdleLimit
	}
	digits, _, _ := strings.Cut(string(value), ",")
	seconds, err := strconv.Atoi(strings.TrimSpace(digits))
	if err != nil || seconds < 0 {
		return defaultIdleLimit
	}
	return min(defaultIdleLimit, time.Duration(seconds)*time.Second-keepAliveMargin)
}

// ErrUnmatchedResponse is the error for a connection that carries responses to other requests.
var ErrUnmatchedResponse = errors.New("the answer belongs to another request")

// fixedBody is a body of a given length.
type fixedBody struct {
	src  io.Reader
	left int
}

// Read implements io.Reader.
func (b *fixedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := b.src.Read(p[:min(len(p), b.left)])
	b.left -= n
	if b.left == 0 {
		return n, io.EOF
	}
	return n, unexpectedEnd(err)
}
