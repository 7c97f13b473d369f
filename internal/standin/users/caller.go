package users

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/tamarindstep/tamarindstep/internal/grammar"
)

// Route is a route of the operators' configuration.
type Route struct {
	Name, Path, Kind, Pool string
	Attempts               int
	Resumable              bool
	Timeout                time.Duration
	// NoObjective omits the objective.
	NoObjective bool
}

// objectiveMS returns the time until an answer should start, in milliseconds; 0 for no objective.
func (r Route) objectiveMS() int {
	if r.NoObjective {
		return 0
	}
	return 800
}

// Host is the host of all routes.
const Host = "callers.example"

// Limits are the limits for callers in a configuration.
type Limits struct {
	IdleTimeout time.Duration // of connections
	BodyBytes   int           // of the largest body of a request, 0 for DefaultBodyBytes
}

// DefaultBodyBytes is the default size of the largest body of a request.
const DefaultBodyBytes = 1 << 20

// Configuration returns an operators' configuration. accounts maps keys to account names.
func Configuration(version int, routes []Route, accounts map[string]string, limits Limits) []byte {
	if limits.BodyBytes == 0 {
		limits.BodyBytes = DefaultBodyBytes
	}
	out := map[string]any{
		"version": version,
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": limits.BodyBytes, "header_timeout_ms": 3000,
			"idle_timeout_ms": limits.IdleTimeout.Milliseconds(), "tokens_per_s": 100000,
		},
	}
	pools := map[string]bool{}
	var listed []any
	for _, r := range routes {
		pools[r.Pool] = true
		listed = append(listed, map[string]any{
			"name": r.Name, "host": Host, "path_prefix": r.Path, "kind": r.Kind, "service": r.Pool,
			"timeout_ms": r.Timeout.Milliseconds(), "slo_ms": r.objectiveMS(), "priority": 1, "max_attempts": r.Attempts,
			"resumable": r.Resumable, "gap_slo_ms": 400,
		})
	}
	out["routes"] = listed
	var services []any
	for name := range pools {
		service := map[string]any{"name": name, "health_path": "/healthz", "max_conns": 100}
		if strings.HasPrefix(name, "engine") {
			service["cold_per_s"], service["cold_start_s"] = 6.1, 3.0
			service["engine"] = map[string]any{"slots": 8, "kv_capacity": 100000}
		}
		services = append(services, service)
	}
	out["services"] = services
	var tenants []any
	for key, name := range accounts {
		tenants = append(tenants, map[string]any{"name": name, "api_keys": []string{key}, "priority": 1})
	}
	out["tenants"] = tenants
	text, _ := json.Marshal(out)
	return text
}

// ConfigurationKey is the store's key of the operators' configuration.
const ConfigurationKey = "op/config"

// DefaultIdleTimeout is the default idle timeout of callers' connections.
const DefaultIdleTimeout = 15 * time.Second

// Request is a caller's request.
type Request struct {
	Method, Path, Key, ID, Body, LastEvent string
	Resumes                                string // ID of the request whose stream LastEvent is of
	TimeLeft                               time.Duration
	Chunked                                bool
	Subject                                int      // of its prompt: requests of one subject share a part of it
	Parts                                  []string // identifiers of the parts of its prompt, nil for two by Subject
}

// partTokens is the number of tokens of each part of a prompt whose parts are given.
const partTokens = 250

// promptParts returns the list of the parts of the prompt.
func (r Request) promptParts() string {
	if r.Parts == nil {
		return fmt.Sprintf("a1%s:600,b2%s:400", r.subjectDigits(), strconv.FormatInt(int64(len(r.ID)), 16))
	}
	var out []string
	for _, part := range r.Parts {
		out = append(out, fmt.Sprintf("%s:%d", part, partTokens))
	}
	return strings.Join(out, ",")
}

// subjectDigits returns the hexadecimal digits that distinguish the shared part of the prompt, "" for subject 0.
func (r Request) subjectDigits() string {
	if r.Subject == 0 {
		return ""
	}
	return strconv.FormatInt(int64(r.Subject), 16)
}

// Answer is an answer as received by a caller.
type Answer struct {
	Status     int
	ID, Seal   string
	Body       string
	RetryAfter string
	Close      bool
	Unframed   bool  // neither a length nor a last chunk says where it ends
	Err        error // set if the answer is incomplete
}

// Caller is a caller's connection to a router.
type Caller struct {
	conn   net.Conn
	pace   Pace
	reader *bufio.Reader
}

// Dial connects to a router.
func Dial(address string) (*Caller, error) { return dial(net.Dialer{}, address) }

// Close closes the connection.
func (c *Caller) Close() { _ = c.conn.Close() }

// sendPart is the largest part of a body, in bytes, that is copied and written at once. The race detector checks such a copy
// in one piece, and the whole process stands still until it has: with bodies of a megabyte and many callers for half a
// second, in which the backend servers in this process answer no probe.
const sendPart = 3 * chunkSize

// Send writes a request.
func (c *Caller) Send(r Request) error {
	head, encode, end := r.head(), func(part string) string { return part }, ""
	switch {
	case r.Chunked:
		head += "Transfer-Encoding: chunked\r\n"
		encode, end = encodeChunks, lastChunk
	case r.Method != "GET":
		head += "Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n"
	}
	head += "\r\n"
	body := r.Body
	for len(body) > sendPart {
		if err := c.Write(head + encode(body[:sendPart])); err != nil {
			return err
		}
		head, body = "", body[sendPart:]
	}
	return c.Write(head + encode(body) + end)
}

