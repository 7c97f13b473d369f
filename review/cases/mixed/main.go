// Command mixed plays case 1: runners reset answers without a length, at a router that one tenant crowds.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/tamarindstep/tamarindstep/review/kit"
)

const (
	hotKey   = "asnmgkcuyj8pjbvk9m68" // of the tenant that sends many times its usual
	quietKey = "f2m8vq0tz7xw4r1c6e9y"
	events   = 20 // of a whole stream
	reset    = 8  // events after which a runner resets its answer
	every    = 10 // one answer in so many is faulty: it has no length, and is reset on the way
	readers  = 12 // clients of the quiet tenant

	usualRate   = 100.0 // requests a second of the hot tenant
	hotTimes    = 7.5   // as the site's hot_tenant
	abusers     = 3     // of ten clients, as the site's retry_abuse
	abuseTimes  = 3     // how often they repeat at once
	defaultWait = 300 * time.Millisecond

	usualFor = 3 * time.Second
	hotFor   = 15 * time.Second
)

// stream is an answer as its client saw it.
type stream struct {
	id, body string
	status   int
	err      error // set unless the connection ended in order
}

type play struct {
	lab     *kit.Lab
	router  *kit.Router
	stop    atomic.Bool
	hot     atomic.Bool
	entries []*kit.Runner
	refused atomic.Int64
	entered atomic.Int64
	mu      sync.Mutex
	all     []stream
	faulty  map[string]bool // by request
	begun   int
	running sync.WaitGroup
}

func main() { os.Exit(run()) }

func run() int {
	lab, err := kit.New()
	if err != nil {
		fmt.Println("can't run:", err)
		return kit.Unusable
	}
	defer lab.Close()
	p := &play{lab: lab, faulty: map[string]bool{}}
	if err := p.start(); err != nil {
		lab.Say("can't run: %v", err)
		return kit.Unusable
	}
	for range readers {
		p.running.Go(p.readStreams)
	}
	p.running.Go(p.arrive)
	p.running.Go(p.ration)
	time.Sleep(usualFor)
	if lab.Trouble {
		lab.Say("one tenant sends %v times its usual, some of its clients repeat at once, and %s crashes", hotTimes, p.entries[0].ID)
		p.hot.Store(true)
		p.entries[0].Crash()
	}
	time.Sleep(hotFor)
	p.stop.Store(true)
	p.running.Wait()
	return p.judge()
}

func (p *play) start() error {
	p.lab.Configure(kit.Config{
		Version: 3,
		Routes: []kit.Route{
			{Name: "matchday-chat", Path: "/lohu930/", Kind: "streaming", Service: "raadgiver", Attempts: 1, Timeout: 15 * time.Second, Objective: 600 * time.Millisecond, Priority: 1},
			{Name: "lineup-submit", Path: "/puxa403/", Kind: "unsafe", Service: "ligakontor", Attempts: 1, Timeout: time.Second, Objective: 150 * time.Millisecond, Priority: 2},
		},
		Services: []kit.Service{{Name: "raadgiver", Slots: 64, MaxConns: 370, Engine: true}, {Name: "ligakontor", Slots: 6, MaxConns: 110}},
		Tenants:  []kit.Tenant{{Name: "hule930", Keys: []string{hotKey}}, {Name: "gasi417", Keys: []string{quietKey}}},
	})
	for i := range 9 {
		if _, err := p.lab.StartRunner(fmt.Sprintf("i-7f3a91%02x", i), "raadgiver", "hal-a", 64, p.stream); err != nil {
			return err
		}
	}
	for i := range 3 {
		r, err := p.lab.StartRunner(fmt.Sprintf("i-02d9e6%02x", i), "ligakontor", "hal-a", 6, entry)
		if err != nil {
			return err
		}
		p.entries = append(p.entries, r)
	}
	var err error
	if p.router, err = p.lab.StartRouter("front-hal-a-1", "hal-a", kit.Small); err != nil {
		return err
	}
	return p.lab.AwaitReady(15 * time.Second)
}

