// Package explain reads the logs of routers and says what became of requests, and why: for
// the engineer on call, who has nothing else.
//
// Logs are read as a stream, compressed by gzip or not. Of a line only the figures are kept,
// some 300 bytes, and its text only where one request is asked for.
//
// A line counts from its first brace on, so that logs that something else has prefixed, with
// the name of a machine for instance, can be read as they are. Lines of other programs are
// passed over; that no line is a router's is an error.
package explain

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/joomcode/errorx"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("explain")

// NoLines is the error for logs without a single line of a router on a request.
var NoLines = Errors.NewType("no_lines")

// maxLine is the longest line that is read, in bytes; routers write shorter ones.
const maxLine = 1 << 20

// Line is a log line of a router on a request.
type Line struct {
	Router  string    `json:"router"`
	Request string    `json:"request"`
	Account string    `json:"account"`
	Route   string    `json:"route"`
	Outcome string    `json:"outcome"`
	Time    time.Time `json:"time"`

	// AgeMS is how old the request was, and BegunMS the same when the first part of its
	// answer came, in milliseconds.
	AgeMS   float64 `json:"age_ms"`
	BegunMS float64 `json:"begun_ms"`

	// What a decision was and what it rested on; see docs/OPERATIONS.md.
	Backend   string  `json:"backend"`
	Reason    string  `json:"reason"`
	DelayMS   float64 `json:"delay_ms"`
	Backlog   int     `json:"backlog"`
	OverShare bool    `json:"over_share"`
	ShareHad  float64 `json:"share_had"`
	Refused   int     `json:"refused"` // requests that a line stands for

	// Of an answer that broke off; see docs/OPERATIONS.md.
	Cause       string  `json:"cause"`
	Begun       bool    `json:"begun"`
	Again       bool    `json:"again"` // it was asked for again
	AnswerBytes int     `json:"answer_bytes"`
	TakenBytes  int     `json:"taken_bytes"`
	WriteMS     float64 `json:"write_ms"`
	RestedMS    float64 `json:"rested_ms"`

	// LoadsAgeMS is how old the oldest word of another router was, in milliseconds.
	LoadsAgeMS float64 `json:"loads_age_ms"`

	Text []byte `json:"-"` // as it was written, where its request is asked for
}

// The outcomes that are counted.
const (
	dispatched = "dispatched"
	refused    = "refused"
	crowded    = "crowded"
	done       = "done"
	brokeOff   = "broke-off"
)

// Log is what was read.
type Log struct {
	// Request is the id of the only request whose lines are kept, "" for all.
	Request string

	Lines   []Line
	Dropped int // lines that routers had no time to write
	Foreign int // lines of others

	others int // lines on requests that aren't asked for
}

// Read adds the lines of a log.
func (l *Log) Read(in io.Reader) error {
	plain, err := decompressed(in)
	if err != nil {
		return errorx.Decorate(err, "reading a compressed log")
	}
	scanner := bufio.NewScanner(plain)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		l.add(scanner.Bytes())
	}
	if err := scanner.Err(); err != nil {
		return errorx.Decorate(err, "reading a log")
	}
	return nil
}

// decompressed returns what a log says, which may be compressed by gzip.
func decompressed(in io.Reader) (io.Reader, error) {
	buffered := bufio.NewReader(in)
	head, err := buffered.Peek(len(gzipHead))
	if err != nil || !bytes.Equal(head, gzipHead) {
		return buffered, nil // a log shorter than that is no compressed one
	}
	return gzip.NewReader(buffered)
}

// gzipHead begins a file that is compressed by gzip (RFC 1952, section 2.3.1).
var gzipHead = []byte{0x1f, 0x8b}

func (l *Log) add(text []byte) {
	from := bytes.IndexByte(text, '{')
	if from < 0 {
		l.Foreign++
		return
	}
	var line struct {
		Line
		Dropped int `json:"dropped"`
	}
	if json.Unmarshal(text[from:], &line) != nil {
		l.Foreign++
		return
	}
	l.Dropped += line.Dropped
	if line.Request == "" || line.Outcome == "" {
		return
	}
	if l.Request != "" {
		if line.Request != l.Request {
			l.others++
			return
		}
		line.Text = slices.Clone(text[from:])
	}
	l.Lines = append(l.Lines, line.Line)
}

// Check tells whether anything was read that can be explained.
func (l *Log) Check() error {
	if len(l.Lines)+l.others == 0 {
		return NoLines.New("none of %d lines is a router's on a request", l.Foreign)
	}
	return nil
}

// OfRequest returns the lines on the request that was asked for, in the order in which they
// were written. A request that was refused and came back has another id.
func (l *Log) OfRequest() []Line {
	out := slices.Clone(l.Lines)
	slices.SortStableFunc(out, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return out
}

// Keep leaves only the lines on an account and a route; an empty name stands for all.
func (l *Log) Keep(account, route string) {
	l.Lines = slices.DeleteFunc(l.Lines, func(line Line) bool {
		return account != "" && line.Account != account || route != "" && line.Route != route
	})
}
