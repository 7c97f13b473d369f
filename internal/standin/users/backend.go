package users

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Run is one request that a backend server has run.
type Run struct {
	ID, Path, Body, Account, Key, LastEvent string
	Parts                                   []string // identifiers of the parts of its prompt
	TimeLeft                                int
	At                                      time.Time
	Disconnected                            bool // the caller disconnected while it ran
	Sent                                    int  // bytes sent without end, once the caller has disconnected
}

// Backend stands in for a backend server process.
type Backend struct {
	Name, Pool, DataHall string
	ColdFor              time.Duration // announced remaining duration of the cold start
	Version              string        // announced version of its software, which its events name if it isn't DefaultVersion

	onRun     func(Run) // called with each run, nil for nothing
	startedMS int64     // announced start, in Unix milliseconds; 0 if not announced
	listener  net.Listener
	store     *Store
	wg        sync.WaitGroup
	closeOnce sync.Once
	closed    chan struct{}

	mu        sync.Mutex
	behaviour Behaviour
	runs      []Run
	rejected  int // number of rejected requests
	arrivals  []time.Time
	conns     map[net.Conn]bool
}

// DefaultVersion is the software version of backend servers for which none is given.
const DefaultVersion = "v1"

// NewBackend starts a backend server on loopback and announces it.
func NewBackend(store *Store, name, pool, dataHall string) (*Backend, error) {
	return NewBackendOf(DefaultVersion, store, name, pool, dataHall)
}

// NewBackendOf is NewBackend for a version of the backend server's software.
func NewBackendOf(version string, store *Store, name, pool, dataHall string) (*Backend, error) {
	return newBackendAt("127.0.0.1:0", store, announcement{name: name, pool: pool, dataHall: dataHall, version: version})
}

// RestartAs stops a backend server, removes its entry and starts another one at its address under another name.
func (b *Backend) RestartAs(name string) (*Backend, error) {
	b.Close()
	b.store.Remove("servers/" + b.Name)
	return newBackendAt(b.listener.Addr().String(), b.store, announcement{name: name, pool: b.Pool, dataHall: b.DataHall, version: b.Version})
}

// Restart stops a backend server and starts it again at its address and under its name. Its entry remains in the store
// and receives the new start time.
func (b *Backend) Restart(startedMS int64) (*Backend, error) {
	return b.RestartAt(b.Version, startedMS)
}

// RestartAt is Restart at another version of the backend server's software.
func (b *Backend) RestartAt(version string, startedMS int64) (*Backend, error) {
	b.Close()
	return newBackendAt(b.listener.Addr().String(), b.store, announcement{name: b.Name, pool: b.Pool, dataHall: b.DataHall, version: version, startedMS: startedMS})
}

// announcement holds what a backend server process announces in its entry.
type announcement struct {
	name, pool, dataHall string
	version              string
	startedMS            int64          // 0 if the start isn't announced
	prepare              func(*Backend) // called before it accepts connections, nil for nothing
}

func newBackendAt(address string, store *Store, announced announcement) (*Backend, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	b := &Backend{
		Name: announced.name, Pool: announced.pool, DataHall: announced.dataHall, startedMS: announced.startedMS,
		Version: announced.version, listener: listener, store: store, conns: map[net.Conn]bool{}, closed: make(chan struct{}),
	}
	if announced.prepare != nil {
		announced.prepare(b)
	}
	b.Announce("ready")
	b.wg.Add(1)
	go b.accept()
	return b, nil
}

// Announce writes the backend server's entry, with a state, to the store.
func (b *Backend) Announce(state string) {
	if b.store != nil {
		b.store.Put("servers/"+b.Name, b.Entry(state))
	}
}

// Entry returns the backend server's entry with a state.
func (b *Backend) Entry(state string) []byte {
	entry := map[string]any{
		"service": b.Pool, "address": b.listener.Addr().String(), "zone": b.DataHall, "version": b.Version,
		"slots": 8, "state": state, "cold_remaining_ms": b.ColdFor.Milliseconds(), "call_seq": 0,
	}
	if b.startedMS > 0 {
		entry["born"] = b.startedMS
	}
	value, _ := json.Marshal(entry)
	return value
}

// SetBehaviour sets how the server answers.
func (b *Backend) SetBehaviour(x Behaviour) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.behaviour = x
}

// Runs returns the requests that it has run.
func (b *Backend) Runs() []Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Run(nil), b.runs...)
}

// Rejected returns the number of rejected requests.
func (b *Backend) Rejected() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rejected
}

// sleep waits for a duration, or until the server is closed.
func (b *Backend) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-b.closed:
	}
}

// Close stops the server and waits until all connections have been closed.
func (b *Backend) Close() {
	b.crash()
	b.wg.Wait()
}

// Closed returns a channel that is closed once the server has stopped.
func (b *Backend) Closed() <-chan struct{} { return b.closed }