// stream answers with events. A faulty answer has neither a length nor chunks, so that it would end with its connection,
// and is reset on the way.
func (p *play) stream(r *kit.Runner, c *kit.Call) {
	p.mu.Lock()
	p.begun++
	faulty := p.begun%every == 0
	p.faulty[c.ID] = faulty
	p.mu.Unlock()
	framing, format, end := "Transfer-Encoding: chunked", "%x\r\n%s\r\n", "0\r\n\r\n"
	if faulty {
		framing, format, end = "Connection: close", "%[2]s", ""
	}
	_, err := fmt.Fprintf(c.Conn, "HTTP/1.1 200 OK\r\nTamarindstep-Request-Id: %s\r\nTamarindstep-Response-Seal: %s\r\n"+
		"Content-Type: text/event-stream\r\n%s\r\n\r\n", c.ID, r.Seal(c.ID), framing)
	for n := 1; n <= events && err == nil; n++ {
		if faulty && n > reset {
			p.lab.Record("runner %s resets its answer to %s after %d events", r.ID, c.ID, reset)
			if tcp, ok := c.Conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			c.Keep = false
			return
		}
		_, err = fmt.Fprintf(c.Conn, format, len(event(n)), event(n))
		time.Sleep(10 * time.Millisecond)
	}
	if err == nil {
		_, err = io.WriteString(c.Conn, end)
	}
	c.Keep = err == nil
}

func event(n int) string { return fmt.Sprintf("id: %d\ndata: token-%d\n\n", n, n) }

// whole returns the whole body of a stream.
func whole() string {
	var out strings.Builder
	for n := 1; n <= events; n++ {
		out.WriteString(event(n))
	}
	return out.String()
}

// entry answers after the work of 30 ms.
func entry(r *kit.Runner, c *kit.Call) {
	time.Sleep(30 * time.Millisecond)
	r.Answer(c, "entered")
}

