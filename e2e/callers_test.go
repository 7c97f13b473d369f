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
	// soakStall is how long a caller may take nothing of its answer, in the soak.
	soakStall = 1500 * time.Millisecond
	// slowRead is how long a caller reads one answer at the most.
	slowRead = 3 * time.Second
	// soakTimeLeft is the time of a request.
	soakTimeLeft = 2 * time.Second
	// neverAnswered is when a caller gives a request up that gets nothing: longer than any router is paused.
	neverAnswered = 60 * time.Second
	// readerBuffer is the size of a caller's buffer, in bytes: no part that it reads is larger.
	readerBuffer = 4096
	// maxHeld is the size of the largest answer, in bytes, of which nothing is handed on before it is whole.
	maxHeld = 256 << 10
	// aLot is the size of the largest answer, in bytes.
	aLot = 1 << 20
)

// leaving is how a caller leaves a request.
type leaving uint8

const (
	stays leaving = iota
	beforeAnswer
	inAnswer
	stalls // reads nothing until its router has given it up
	inRequest
)

// livingCaller keeps one connection at a time until its router ends it, or is gone.
type livingCaller struct {
	soak   *soak
	n      int
	random *rand.Rand
	conn   *users.Caller // nil for none
	on     *router
	heard  time.Time // when the last answer began to be waited for
	sent   int
}

