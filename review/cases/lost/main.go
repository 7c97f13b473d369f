// Command lost plays case 2: a burst of requests whose bodies come in chunks, at a router of a small machine.
package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tamarindstep/tamarindstep/review/kit"
)

const (
	key          = "asnmgkcuyj8pjbvk9m68"
	promptBytes  = 4_000_000 // of max_body_bytes = 4,194,304
	chunkBytes   = 16 << 10
	usualStreams = 30  // clients of streams, one request at a time each
	burst        = 3.4 // times the usual clients: twice the site's burst of 1.7
	entryClients = 10  // clients of the application service, one request at a time each
	usualFor     = 6 * time.Second
	burstFor     = 6 * time.Second
	restartAfter = time.Second
	allowed      = 3 // requests that may end without an answer, by the rule
)

// sent is one request as its client saw it.
type sent struct {
	id       string
	kept     bool // its connection had carried a request before
	answered bool // whole
	status   int
	err      error
}

type play struct {
	lab     *kit.Lab
	router  *kit.Router
	prompt  []byte
	stop    atomic.Bool
	killed  atomic.Int64 // by the platform, for its memory
	peak    atomic.Int64
	mu      sync.Mutex
	all     []sent
	clients sync.WaitGroup
}

func main() { os.Exit(run()) }

func run() int {
	lab, err := kit.New()
	if err != nil {
		fmt.Println("can't run:", err)
		return kit.Unusable
	}
	defer lab.Close()
	p := &play{lab: lab, prompt: bytes.Repeat([]byte("x"), promptBytes)}
	if err := p.start(); err != nil {
		lab.Say("can't run: %v", err)
		return kit.Unusable
	}
	go p.watchMemory()
	for range usualStreams {
		p.client(p.streamHead, p.prompt)
	}
	for range entryClients {
		p.client(p.entryHead, []byte("a lineup"))
	}
	time.Sleep(usualFor)
	if lab.Trouble {
		lab.Say("burst: %d clients more", int(usualStreams*(burst-1)))
		for range int(usualStreams * (burst - 1)) {
			p.client(p.streamHead, p.prompt)
		}
	}
	time.Sleep(burstFor)
	p.stop.Store(true)
	p.clients.Wait()
	return p.judge()
}

func (p *play) start() error {
	p.lab.Configure(kit.Config{
		Version: 3,
		Routes: []kit.Route{
			{Name: "season-review", Path: "/lohu930/", Kind: "streaming", Service: "raadgiver", Attempts: 1, Timeout: 12 * time.Second, Objective: 800 * time.Millisecond, Priority: 1},
			{Name: "lineup-submit", Path: "/puxa403/", Kind: "unsafe", Service: "ligakontor", Attempts: 1, Timeout: time.Second, Objective: 150 * time.Millisecond, Priority: 2},
		},
		Services: []kit.Service{{Name: "raadgiver", Slots: 64, MaxConns: 370, Engine: true}, {Name: "ligakontor", Slots: 6, MaxConns: 110}},
		Tenants:  []kit.Tenant{{Name: "hule930", Keys: []string{key}}},
	})
	for i := range 9 {
		if _, err := p.lab.StartRunner(fmt.Sprintf("i-7f3a91%02x", i), "raadgiver", "hal-a", 64, stream); err != nil {
			return err
		}
	}
	for i := range 3 {
		if _, err := p.lab.StartRunner(fmt.Sprintf("i-02d9e6%02x", i), "ligakontor", "hal-a", 6, entry); err != nil {
			return err
		}
	}
	var err error
	if p.router, err = p.lab.StartRouter("front-hal-a-1", "hal-a", kit.Small); err != nil {
		return err
	}
	return p.lab.AwaitReady(15 * time.Second)
}

// stream answers with 40 events in 2 seconds.
func stream(r *kit.Runner, c *kit.Call) {
	_, err := fmt.Fprintf(c.Conn, "HTTP/1.1 200 OK\r\nTamarindstep-Request-Id: %s\r\nTamarindstep-Response-Seal: %s\r\n"+
		"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", c.ID, r.Seal(c.ID))
	for n := 1; n <= 40 && err == nil; n++ {
		event := fmt.Sprintf("id: %d\ndata: a token\n\n", n)
		_, err = fmt.Fprintf(c.Conn, "%x\r\n%s\r\n", len(event), event)
		time.Sleep(50 * time.Millisecond)
	}
	if err == nil {
		_, err = io.WriteString(c.Conn, "0\r\n\r\n")
	}
	c.Keep = err == nil
}

// entry answers after the work of 30 ms.
func entry(r *kit.Runner, c *kit.Call) {
	time.Sleep(30 * time.Millisecond)
	r.Answer(c, "entered")
}

