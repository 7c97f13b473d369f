package e2e

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"time"

	"github.com/tamarindstep/tamarindstep/internal/standin/users"
)

const (
	soakConnections = 32
	// soakStallLimit is how long a caller may read nothing of its answer before a router breaks it off, in the soak.
	soakStallLimit = 1500 * time.Millisecond
	// maxReadTime is the longest time in which a caller reads one answer.
	maxReadTime = 3 * time.Second
	// soakTimeLimit is the time limit of a request.
	soakTimeLimit = 2 * time.Second
	// answerTimeout is when a caller gives up a request without an answer: longer than any router is paused.
	answerTimeout = 60 * time.Second
	// readerBuffer is the size of a caller's read buffer, in bytes: the most that one read returns.
	readerBuffer = 4096
	// maxBufferedAnswer is the size of the largest answer, in bytes, that is forwarded only once it is whole.
	maxBufferedAnswer = 256 << 10
	// maxAnswer is the size of the largest answer, in bytes.
	maxAnswer = 1 << 20
)

// abortKind is the way in which a caller aborts a request.
type abortKind uint8

const (
	noAbort abortKind = iota
	abortBeforeAnswer
	abortInAnswer
	abortByStall // reads nothing until the router breaks off the answer
	abortInRequest
)

// persistentCaller keeps one connection at a time until its router closes it or exits.
type persistentCaller struct {
	soak     *soak
	n        int
	random   *rand.Rand
	conn     *users.Caller // nil for none
	router   *router
	lastSent time.Time // start of the last request
	sent     int
}