// live sends requests until the time is over.
func (c *livingCaller) live(until time.Time) {
	for time.Now().Before(until) {
		if c.conn != nil && c.conn.Ended() {
			c.leave()
		}
		if c.conn == nil && !c.connect() {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		c.exchange()
		c.rest(until)
	}
	c.leave()
}

// connect makes a connection to a router that is drawn; a few take little that their caller hasn't read.
func (c *livingCaller) connect() bool {
	c.soak.mu.Lock()
	c.on = c.soak.routers[c.random.IntN(len(c.soak.routers))]
	c.soak.mu.Unlock()
	dial := users.Dial
	if c.random.IntN(3) == 0 {
		dial = users.DialNarrow
	}
	began := time.Now()
	conn, err := dial(c.on.callers)
	if err != nil {
		if c.soak.causes.hasListened(c.on) {
			c.see(seen{answer: users.Answer{Err: err}, on: c.on, began: began, over: time.Now()})
		}
		return false
	}
	c.soak.causes.listens(c.on)
	c.conn = conn
	return true
}

// leave ends the connection, in order or by a reset.
func (c *livingCaller) leave() {
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

// rest lets the connection rest, in a third of the cases for up to four fifths of the idle limit.
func (c *livingCaller) rest(until time.Time) {
	long := time.Duration(c.random.IntN(20)) * time.Millisecond
	if c.random.IntN(3) == 0 {
		long = time.Duration(c.random.Float64() * 0.8 * float64(c.soak.causes.mayRest()))
	}
	// The limit counts from when the router's system took the answer, which may be before it was read.
	time.Sleep(min(long-time.Since(c.heard), time.Until(until)))
}

// exchange sends a request and reads its answer, or leaves.
func (c *livingCaller) exchange() {
	r := c.draw()
	how := stays
	if c.random.IntN(5) == 0 {
		how = 1 + leaving(c.random.IntN(4))
	}
	x := seen{request: r, on: c.on, began: time.Now(), left: how != stays}
	if how == inRequest {
		_ = c.conn.Write("POST /claim/1 HTTP/1.1\r\nHost: " + users.Host + "\r\nContent-Length: 9\r\n\r\nabc")
		c.leave()
		return
	}
	_ = c.conn.SetDeadline(x.began.Add(neverAnswered))
	sendErr := c.conn.Send(r) // a router that refuses a request may end the connection before it has read it
	x.answer = c.read(how, users.ShapeOf(r.Path).Bytes)
	x.over, c.heard = time.Now(), x.began
	if x.answer.Err != nil {
		x.answer.Err = errors.Join(sendErr, x.answer.Err)
	}
	c.see(x)
	if x.left || x.answer.Err != nil || x.answer.Close {
		c.leave()
	}
}

// read reads an answer of a size at a pace that is drawn, or leaves before it is whole.
func (c *livingCaller) read(how leaving, size int) users.Answer {
	c.conn.SetPace(c.pace(size))
	switch how {
	case beforeAnswer:
		time.Sleep(time.Duration(c.random.IntN(20)) * time.Millisecond)
		return users.Answer{Err: os.ErrDeadlineExceeded}
	case inAnswer:
		_ = c.conn.SetDeadline(time.Now().Add(time.Duration(c.random.IntN(1000)) * time.Millisecond))
	case stalls:
		time.Sleep(soakStall + time.Duration(c.random.IntN(500))*time.Millisecond)
	}
	return c.conn.Read()
}

// pace draws how fast an answer is read: at once, in parts, or steadily at a few ten KB a second, as the time
// in which nothing may be taken is shorter than a router's usual one.
func (c *livingCaller) pace(size int) users.Pace {
	out := users.Pace{}
	switch c.random.IntN(4) {
	case 0:
		out = users.Pace{Bytes: 1000 + c.random.IntN(4000), Pause: time.Duration(1+c.random.IntN(100)) * time.Millisecond}
	case 1:
		out = users.Pace{Bytes: 16 << 10, Pause: time.Duration(c.random.IntN(20)) * time.Millisecond}
	default:
		return out
	}
	out.Pause = min(out.Pause, slowRead/time.Duration(1+size/min(out.Bytes, readerBuffer)))
	return out
}

// draw returns a request: of a stream, or of an answer of any size and form.
func (c *livingCaller) draw() users.Request {
	c.sent++
	path := []string{"/chat/1", "/review/1", "/claim/1", "/look/1"}[c.random.IntN(4)]
	if path == "/claim/1" || path == "/look/1" {
		path += c.shape().Query()
	}
	body := "the body"
	if c.random.IntN(4) == 0 {
		body = strings.Repeat("x", 1+c.random.IntN(60_000))
	}
	return users.Request{
		Method: "POST", Path: path, Key: callerKey, ID: fmt.Sprintf("soak-%d-%d", c.n, c.sent), Body: body,
		TimeLeft: soakTimeLeft, Chunked: c.random.IntN(4) == 0,
	}
}

// shape draws one whose size is at a buffer's, or anywhere up to a lot.
func (c *livingCaller) shape() users.Shape {
	form := []users.Form{users.Sized, users.Sized, users.Chunked, users.Open}[c.random.IntN(4)]
	sizes := c.soak.sizes
	switch c.random.IntN(8) {
	case 0:
		return users.Shape{Bytes: c.random.IntN(aLot + 1), Form: form}
	case 1:
		return users.Shape{Bytes: -1}
	default:
		return users.Shape{Bytes: sizes[c.random.IntN(len(sizes))], Form: form}
	}
}

func (c *livingCaller) see(x seen) {
	c.soak.mu.Lock()
	defer c.soak.mu.Unlock()
	c.soak.seen = append(c.soak.seen, x)
}

func (x seen) isStream() bool {
	return strings.HasPrefix(x.request.Path, "/chat/") || strings.HasPrefix(x.request.Path, "/review/")
}

// isPassedOn tells whether the answer is handed on before it is whole.
func (x seen) isPassedOn() bool {
	return x.answer.Status == 200 && (x.isStream() || users.ShapeOf(x.request.Path).Bytes > maxHeld)
}

// rest lets the configuration allow another time of rest.
func (s *soak) rest() {
	s.idle = time.Duration(2+s.random.IntN(3)) * time.Second
	s.causes.rests(s.idle)
	s.configure()
}

// checkBreaks holds each connection that broke off against what the soak has done.
func (s *soak) checkBreaks() {
	broken := 0
	for _, x := range s.seen {
		if x.on == nil || x.answer.Err == nil || x.left {
			continue
		}
		broken++
		took := x.over.Sub(x.began)
		switch {
		case s.causes.disturbed(x.on, x.began, x.over):
		case x.isPassedOn() && s.causes.misbehaved(x.over):
		case x.isPassedOn() && took > soakTimeLeft: // the request's own time was over before it was read
		default:
			s.t.Errorf("%s %s at %s broke off with no cause after %v: status %d, %d bytes, %v; ran %d times", x.request.ID,
				x.request.Path, x.on.name, took, x.answer.Status, len(x.answer.Body), x.answer.Err, len(s.runsOf(x.request.ID)))
		}
	}
	s.t.Logf("%d connections broke off", broken)
}
