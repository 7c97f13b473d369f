// Package exchange makes single HTTP exchanges over connections it keeps,
// and knows of each failure whether any byte of the request was written.
//
// fasthttp's own clients repeat requests and hide which connection carried
// one, so only its codec is used here: one request is written, once, to one
// connection, and the answer is read from that connection or from none. A
// connection is used again only when its answer was read to the end.
package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/tamarindstep/tamarindstep/internal/socket"
)

// Error is a failed exchange.
type Error struct {
	// Sent tells whether any byte of the request may have been written.
	Sent bool
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Sent {
		return "after sending: " + e.Err.Error()
	}
	return "before sending: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// NotSent tells whether an exchange failed before any byte was written.
func NotSent(err error) bool {
	var e *Error
	return errors.As(err, &e) && !e.Sent
}

// ErrUndelimited is the error for an answer whose end can't be told from a
// connection that broke off.
var ErrUndelimited = errors.New("the answer has neither a length nor chunks")

const (
	idleFor    = 20 * time.Second
	maxIdle    = 64
	bufferSize = 4096
)

type conn struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	wrote  bool
	idle   time.Time
}

// Write notes that a byte may have gone out, then writes.
func (c *conn) Write(b []byte) (int, error) {
	c.wrote = true
	return c.Conn.Write(b)
}

// Client makes exchanges with one server.
type Client struct {
	address     string
	dialTimeout time.Duration

	mu     sync.Mutex
	idle   []*conn
	closed bool
}

// NewClient returns a client of the server at an IP and port.
func NewClient(address string, dialTimeout time.Duration) *Client {
	return &Client{address: address, dialTimeout: dialTimeout}
}

// Close closes the connections that are kept. Exchanges under way go on.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, kept := range c.idle {
		_ = kept.Close()
	}
	c.idle = nil
}

// Answer is an answer whose head has been read and whose body is to be read
// from it. It must be closed.
type Answer struct {
	*fasthttp.Response
	client  *Client
	conn    *conn
	patient time.Duration
	ended   bool
	stop    func() bool
}

// Do writes the request and reads the head of the answer. Each wait for the
// server, for the head and for each part of the body, lasts at most patient.
// The end of the context breaks the exchange off by closing its connection.
func (c *Client) Do(ctx context.Context, req *fasthttp.Request, patient time.Duration) (*Answer, error) {
	conn, err := c.connect(ctx)
	if err != nil {
		return nil, &Error{Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	resp := fasthttp.AcquireResponse()
	err = exchangeHead(conn, req, resp, patient)
	if err == nil && undelimited(resp) {
		err = ErrUndelimited
	}
	if err != nil {
		stop()
		_ = conn.Close()
		fasthttp.ReleaseResponse(resp)
		return nil, &Error{Sent: conn.wrote, Err: err}
	}
	return &Answer{Response: resp, client: c, conn: conn, patient: patient, stop: stop}, nil
}

func exchangeHead(conn *conn, req *fasthttp.Request, resp *fasthttp.Response, patient time.Duration) error {
	conn.wrote = false
	if err := conn.SetDeadline(time.Now().Add(patient)); err != nil {
		return err
	}
	if err := req.Write(conn.writer); err != nil {
		return err
	}
	if err := conn.writer.Flush(); err != nil {
		return err
	}
	resp.StreamBody = true
	return resp.ReadLimitBody(conn.reader, 0)
}

// undelimited tells whether the body ends only with the connection.
func undelimited(resp *fasthttp.Response) bool {
	return resp.BodyStream() != nil && resp.Header.ContentLength() < -1
}

// Read reads the body. Its end is io.EOF only where the whole body was read.
func (a *Answer) Read(p []byte) (int, error) {
	stream := a.BodyStream()
	if stream == nil || a.ended {
		a.ended = true
		return 0, io.EOF
	}
	if err := a.conn.SetReadDeadline(time.Now().Add(a.patient)); err != nil {
		return 0, err
	}
	n, err := stream.Read(p)
	a.ended = err == io.EOF
	return n, err
}

// Close ends the exchange. The connection is kept where the answer was read to
// its end, and closed otherwise, which also tells the server to stop.
func (a *Answer) Close() {
	if a.conn == nil {
		return
	}
	conn := a.conn
	a.conn = nil
	whole := a.stop() && (a.ended || a.BodyStream() == nil)
	keep := whole && !a.ConnectionClose() && conn.reader.Buffered() == 0
	if !whole {
		_ = conn.Close()
	}
	_ = a.CloseBodyStream()
	fasthttp.ReleaseResponse(a.Response)
	if keep {
		a.client.keep(conn)
	} else {
		_ = conn.Close()
	}
}

func (c *Client) connect(ctx context.Context) (*conn, error) {
	for {
		kept := c.takeIdle()
		if kept == nil {
			break
		}
		if kept.usable() {
			return kept, nil
		}
		_ = kept.Close()
	}
	dialer := net.Dialer{Timeout: c.dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return nil, err
	}
	fresh := &conn{Conn: raw}
	fresh.reader = bufio.NewReaderSize(raw, bufferSize)
	fresh.writer = bufio.NewWriterSize(fresh, bufferSize)
	return fresh, nil
}

// usable tells whether a kept connection is still open and silent: one that
// has ended, or carries bytes nobody asked for, is not used again.
func (c *conn) usable() bool {
	fresh := time.Since(c.idle) <= idleFor && c.reader.Buffered() == 0
	return fresh && socket.Look(c.Conn) == socket.Silent
}

func (c *Client) takeIdle() *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) == 0 {
		return nil
	}
	last := c.idle[len(c.idle)-1]
	c.idle = c.idle[:len(c.idle)-1]
	return last
}

func (c *Client) keep(conn *conn) {
	conn.idle = time.Now()
	_ = conn.SetDeadline(time.Time{})
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.idle) >= maxIdle {
		_ = conn.Close()
		return
	}
	c.idle = append(c.idle, conn)
}