// watchMemory does what the platform does with a process that goes over its memory: it kills it and starts it again.
func (p *play) watchMemory() {
	for {
		mb := p.router.ResidentMB()
		p.peak.Store(max(p.peak.Load(), int64(mb)))
		if mb > kit.Small.MemoryMB {
			p.killed.Add(1)
			p.lab.Say("platform: %s has %d MB, over its %d: killed", p.router.Name, mb, kit.Small.MemoryMB)
			p.router.Kill()
			time.Sleep(restartAfter)
			if p.stop.Load() {
				return
			}
			_ = p.router.Start()
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (p *play) streamHead(id string) string {
	return "POST /lohu930/2f HTTP/1.1\r\nHost: " + kit.Host + "\r\nTamarindstep-Request-Id: " + id +
		"\r\nTamarindstep-Model-Name: m\r\nTamarindstep-Token-Counts: 1460,80\r\nTamarindstep-Prompt-Prefix-Hash: 5c1e07a2:800," + id[8:] + ":660" +
		"\r\nTamarindstep-Request-Deadline-Ms: 12000\r\nTamarindstep-Key: " + key + "\r\n"
}

func (p *play) entryHead(id string) string {
	return "POST /puxa403/2f HTTP/1.1\r\nHost: " + kit.Host + "\r\nTamarindstep-Request-Id: " + id +
		"\r\nTamarindstep-Request-Deadline-Ms: 1000\r\nTamarindstep-Key: " + key + "\r\n"
}

// client sends one request after the other, on a connection that it keeps.
func (p *play) client(head func(id string) string, body []byte) {
	p.clients.Go(func() {
		var conn net.Conn
		var reader *bufio.Reader
		for !p.stop.Load() {
			kept := conn != nil
			if !kept {
				var err error
				if conn, err = net.DialTimeout("tcp", p.router.Callers, time.Second); err != nil {
					conn = nil
					time.Sleep(100 * time.Millisecond)
					continue
				}
				reader = bufio.NewReader(conn)
			}
			s := sent{id: p.lab.NextID(), kept: kept}
			keep, wait := p.exchange(conn, reader, head(s.id), body, &s)
			p.mu.Lock()
			p.all = append(p.all, s)
			p.mu.Unlock()
			if !keep {
				_ = conn.Close()
				conn = nil
			}
			time.Sleep(wait)
		}
		if conn != nil {
			_ = conn.Close()
		}
	})
}

// exchange sends one request, its body in chunks, and reads the answer. It returns whether the connection may be kept,
// and how long to wait.
func (p *play) exchange(conn net.Conn, reader *bufio.Reader, head string, body []byte, s *sent) (keep bool, wait time.Duration) {
	p.lab.Record("client sends %s, kept connection: %v", s.id, s.kept)
	_ = conn.SetReadDeadline(time.Now().Add(13 * time.Second))
	w := bufio.NewWriterSize(conn, 2*chunkBytes)
	_, _ = w.WriteString(head + "Transfer-Encoding: chunked\r\n\r\n")
	for len(body) > 0 {
		n := min(len(body), chunkBytes)
		_, _ = fmt.Fprintf(w, "%x\r\n", n)
		_, _ = w.Write(body[:n])
		_, _ = w.WriteString("\r\n")
		body = body[n:]
	}
	_, _ = w.WriteString("0\r\n\r\n")
	writeErr := w.Flush() // the router may refuse before it has read the body
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		s.err = errors.Join(err, writeErr)
		p.lab.Record("client gets no answer to %s: %v", s.id, s.err)
		return false, 100 * time.Millisecond
	}
	s.status = resp.StatusCode
	_, s.err = io.Copy(io.Discard, resp.Body)
	s.answered = s.err == nil
	p.lab.Record("client gets %d for %s, whole: %v", s.status, s.id, s.answered)
	if s.status == http.StatusOK {
		return s.answered && writeErr == nil && !resp.Close, 0
	}
	return false, 300 * time.Millisecond
}

// judge applies the rule.
func (p *play) judge() int {
	ran := map[string]bool{}
	for _, r := range p.lab.Runners() {
		ids, _ := r.Arrivals()
		for _, id := range ids {
			ran[id] = true
		}
	}
	var lost, whole, refused int
	for _, s := range p.all {
		switch {
		case s.answered && s.status == http.StatusOK:
			whole++
		case s.answered:
			refused++
		case s.kept && ran[s.id]:
			lost++
			p.lab.Record("LOST: %s was passed on to a sound runner, and its kept connection ended without a whole answer", s.id)
		}
	}
	p.lab.Say("requests: %d answered whole with 200, %d refused; on kept connections %d passed on and lost (%d allowed)", whole, refused, lost, allowed)
	p.lab.Say("router: at most %d MB of %d; ended for its memory %d times", p.peak.Load(), kit.Small.MemoryMB, p.killed.Load())
	if whole == 0 {
		p.lab.Say("can't run: nothing was served")
		return kit.Unusable
	}
	if lost > allowed {
		p.lab.Say("rule broken: LOST")
		return kit.Broken
	}
	p.lab.Say("rule held")
	return kit.Held
}
