// Package explain analyzes the logs of routers. It shows the outcome of requests and its reason to
// an on-call engineer who has only the logs.
//
// Logs are read as a stream, compressed with gzip or not. Only the values of a line are kept,
// some 300 bytes, and its text only if the lines of a single request are selected.
//
// A line is parsed from its first brace, so that logs with a prefix such as the name of a VM
// can be read unchanged. Lines of other programs are skipped. It is an error if no line is
// a router's.
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

// NoLines is the error for logs without any line of a router about a request.
var NoLines = Errors.NewType("no_lines")

// maxLine is the maximum length of a line in bytes. Routers write shorter lines.
const maxLine = 1 << 20

// Line is a log line of a router about a request.
type Line struct {
	Router  string    `json:"router"`
	Request string    `json:"request"`
	Account string    `json:"account"`
	Route   string    `json:"route"`
	Outcome string    `json:"outcome"`
	Time    time.Time `json:"time"`

	// AgeMS is the age of the request, and BegunMS its age when the first part of its
	// answer was received, in milliseconds.
	AgeMS   float64 `json:"age_ms"`
	BegunMS float64 `json:"begun_ms"`

	// A scheduling decision and the values it was based on; see docs/OPERATIONS.md.
	Backend   string  `json:"backend"`
	Reason    string  `json:"reason"`
	DelayMS   float64 `json:"delay_ms"`
	Backlog   int     `json:"backlog"`
	OverShare bool    `json:"over_share"`
	ShareHad  float64 `json:"share_had"`
	Refused   int     `json:"refused"` // number of requests that the line represents

	// Details of an interrupted answer; see docs/OPERATIONS.md.
	Cause       string  `json:"cause"`
	Begun       bool    `json:"begun"`
	Again       bool    `json:"again"` // the request was sent again
	AnswerBytes int     `json:"answer_bytes"`
	TakenBytes  int     `json:"taken_bytes"`
	WriteMS     float64 `json:"write_ms"`
	RestedMS    float64 `json:"rested_ms"`

	// LoadsAgeMS is the age of the oldest load report of another router, in milliseconds.
	LoadsAgeMS float64 `json:"loads_age_ms"`

	Text []byte `json:"-"` // the text of the line, if a single request is selected
}

// The outcomes that are evaluated.
const (
	dispatched = "dispatched"
	refused    = "refused"
	crowded    = "crowded"
	done       = "done"
	brokeOff   = "broke-off"
)

// Log contains the lines read from logs.
type Log struct {
	// Request selects the lines of the request with this id, "" for all requests.
	Request string

	Lines        []Line
	Dropped      int // lines that routers dropped instead of writing
	Unrecognized int // lines that aren't in the format of a router

	otherRequests int // lines about requests that aren't selected
}

// Read adds the lines of a log, which may be compressed with gzip.
func (l *Log) Read(in io.Reader) error {
	plain, err := decompress(in)
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

// decompress returns a reader of a log's text, which may be compressed with gzip.
func decompress(in io.Reader) (io.Reader, error) {
	buffered := bufio.NewReader(in)
	head, err := buffered.Peek(len(gzipMagic))
	if err != nil || !bytes.Equal(head, gzipMagic) {
		return buffered, nil // a log that is shorter can't be compressed
	}
	return gzip.NewReader(buffered)
}

// gzipMagic is the magic number of gzip files (RFC 1952, section 2.3.1).
var gzipMagic = []byte{0x1f, 0x8b}

func (l *Log) add(text []byte) {
	from := bytes.IndexByte(text, '{')
	if from < 0 {
		l.Unrecognized++
		return
	}
	var line struct {
		Line
		Dropped int `json:"dropped"`
	}
	if json.Unmarshal(text[from:], &line) != nil {
		l.Unrecognized++
		return
	}
	l.Dropped += line.Dropped
	if line.Request == "" || line.Outcome == "" {
		return
	}
	if l.Request != "" {
		if line.Request != l.Request {
			l.otherRequests++
			return
		}
		line.Text = slices.Clone(text[from:])
	}
	l.Lines = append(l.Lines, line.Line)
}

// Check returns an error if no line about a request was read.
func (l *Log) Check() error {
	if len(l.Lines)+l.otherRequests == 0 {
		return NoLines.New("none of %d lines is a router's log line about a request", l.Unrecognized)
	}
	return nil
}

// RequestLines returns the lines about the selected request, sorted by time. A request that
// was refused and sent again by its caller has another id.
func (l *Log) RequestLines() []Line {
	out := slices.Clone(l.Lines)
	slices.SortStableFunc(out, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return out
}

// Filter keeps only the lines about an account and a route; an empty name matches all.
func (l *Log) Filter(account, route string) {
	l.Lines = slices.DeleteFunc(l.Lines, func(line Line) bool {
		return account != "" && line.Account != account || route != "" && line.Route != route
	})
}