// run sends requests until a point in time.
func (c *persistentCaller) run(until time.Time) {
	for time.Now().Before(until) {
		if c.conn != nil && c.conn.Ended() {
			c.disconnect()
		}
		if c.conn == nil && !c.connect() {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		c.exchange()
		c.idle(until)
	}
	c.disconnect()
}

// connect opens a connection to a random router, in a third of the cases with a small receive buffer.
func (c *persistentCaller) connect() bool {
	c.soak.mu.Lock()
	c.router = c.soak.routers[c.random.IntN(len(c.soak.routers))]
	c.soak.mu.Unlock()
	dial := users.Dial
	if c.random.IntN(3) == 0 {
		dial = users.DialSmallWindow
	}
	reached := c.soak.faultLog.wasReached(c.router) // before: it may begin to accept connections as this one is refused
	began := time.Now()
	conn, err := dial(c.router.callers)
	if err != nil {
		if reached {
			c.record(result{answer: users.Answer{Err: err}, router: c.router, began: began, ended: time.Now()})
		}
		return false
	}
	c.soak.faultLog.recordReached(c.router)
	c.conn = conn
	return true
}

// disconnect closes or resets the connection.
func (c *persistentCaller) disconnect() {
	if c.conn == nil {
		return
	}
	if c.random.IntN(2) == 0 {
		c.conn.Reset()
	} else {
		c.conn.Close()
	}
	c.conn = nil
}

// idle leaves the connection idle, in a third of the cases for up to four fifths of the idle limit.
func (c *persistentCaller) idle(until time.Time) {
	duration := time.Duration(c.random.IntN(20)) * time.Millisecond
	if c.random.IntN(3) == 0 {
		duration = time.Duration(c.random.Float64() * 0.8 * float64(c.soak.faultLog.maxIdle()))
	}
	// The limit counts from when the router's kernel accepted the answer, which may be before the caller read it.
	time.Sleep(min(duration-time.Since(c.lastSent), time.Until(until)))
}

// exchange sends a request and reads its answer, or aborts it.
func (c *persistentCaller) exchange() {
	r := c.newRequest()
	abort := noAbort
	if c.random.IntN(5) == 0 {
		abort = 1 + abortKind(c.random.IntN(4))
	}
	x := result{request: r, router: c.router, began: time.Now(), aborted: abort != noAbort}
	if abort == abortInRequest {
		_ = c.conn.Write("POST /claim/1 HTTP/1.1\r\nHost: " + users.Host + "\r\nContent-Length: 9\r\n\r\nabc")
		c.disconnect()
		return
	}
	_ = c.conn.SetDeadline(x.began.Add(answerTimeout))
	sendErr := c.conn.Send(r) // a router may refuse a request and close the connection before it has read it all
	x.answer = c.read(abort, users.ShapeOf(r.Path).Bytes)
	x.ended, c.lastSent = time.Now(), x.began
	if x.answer.Err != nil {
		x.answer.Err = errors.Join(sendErr, x.answer.Err)
	}
	c.record(x)
	if x.aborted || x.answer.Err != nil || x.answer.Close {
		c.disconnect()
	}
}

// read reads an answer of the given size at a random pace, or aborts it.
func (c *persistentCaller) read(abort abortKind, size int) users.Answer {
	c.conn.SetPace(c.randomPace(size))
	switch abort {
	case abortBeforeAnswer:
		time.Sleep(time.Duration(c.random.IntN(20)) * time.Millisecond)
		return users.Answer{Err: os.ErrDeadlineExceeded}
	case abortInAnswer:
		_ = c.conn.SetDeadline(time.Now().Add(time.Duration(c.random.IntN(1000)) * time.Millisecond))
	case abortByStall:
		time.Sleep(soakStallLimit + time.Duration(c.random.IntN(500))*time.Millisecond)
	}
	return c.conn.Read()
}

// randomPace returns how fast an answer is read: at once, in parts, or steadily at a few tens of KB per second, as the
// stall limit is shorter than the default of a router.
func (c *persistentCaller) randomPace(size int) users.Pace {
	out := users.Pace{}
	switch c.random.IntN(4) {
	case 0:
		out = users.Pace{Bytes: 1000 + c.random.IntN(4000), Pause: time.Duration(1+c.random.IntN(100)) * time.Millisecond}
	case 1:
		out = users.Pace{Bytes: 16 << 10, Pause: time.Duration(c.random.IntN(20)) * time.Millisecond}
	default:
		return out
	}
	out.Pause = min(out.Pause, maxReadTime/time.Duration(1+size/min(out.Bytes, readerBuffer)))
	return out
}

// newRequest returns a random request, for a stream or for an answer of any size and framing.
func (c *persistentCaller) newRequest() users.Request {
	c.sent++
	path := []string{"/chat/1", "/review/1", "/claim/1", "/look/1"}[c.random.IntN(4)]
	if path == "/claim/1" || path == "/look/1" {
		path += c.randomShape().Query()
	}
	body := "the body"
	if c.random.IntN(4) == 0 {
		body = strings.Repeat("x", 1+c.random.IntN(60_000))
	}
	return users.Request{
		Method: "POST", Path: path, Key: callerKey, ID: fmt.Sprintf("soak-%d-%d", c.n, c.sent), Body: body,
		TimeLeft: soakTimeLimit, Chunked: c.random.IntN(4) == 0,
	}
}

// randomShape returns the shape of an answer whose size is close to a buffer's, or anything up to maxAnswer.
func (c *persistentCaller) randomShape() users.Shape {
	form := []users.Form{users.Sized, users.Sized, users.Chunked, users.UntilClose}[c.random.IntN(4)]
	sizes := c.soak.sizes
	switch c.random.IntN(8) {
	case 0:
		return users.Shape{Bytes: c.random.IntN(maxAnswer + 1), Form: form}
	case 1:
		return users.Shape{Bytes: -1}
	default:
		return users.Shape{Bytes: sizes[c.random.IntN(len(sizes))], Form: form}
	}
}

func (c *persistentCaller) record(x result) {
	c.soak.mu.Lock()
	defer c.soak.mu.Unlock()
	c.soak.results = append(c.soak.results, x)
}

func (x result) isStream() bool {
	return strings.HasPrefix(x.request.Path, "/chat/") || strings.HasPrefix(x.request.Path, "/review/")
}

// isForwardedEarly reports whether the answer is forwarded before it is whole.
func (x result) isForwardedEarly() bool {
	return x.answer.Status == 200 && (x.isStream() || users.ShapeOf(x.request.Path).Bytes > maxBufferedAnswer)
}

// changeIdleLimit puts a configuration with another idle limit of connections into the store.
func (s *soak) changeIdleLimit() {
	s.limits.IdleTimeout = time.Duration(2+s.random.IntN(3)) * time.Second
	s.faultLog.recordIdleLimit(s.limits.IdleTimeout)
	s.configure()
}

// checkBrokenConnections checks that each broken connection is explained by a fault that the soak caused.
func (s *soak) checkBrokenConnections() {
	broken := 0
	for _, x := range s.results {
		if x.router == nil || x.answer.Err == nil || x.aborted {
			continue
		}
		broken++
		took := x.ended.Sub(x.began)
		switch {
		case s.faultLog.routerDisturbed(x.router, x.began, x.ended):
		case x.isForwardedEarly() && s.faultLog.backendMisbehaved(x.ended):
		case x.isForwardedEarly() && took > soakTimeLimit: // the time limit of the request expired before its answer was read
		default:
			s.t.Errorf("%s %s at %s: connection broken without a known fault after %v: status %d, %d bytes, %v; ran %d times\n%s", x.request.ID,
				x.request.Path, x.router.name, took, x.answer.Status, len(x.answer.Body), x.answer.Err, len(s.runsOf(x.request.ID)),
				linesOf(x.request.ID, s.logFiles...))
		}
	}
	s.t.Logf("%d broken connections", broken)
}
