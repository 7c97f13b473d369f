// Package exchange performs single HTTP exchanges over reused connections, and reports for each failure whether any
// byte of the request was written.
//
// The clients of fasthttp retry requests and don't reveal which connection was used, so only its codec is used here: a
// request is written once, to one connection, and the response is read from that connection only. A connection is
// reused only after its request was written and its response was read to the end.
package exchange

import (
	"bufio"
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/tamarindstep/tamarindstep/internal/clock"
	"github.com/tamarindstep/tamarindstep/internal/socket"
	"github.com/tamarindstep/tamarindstep/internal/stall"
)

// Error is the error of a failed exchange.
type Error struct {
	// Sent reports whether any byte of the request may have been written.
	Sent bool
	// Received is the number of bytes that the server sent.
	Received int
	Err      error
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

// NotSent reports whether an exchange failed before any byte was written.
func NotSent(err error) bool {
	var e *Error
	return errors.As(err, &e) && !e.Sent
}

// Received returns the number of bytes that the server sent before the error of an exchange.
func Received(err error) int {
	var e *Error
	if !errors.As(err, &e) {
		return 0
	}
	return e.Received
}

// ErrUndelimited is the error for a response whose end can't be distinguished from a broken connection.
var ErrUndelimited = errors.New("the answer has neither a length nor chunks")

const (
	defaultIdleLimit = 20 * time.Second
	maxIdleConns     = 16
	// idleCheckInterval is the interval at which idle connections are checked.
	idleCheckInterval = time.Second
	// keepAliveMargin is how much earlier than the server's keep-alive timeout a connection is considered expired.
	keepAliveMargin = 500 * time.Millisecond
)

// keepAliveConfig detects within a few seconds that an idle connection no longer works.
var keepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

// ackTimeout is how long written data may remain unacknowledged before the connection fails: without it the kernel
// would retransmit for a quarter of an hour.
const ackTimeout = 2500 * time.Millisecond

type conn struct {
	*stall.Conn
	reader    *bufio.Reader
	writer    *bufio.Writer
	wrote     atomic.Bool
	received  int           // bytes of this exchange
	idleSince time.Duration // when it became idle, by the clock that includes suspended time
	idleLimit time.Duration // how long it may be idle
}

// Write records that a byte may have been sent, then writes.
func (c *conn) Write(b []byte) (int, error) {
	c.wrote.Store(true)
	return c.Conn.Write(b)
}

// Read counts the bytes received.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received += n
	return n, err
}

// Client performs exchanges with one server.
type Client struct {
	address     string
	dialTimeout time.Duration

	mu     sync.Mutex
	idle   []*conn
	check  bool // a check of the idle connections is due
	closed bool
	opened atomic.Int64
}

// NewClient returns a Client for the server at an IP address and port.
func NewClient(address string, dialTimeout time.Duration) *Client {
	return &Client{address: address, dialTimeout: dialTimeout}
}

// Close closes the idle connections. Exchanges in progress continue.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.closeIdle()
}

// Options control an exchange.
type Options struct {
	// Timeout is the time limit of each wait for the server: for progress in writing the request, for the head of the
	// response, and for each part of its body.
	Timeout time.Duration
	// Within is the time limit of the whole exchange, which bytes that arrive don't extend; 0 for none.
	Within time.Duration
	// MaxBody is the size in bytes of the largest body, 0 for no limit.
	MaxBody int
	// AnySize exempts a body whose length is given from MaxBody: its end is known.
	AnySize bool
	// AllowUndelimited allows a response that ends with its connection. If the connection ends in order, the response may
	// still be truncated: that of a process that crashes often does.
	AllowUndelimited bool
	// BodyStable promises that the request's body isn't modified or reused, so that it needn't be copied.
	BodyStable bool
	// Skip reports whether the head of a response belongs to an earlier request; such a response is discarded. nil
	// discards none.
	Skip func(*fasthttp.ResponseHeader) bool
	// Wanted reports, right before the first byte is written, whether the request should still be sent; establishing
	// the connection may have taken a while. nil means that it should.
	Wanted func() bool
}

