package users

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Behaviour is how a backend server answers until told otherwise.
type Behaviour struct {
	Events    int           // of a streamed answer; 0 for a plain one
	Gap       time.Duration // between events, and before a plain answer
	Held      chan struct{} // a plain answer comes once this is closed, nil for at once
	CutAfter  int           // events after which the answer breaks off, 0 for never
	CutInside bool          // it breaks off within the next event
	Unframed  bool          // the answer has no length and ends with its connection
	Reset     bool          // the connection is reset in place of its orderly end
	Drop      bool          // the connection is closed without an answer, once read
	Reject    bool          // every request is turned away, not run
	Status    int           // of a plain answer, 200 where 0
	Surplus   bool          // another request's answer comes first
	Early     bool          // the answer comes before the body is read
	Nameless  bool          // the answer doesn't say whose it is
	EndsUnder string        // the body of requests under which the server ends, "" for none
	EndsAfter time.Duration // how long such a request has run by then
	Leaving   bool          // all its answers say that it leaves
	Misled    bool          // the surplus answer says so, and its own don't
	Rest      string        // every request is turned away and this rest is asked for, in seconds; "" for none
}

// Run is one request that a backend server has run.
type Run struct {
	ID, Path, Body, Account, Key, LastEvent string
	TimeLeft                                int
	At                                      time.Time
	Left                                    bool // its caller left while it ran
}

// Backend stands in for one run of a backend server.
type Backend struct {
	Name, Pool, Hall string
	Cold             time.Duration // how much longer it is slow from its start, as it announces

	born     int64 // when it started, as it announces, in Unix ms; 0 for not at all
	listener net.Listener
	store    *Store
	ended    sync.WaitGroup
	once     sync.Once
	closed   chan struct{}

	mu        sync.Mutex
	behaviour Behaviour
	runs      []Run
	turned    int // requests turned away
	arrivals  []time.Time
	conns     map[net.Conn]bool
}

// NewBackend starts a backend server on loopback and announces it.
func NewBackend(store *Store, name, pool, hall string) (*Backend, error) {
	return newBackendAt("127.0.0.1:0", store, life{name: name, pool: pool, hall: hall})
}

// Again ends a backend server, and starts another at its address, under another name: its next life.
func (b *Backend) Again(name string) (*Backend, error) {
	b.Close()
	b.store.Remove("servers/" + b.Name)
	return newBackendAt(b.listener.Addr().String(), b.store, life{name: name, pool: b.Pool, hall: b.Hall})
}

// Reborn ends a backend server, and starts it again at its address and under its name: its entry says when, and was there all along.
func (b *Backend) Reborn(born int64) (*Backend, error) {
	b.Close()
	return newBackendAt(b.listener.Addr().String(), b.store, life{name: b.Name, pool: b.Pool, hall: b.Hall, born: born})
}

// life is what one run of a backend server announces of itself.
type life struct {
	name, pool, hall string
	born             int64 // 0 where it doesn't say when it started
}

func newBackendAt(address string, store *Store, as life) (*Backend, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	b := &Backend{
		Name: as.name, Pool: as.pool, Hall: as.hall, born: as.born,
		listener: listener, store: store, conns: map[net.Conn]bool{}, closed: make(chan struct{}),
	}
	b.Announce("ready")
	b.ended.Add(1)
	go b.accept()
	return b, nil
}

// Announce writes the backend server's state into the store.
func (b *Backend) Announce(state string) {
	entry := map[string]any{
		"service": b.Pool, "address": b.listener.Addr().String(), "zone": b.Hall, "version": "v1",
		"slots": 8, "state": state, "cold_remaining_ms": b.Cold.Milliseconds(), "call_seq": 0,
	}
	if b.born > 0 {
		entry["born"] = b.born
	}
	value, _ := json.Marshal(entry)
	b.store.Put("servers/"+b.Name, value)
}

// Behave sets how it answers.
func (b *Backend) Behave(x Behaviour) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.behaviour = x
}

// Runs returns what it has run.
func (b *Backend) Runs() []Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Run(nil), b.runs...)
}

// Turned returns how many requests it has turned away.
func (b *Backend) Turned() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.turned
}

// pause lets time pass, unless it ends meanwhile.
func (b *Backend) pause(gap time.Duration) {
	select {
	case <-time.After(gap):
	case <-b.closed:
	}
}

// Close ends it, and waits until it serves nothing.
func (b *Backend) Close() {
	b.crash()
	b.ended.Wait()
}

// Closed is closed once it has ended.
func (b *Backend) Closed() <-chan struct{} { return b.closed }

// crash ends it without notice: its entry in the store stays.
func (b *Backend) crash() {
	b.once.Do(func() {
		_ = b.listener.Close()
		b.mu.Lock()
		defer b.mu.Unlock()
		for c := range b.conns {
			_ = c.Close()
		}
		close(b.closed)
	})
}