// Upload sends a request whose body is a text repeated a number of times, in chunks or with a length, and reads the
// answer meanwhile: a router may answer before it has read the whole body. It closes the connection then.
func (c *Caller) Upload(r Request, text string, times int) Answer {
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		_ = c.writeRepeated(r, text, times)
	}()
	answer := c.Read()
	c.Close()
	<-sent
	return answer
}

// writeRepeated writes a request whose body is a text repeated a number of times.
func (c *Caller) writeRepeated(r Request, text string, times int) error {
	head, part, end := r.head()+"Content-Length: "+strconv.Itoa(len(text)*times)+"\r\n\r\n", text, ""
	if r.Chunked {
		head = r.head() + "Transfer-Encoding: chunked\r\n\r\n"
		part, end = strconv.FormatInt(int64(len(text)), 16)+"\r\n"+text+"\r\n", lastChunk
	}
	if err := c.Write(head); err != nil {
		return err
	}
	for range times {
		if err := c.Write(part); err != nil {
			return err
		}
	}
	return c.Write(end)
}

// A slow upload has uploadParts parts of uploadPart bytes.
const (
	uploadParts = 20
	uploadPart  = 100
)

// UploadSlowly sends a request whose body is sent in parts over a time, and reads the answer meanwhile. It closes the
// connection then, which ends the sending.
func (c *Caller) UploadSlowly(r Request, over time.Duration) Answer {
	_ = c.conn.SetReadDeadline(time.Now().Add(callTimeout))
	part := strings.Repeat(".", uploadPart)
	go func() {
		if c.Write(r.head()+"Content-Length: "+strconv.Itoa(uploadParts*uploadPart)+"\r\n\r\n") != nil {
			return
		}
		for range uploadParts {
			time.Sleep(over / uploadParts)
			if c.Write(part) != nil {
				return
			}
		}
	}()
	defer c.Close()
	return c.Read()
}

// head returns the head of a request up to the length of its body.
func (r Request) head() string {
	left := r.TimeLeft
	if left == 0 {
		left = 10 * time.Second
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nTamarindstep-Request-Id: %s\r\nTamarindstep-Key: %s\r\n"+
		"Tamarindstep-Request-Deadline-Ms: %d\r\nTamarindstep-Token-Counts: 1000,50\r\n"+
		"Tamarindstep-Prompt-Prefix-Hash: %s\r\nTamarindstep-Tenant-Id: forged\r\n",
		r.Method, r.Path, Host, r.ID, r.Key, left.Milliseconds(), r.promptParts())
	if r.LastEvent != "" {
		head += "Last-Event-Id: " + r.LastEvent + "\r\n"
	}
	if r.Resumes != "" {
		head += "Resumes: " + r.Resumes + "\r\n"
	}
	return head
}

// Write writes raw bytes.
func (c *Caller) Write(text string) error {
	_, err := io.WriteString(c.conn, text)
	return err
}

// readHead reads the head of an answer, which must be valid.
func (c *Caller) readHead() (*http.Response, error) {
	if _, err := grammar.PeekHead(c.reader); err != nil {
		return nil, err
	}
	return http.ReadResponse(c.reader, nil)
}

// Read reads an answer.
func (c *Caller) Read() Answer {
	resp, err := c.readHead()
	if err != nil {
		return Answer{Err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return Answer{
		Status: resp.StatusCode, ID: resp.Header.Get("Tamarindstep-Request-Id"),
		Seal: resp.Header.Get("Tamarindstep-Response-Seal"), Body: string(body),
		RetryAfter: resp.Header.Get("Retry-After"), Close: resp.Close, Err: err,
		Unframed: resp.ContentLength < 0 && len(resp.TransferEncoding) == 0,
	}
}

// ReadEvents reads the head of a stream and its first events, and returns the events, which may end with a part of one.
// If the answer is a refusal, it returns the time after which to come back.
func (c *Caller) ReadEvents(n int) (events string, retryAfter time.Duration, err error) {
	resp, err := c.readHead()
	if err != nil {
		return "", 0, err
	}
	if resp.StatusCode != http.StatusOK {
		seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		return "", time.Duration(seconds * float64(time.Second)), fmt.Errorf("status %d instead of a stream", resp.StatusCode)
	}
	var out []byte
	for part := make([]byte, 1); strings.Count(string(out), "\n\n") < n; {
		if _, err := io.ReadFull(resp.Body, part); err != nil {
			return string(out), 0, err
		}
		out = append(out, part...)
	}
	return string(out), 0, nil
}

// callTimeout limits a call that a router never answers.
const callTimeout = 30 * time.Second

// Call sends a request over a new connection and reads the answer.
func Call(address string, r Request) Answer {
	c, err := Dial(address)
	if err != nil {
		return Answer{Err: err}
	}
	defer c.Close()
	if err := c.conn.SetDeadline(time.Now().Add(callTimeout)); err != nil {
		return Answer{Err: err}
	}
	if err := c.Send(r); err != nil {
		return Answer{Err: err}
	}
	return c.Read()
}