// errUnwanted is the error for a request that was no longer wanted.
var errUnwanted = errors.New("the request isn't wanted any more")

// maxSkipped is the maximum number of unmatched responses discarded in one exchange.
const maxSkipped = 1

// Do writes the request and reads the head of the response. When ctx is done, the exchange is aborted by closing its
// connection.
func (c *Client) Do(ctx context.Context, req *fasthttp.Request, options Options) (*Response, error) {
	release := context.CancelFunc(func() {})
	if options.Within > 0 {
		ctx, release = context.WithTimeout(ctx, options.Within)
	}
	conn, err := c.connect(ctx)
	if err != nil {
		release()
		return nil, &Error{Err: err}
	}
	if options.Wanted != nil && !options.Wanted() {
		release()
		c.putIdle(conn)
		return nil, &Error{Err: errUnwanted}
	}
	abort := context.AfterFunc(ctx, func() { _ = conn.Close() })
	stop := func() bool {
		defer release()
		return abort()
	}
	response := &Response{Response: fasthttp.AcquireResponse(), client: c, conn: conn, options: options, stop: stop}
	response.Header.SetNoDefaultContentType(true)
	if err := response.exchange(req); err != nil {
		stop()
		_ = conn.Close()
		if isTimeout(err) {
			c.dropIdle()
		}
		return nil, &Error{Sent: conn.wrote.Load(), Received: conn.received, Err: err}
	}
	return response, nil
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
	dialer := net.Dialer{Timeout: c.dialTimeout, KeepAliveConfig: keepAliveConfig, ControlContext: socket.UserTimeout(ackTimeout)}
	raw, err := dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return nil, err
	}
	c.opened.Add(1)
	fresh := &conn{Conn: stall.New(raw, c.dialTimeout)}
	fresh.reader = bufio.NewReaderSize(fresh, bufferSize)
	fresh.writer = bufio.NewWriterSize(fresh, bufferSize)
	return fresh, nil
}

// usable reports whether an idle connection is still open and has no unread data. One that has been closed or carries
// unexpected bytes must not be reused.
func (c *conn) usable() bool {
	fresh := clock.System.Since(c.idleSince) <= c.idleLimit && c.reader.Buffered() == 0
	return fresh && socket.StateOf(c.Conn) == socket.Idle
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

// isTimeout reports whether an exchange failed because nothing arrived in time.
func isTimeout(err error) bool {
	var e interface{ Timeout() bool } // fasthttp's time-outs don't implement net.Error
	return errors.As(err, &e) && e.Timeout()
}

// dropIdle closes the idle connections. It is called after one connection timed out: the others may no longer work
// either, without having been reset, and each would delay a request.
func (c *Client) dropIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeIdle()
}

// closeIdle closes the idle connections; the caller must hold the lock.
func (c *Client) closeIdle() {
	for _, kept := range c.idle {
		_ = kept.Close()
	}
	c.idle = nil
}

func (c *Client) putIdle(conn *conn) {
	conn.idleSince = clock.System.Now()
	_ = conn.SetReadDeadline(time.Time{})
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.idle) >= maxIdleConns {
		_ = conn.Close()
		return
	}
	c.idle = append(c.idle, conn)
	c.scheduleCheck()
}

// scheduleCheck schedules a check of the idle connections; the caller must hold the lock.
func (c *Client) scheduleCheck() {
	if c.check || len(c.idle) == 0 {
		return
	}
	c.check = true
	time.AfterFunc(idleCheckInterval, c.checkIdle)
}

// checkIdle closes the idle connections that can't be reused: expired ones, ones that the server has closed, and ones
// that carry bytes that nobody asked for, of which the kernel would hold megabytes.
func (c *Client) checkIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.check = false
	c.idle = slices.DeleteFunc(c.idle, func(kept *conn) bool {
		if kept.usable() {
			return false
		}
		_ = kept.Close()
		return true
	})
	c.scheduleCheck()
}