func (b *Backend) accept() {
	defer b.ended.Done()
	for {
		c, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.conns[c] = true
		b.mu.Unlock()
		b.ended.Add(1)
		go b.serve(c)
	}
}

func (b *Backend) serve(c net.Conn) {
	defer b.ended.Done()
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for b.serveOne(c, reader) {
		continue
	}
}

// serveOne answers one request, and tells whether the connection goes on.
func (b *Backend) serveOne(c net.Conn, reader *bufio.Reader) bool {
	req, err := http.ReadRequest(reader)
	if err != nil {
		return false
	}
	b.mu.Lock()
	x := b.behaviour
	b.mu.Unlock()
	if x.Early {
		b.reject(c, req, x)
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return false
	}
	if x.Early {
		return true
	}
	if want := req.Header.Get("Tamarindstep-Expected-Instance"); want != b.Name {
		b.turn()
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nTamarindstep-Instance-Id: %s\r\n%sContent-Length: 0\r\n\r\n", b.Name, x.notice())
		return err == nil
	}
	b.arrive()
	if x.Reject || x.Rest != "" {
		return b.reject(c, req, x)
	}
	run := b.note(req, body)
	if x.EndsUnder != "" && x.EndsUnder == string(body) {
		time.Sleep(x.EndsAfter)
		b.crash()
		return false
	}
	if x.Drop {
		return false
	}
	if x.Surplus {
		_, _ = io.WriteString(c, head(200, "another", "")+Behaviour{Leaving: x.Misled}.notice()+"Content-Length: 5\r\n\r\nother")
	}
	id := req.Header.Get("Tamarindstep-Request-Id")
	if x.Nameless {
		id = ""
	}
	if x.Events > 0 {
		return b.stream(c, x, id, run)
	}
	return b.plain(c, x, id, shapeOf(req.URL.Query()))
}

// Arrivals returns how many requests that were meant for it have come from one moment until another.
func (b *Backend) Arrivals(from, until time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, at := range b.arrivals {
		if !at.Before(from) && at.Before(until) {
			n++
		}
	}
	return n
}

func (b *Backend) arrive() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrivals = append(b.arrivals, time.Now())
}

func (b *Backend) turn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.turned++
}

func (b *Backend) reject(c net.Conn, req *http.Request, x Behaviour) bool {
	b.turn()
	id := req.Header.Get("Tamarindstep-Request-Id")
	after := ""
	if x.Rest != "" {
		after = "Retry-After: " + x.Rest + "\r\n"
	}
	_, err := io.WriteString(c, head(503, id, "")+x.notice()+after+"Tamarindstep-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	return err == nil
}

// notice returns the header by which it says that it leaves, "" where it doesn't.
func (x Behaviour) notice() string {
	if !x.Leaving {
		return ""
	}
	return "Server-Leaving: 1\r\n"
}

func (b *Backend) note(req *http.Request, body []byte) int {
	h := req.Header
	left, _ := strconv.Atoi(h.Get("Tamarindstep-Request-Deadline-Ms"))
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs = append(b.runs, Run{
		ID: h.Get("Tamarindstep-Request-Id"), Path: req.URL.RequestURI(), Body: string(body),
		Account: h.Get("Tamarindstep-Tenant-Id"), Key: h.Get("Tamarindstep-Key"),
		LastEvent: h.Get("Last-Event-Id"), TimeLeft: left, At: time.Now(),
	})
	return len(b.runs) - 1
}

// head returns the beginning of an answer's head.
func head(status int, id, seal string) string {
	out := "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n"
	if id != "" {
		out += "Tamarindstep-Request-Id: " + id + "\r\n"
	}
	if seal != "" {
		out += "Tamarindstep-Response-Seal: " + seal + "\r\n"
	}
	return out
}

func reset(c net.Conn) {
	time.Sleep(20 * time.Millisecond) // so that the bytes before it arrive
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// Event returns the event of a number, as streams hold it.
func Event(n int) string { return fmt.Sprintf("id: %d\ndata: word-%d\n\n", n, n) }

func (b *Backend) stream(c net.Conn, x Behaviour, id string, run int) bool {
	b.mu.Lock()
	from, _ := strconv.Atoi(b.runs[run].LastEvent)
	b.mu.Unlock()
	out := head(200, id, "seal-"+b.Name) + x.notice() + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	if _, err := io.WriteString(c, out); err != nil {
		return b.left(run)
	}
	for n := from + 1; n <= x.Events; n++ {
		b.pause(x.Gap)
		event := Event(n)
		cut := x.CutAfter > 0 && n > x.CutAfter
		if cut && x.CutInside {
			event = event[:len(event)/2]
		}
		if cut && !x.CutInside {
			return false
		}
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return b.left(run)
		}
		if cut {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

func (b *Backend) left(run int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[run].Left = true
	return false
}
