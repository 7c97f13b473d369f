// Package exchange makes single HTTP exchanges over connections it keeps,
// and knows of each failure whether any byte of the request was written.
//
// fasthttp's own clients repeat requests and hide which connection carried
// one, so only its codec is used here: one request is written, once, to one
// connection, and the answer is read from that connection or from none. A
// connection is used again only when its request was written and its answer was
// read to the end.
package exchange

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/tamarindstep/tamarindstep/internal/clock"
	"github.com/tamarindstep/tamarindstep/internal/socket"
	"github.com/tamarindstep/tamarindstep/internal/stall"
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
	maxIdle    = 16
	bufferSize = 4096
	// keepAliveMargin is how much sooner than the server says a connection is
	// taken for too old.
	keepAliveMargin = 500 * time.Millisecond
)

// keepAlive finds a connection that rests and has gone silent within a few seconds.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

// unacknowledged is how long what was written to a connection may go unacknowledged until the
// connection has failed: the system alone would go on sending it for a quarter of an hour.
const unacknowledged = 2500 * time.Millisecond

type conn struct {
	*stall.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	wrote  atomic.Bool
	idle   time.Duration // when it began to be, by the clock that counts sleep
	rest   time.Duration // how long it may be idle
}

// Write notes that a byte may have gone out, then writes.
func (c *conn) Write(b []byte) (int, error) {
	c.wrote.Store(true)
	return c.Conn.Write(b)
}

// Client makes exchanges with one server.
type Client struct {
	address     string
	dialTimeout time.Duration

	mu     sync.Mutex
	idle   []*conn
	closed bool
	opened atomic.Int64
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
	c.closeIdle()
}

// Options say how an exchange is made.
type Options struct {
	// Patient is how long each wait for the server lasts at the most: for it to
	// take more of the request, for the head of the answer, and for each part of its body.
	Patient time.Duration
	// Undelimited allows an answer whose end is that of its connection. It is
	// whole only where the connection ends in order.
	Undelimited bool
	// Stable promises that the request's body isn't changed or used again, so
	// that it needn't be copied.
	Stable bool
	// Skip tells of an answer's head whether it is a surplus one, to an earlier
	// request, that is to be passed over. nil passes over none.
	Skip func(*fasthttp.ResponseHeader) bool
	// Wanted tells, right before the first byte is written, whether the request is still to be sent. A
	// connection may have taken a while to make. nil stands for yes.
	Wanted func() bool
}

// errUnwanted is the error for a request that wasn't to be sent any more.
var errUnwanted = errors.New("the request isn't wanted any more")

// maxSkipped is how many surplus answers are passed over in one exchange.
const maxSkipped = 1

// Do writes the request and reads the head of the answer. The end of the
// context breaks the exchange off by closing its connection.
func (c *Client) Do(ctx context.Context, req *fasthttp.Request, options Options) (*Answer, error) {
	conn, err := c.connect(ctx)
	if err != nil {
		return nil, &Error{Err: err}
	}
	if options.Wanted != nil && !options.Wanted() {
		c.keep(conn)
		return nil, &Error{Err: errUnwanted}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	answer := &Answer{Response: fasthttp.AcquireResponse(), client: c, conn: conn, options: options, stop: stop}
	if err := answer.exchange(req); err != nil {
		stop()
		_ = conn.Close()
		if wentSilent(err) {
			c.dropIdle()
		}
		return nil, &Error{Sent: conn.wrote.Load(), Err: err}
	}
	return answer, nil
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
	dialer := net.Dialer{Timeout: c.dialTimeout, KeepAliveConfig: keepAlive, ControlContext: socket.UserTimeout(unacknowledged)}
	raw, err := dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return nil, err
	}
	c.opened.Add(1)
	fresh := &conn{Conn: stall.New(raw, c.dialTimeout)}
	fresh.reader = bufio.NewReaderSize(raw, bufferSize)
	fresh.writer = bufio.NewWriterSize(fresh, bufferSize)
	return fresh, nil
}

// usable tells whether a kept connection is still open and silent: one that
// has ended, or carries bytes nobody asked for, is not used again.
func (c *conn) usable() bool {
	fresh := clock.System.Since(c.idle) <= c.rest && c.reader.Buffered() == 0
	return fresh && socket.Look(c.Conn) == socket.Idle
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

// wentSilent tells whether an exchange failed because nothing came in time.
func wentSilent(err error) bool {
	var e interface{ Timeout() bool } // fasthttp's isn't a net.Error
	return errors.As(err, &e) && e.Timeout()
}

// dropIdle closes the connections that are kept. It is called where one of them went silent:
// the others may have, without a reset, and each would cost a request its time.
func (c *Client) dropIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeIdle()
}

// closeIdle closes the connections that are kept; the caller holds the lock.
func (c *Client) closeIdle() {
	for _, kept := range c.idle {
		_ = kept.Close()
	}
	c.idle = nil
}

func (c *Client) keep(conn *conn) {
	conn.idle = clock.System.Now()
	_ = conn.SetReadDeadline(time.Time{})
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.idle) >= maxIdle {
		_ = conn.Close()
		return
	}
	c.idle = append(c.idle, conn)
}