// readStreams requests one stream after the other, each on a new connection.
func (p *play) readStreams() {
	for !p.stop.Load() {
		s := p.readStream()
		p.mu.Lock()
		p.all = append(p.all, s)
		p.mu.Unlock()
		if s.status != http.StatusOK {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

func (p *play) readStream() stream {
	s := stream{id: p.lab.NextID()}
	conn, err := net.DialTimeout("tcp", p.router.Callers, time.Second)
	if err != nil {
		s.err = err
		return s
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadDeadline(time.Now().Add(16 * time.Second))
	const body = "who should start?"
	_, err = fmt.Fprintf(conn, "POST /lohu930/2f HTTP/1.1\r\nHost: %s\r\nTamarindstep-Request-Id: %s\r\nTamarindstep-Model-Name: m\r\n"+
		"Tamarindstep-Token-Counts: 1460,80\r\nTamarindstep-Prompt-Prefix-Hash: 5c1e07a2:800,%s:660\r\n"+
		"Tamarindstep-Request-Deadline-Ms: 15000\r\nTamarindstep-Key: %s\r\nContent-Length: %d\r\n\r\n%s",
		kit.Host, s.id, s.id[8:], quietKey, len(body), body)
	if err != nil {
		s.err = err
		return s
	}
	p.lab.Record("client sends %s", s.id)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		s.err = err
		p.lab.Record("client gets no answer to %s: %v", s.id, err)
		return s
	}
	s.status = resp.StatusCode
	text, err := io.ReadAll(resp.Body)
	s.body, s.err = string(text), err
	p.lab.Record("client gets %d for %s, length %d, chunks %v, seal %q: %d events, then %s",
		s.status, s.id, resp.ContentLength, resp.TransferEncoding, resp.Header.Get("Tamarindstep-Response-Seal"), strings.Count(s.body, "\n\n"), ending(err))
	return s
}

// ending describes the end of a connection.
func ending(err error) string {
	switch {
	case err == nil:
		return "the connection ends in order"
	case errors.Is(err, syscall.ECONNRESET):
		return "the connection is reset"
	}
	return err.Error()
}

// ration gives the router its share of a core as a quota: it runs until the quota is spent, and then not at all for the
// rest of a tenth of a second.
func (p *play) ration() {
	const period = 100 * time.Millisecond
	share := time.Duration(kit.Small.CPUShare * float64(period))
	for !p.stop.Load() {
		time.Sleep(share)
		if p.router.Signal(syscall.SIGSTOP) != nil {
			return
		}
		time.Sleep(period - share)
		if p.router.Signal(syscall.SIGCONT) != nil {
			return
		}
	}
}

// arrive lets requests of the hot tenant arrive at a rate that is hotTimes as high with the disruption.
func (p *play) arrive() {
	for n := 0; !p.stop.Load(); n++ {
		rate := usualRate
		if p.hot.Load() {
			rate *= hotTimes
		}
		abuses := p.hot.Load() && n%10 < abusers
		p.running.Go(func() { p.enter(abuses) })
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
}

// enter sends one request, on a new connection. One that is refused is sent once more after the time that the answer
// says, or, by a client that doesn't wait, repeatedly at once.
func (p *play) enter(abuses bool) {
	tries := 2
	if abuses {
		tries = 1 + abuseTimes
	}
	for range tries {
		wait, ok := p.enterOnce()
		if ok || p.stop.Load() {
			return
		}
		if !abuses {
			time.Sleep(wait)
		}
	}
}

// enterOnce sends one request, and returns whether it was run, and after which time to come back.
func (p *play) enterOnce() (wait time.Duration, ok bool) {
	conn, err := net.DialTimeout("tcp", p.router.Callers, time.Second)
	if err != nil {
		return defaultWait, false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	id := p.lab.NextID()
	p.lab.Record("client of the hot tenant sends %s", id)
	_, _ = fmt.Fprintf(conn, "POST /puxa403/2f HTTP/1.1\r\nHost: %s\r\nTamarindstep-Request-Id: %s\r\n"+
		"Tamarindstep-Request-Deadline-Ms: 1000\r\nTamarindstep-Key: %s\r\nContent-Length: 8\r\n\r\na lineup", kit.Host, id, hotKey)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		p.lab.Record("client of the hot tenant gets no answer to %s: %v", id, err)
		p.refused.Add(1)
		return defaultWait, false
	}
	p.lab.Record("client of the hot tenant gets %d for %s", resp.StatusCode, id)
	if resp.StatusCode == http.StatusOK {
		p.entered.Add(1)
		return 0, true
	}
	p.refused.Add(1)
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil {
		return defaultWait, resp.StatusCode != http.StatusServiceUnavailable
	}
	return time.Duration(seconds * float64(time.Second)), false
}

// judge applies the rule.
func (p *play) judge() int {
	full := whole()
	var complete, broken, refused, false200 int
	for _, s := range p.all {
		switch {
		case s.status != http.StatusOK:
			refused++
		case s.err != nil:
			broken++
		case s.body == full:
			complete++
		default:
			false200++
			p.lab.Record("MIXED: the answer to %s ended early and looks complete: %d of %d events; reset by its runner: %v", s.id, strings.Count(s.body, "\n\n"), events, p.faulty[s.id])
		}
	}
	p.lab.Say("hot tenant: %d requests entered, %d not", p.entered.Load(), p.refused.Load())
	p.lab.Say("streams: %d whole, %d visibly broken off, %d refused or without an answer, %d ended early and look complete", complete, broken, refused, false200)
	switch {
	case complete == 0 || broken+false200 == 0:
		p.lab.Say("can't run: no stream was whole, or none was reset")
		return kit.Unusable
	case false200 > 0:
		p.lab.Say("rule broken: MIXED")
		return kit.Broken
	}
	p.lab.Say("rule held")
	return kit.Held
}