// crash stops the server without notice: its entry remains in the store.
func (b *Backend) crash() {
	b.closeOnce.Do(func() {
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
	defer b.wg.Done()
	for {
		c, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.conns[c] = true
		b.mu.Unlock()
		b.wg.Add(1)
		go b.serve(c)
	}
}

func (b *Backend) serve(c net.Conn) {
	defer b.wg.Done()
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for b.serveOne(c, reader) {
		continue
	}
}

// readBody reads the body of a request, before or after which it may be answered. It returns false if the connection doesn't
// remain open.
func (b *Backend) readBody(c net.Conn, req *http.Request, x Behaviour) ([]byte, bool) {
	if x.AnswerBeforeBody {
		b.reject(c, req, x)
	}
	if x.Early != nil && req.ContentLength != 0 {
		b.answerEarly(c, req, *x.Early)
		return nil, false
	}
	body, err := io.ReadAll(req.Body)
	return body, err == nil
}

// serveOne handles one request, and reports whether the connection remains open.
func (b *Backend) serveOne(c net.Conn, reader *bufio.Reader) bool {
	req, err := http.ReadRequest(reader)
	if err != nil {
		return false
	}
	b.mu.Lock()
	x := b.behaviour
	b.mu.Unlock()
	body, ok := b.readBody(c, req, x)
	if !ok {
		return false
	}
	if x.AnswerBeforeBody {
		return true
	}
	if expected := req.Header.Get("Tamarindstep-Expected-Instance"); expected != b.Name {
		b.recordRejection()
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nTamarindstep-Request-Id: %s\r\nTamarindstep-Instance-Id: %s\r\n%sContent-Length: 0\r\n\r\n", req.Header.Get("Tamarindstep-Request-Id"), b.Name, x.leavingHeader())
		return err == nil
	}
	b.recordArrival()
	if x.Reject || x.RetryAfter != "" {
		return b.reject(c, req, x)
	}
	index, run := b.recordRun(req, body)
	if b.onRun != nil {
		b.onRun(run)
	}
	x.frame(index)
	if x.CrashOnBody != "" && x.CrashOnBody == string(body) {
		time.Sleep(x.CrashDelay)
		b.crash()
		return false
	}
	if x.crashesOn(run.Parts) {
		b.crashOnPart(c, x, run.ID)
		return false
	}
	if x.Drop {
		return false
	}
	_, _ = io.WriteString(c, x.Surplus)
	if x.ExtraAnswer {
		_, _ = io.WriteString(c, responseHead(200, "another", "")+Behaviour{Leaving: x.ExtraAnswerLeaving}.leavingHeader()+"Content-Length: 5\r\n\r\nother")
	}
	id := req.Header.Get("Tamarindstep-Request-Id")
	if x.OmitRequestID {
		id = ""
	}
	switch {
	case x.Broken != "":
		return b.broken(c, x, id)
	case x.Endless != "":
		return b.endless(c, x, id, index)
	case x.Events > 0:
		return b.stream(c, x, id, index)
	default:
		return b.plain(c, x, id, shapeOf(req.URL.Query()))
	}
}

// Arrivals returns the number of requests addressed to the server that arrived in [from, until).
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

func (b *Backend) recordArrival() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrivals = append(b.arrivals, time.Now())
}

func (b *Backend) recordRejection() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rejected++
}

func (b *Backend) reject(c net.Conn, req *http.Request, x Behaviour) bool {
	b.recordRejection()
	id := req.Header.Get("Tamarindstep-Request-Id")
	retryAfter := ""
	if x.RetryAfter != "" {
		retryAfter = "Retry-After: " + x.RetryAfter + "\r\n"
	}
	_, err := io.WriteString(c, responseHead(503, id, "")+x.leavingHeader()+retryAfter+"Tamarindstep-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	return err == nil
}

// leavingHeader returns the header that reports a shutdown, "" if it isn't to be sent.
func (x Behaviour) leavingHeader() string {
	if !x.Leaving {
		return ""
	}
	return "Server-Leaving: 1\r\n"
}

// crashesOn reports whether a server crashes on a prompt: the last part of a prompt is its own, and harmless.
func (x Behaviour) crashesOn(parts []string) bool {
	return x.CrashOnPart != "" && len(parts) > 0 && slices.Contains(parts[:len(parts)-1], x.CrashOnPart)
}

// crashOnPart crashes as the answer to a request begins.
func (b *Backend) crashOnPart(c net.Conn, x Behaviour, id string) {
	if x.CrashAfterHead {
		_ = streamWriter{conn: c, chunked: true}.head(responseHead(200, id, "seal-"+b.Name))
	}
	time.Sleep(x.CrashDelay)
	b.crash()
}

// partNames returns the identifiers in a list of the parts of a prompt.
func partNames(list string) []string {
	var out []string
	for part := range strings.SplitSeq(list, ",") {
		name, _, _ := strings.Cut(part, ":")
		out = append(out, name)
	}
	return out
}

// recordRun records a run, and returns its index and what is recorded of it.
func (b *Backend) recordRun(req *http.Request, body []byte) (int, Run) {
	h := req.Header
	timeLeft, _ := strconv.Atoi(h.Get("Tamarindstep-Request-Deadline-Ms"))
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs = append(b.runs, Run{
		ID: h.Get("Tamarindstep-Request-Id"), Path: req.URL.RequestURI(), Body: string(body),
		Account: h.Get("Tamarindstep-Tenant-Id"), Key: h.Get("Tamarindstep-Key"),
		LastEvent: h.Get("Last-Event-Id"), TimeLeft: timeLeft, At: time.Now(),
		Parts: partNames(h.Get("Tamarindstep-Prompt-Prefix-Hash")),
	})
	return len(b.runs) - 1, b.runs[len(b.runs)-1]
}

// responseHead returns the status line and the first headers of a response.
func responseHead(status int, id, seal string) string {
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
	time.Sleep(20 * time.Millisecond) // lets the data sent before arrive
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// Event returns the nth event of a stream.
func Event(n int) string { return EventOf(DefaultVersion, n) }

// aborts reports whether a run, the number of which is given, is aborted if it began after the given event.
func (x Behaviour) aborts(run, from int) bool {
	return x.AbortEvery == 0 || from == 0 && run%x.AbortEvery == 0
}

// EventOf returns the nth event of a stream of a software version.
func EventOf(version string, n int) string {
	if version == DefaultVersion {
		return fmt.Sprintf("id: %d\ndata: word-%d\n\n", n, n)
	}
	return fmt.Sprintf("id: %d\ndata: word-%d of %s\n\n", n, n, version)
}
