// Package explain reads the logs of routers and says what became of requests, and why: for
// the engineer on call, who has nothing else.
//
// A line counts from its first brace on, so that logs that something else has prefixed, with
// the name of a machine for instance, can be read as they are. Lines of other programs are
// passed over; that no line is a router's is an error.
package explain

import (
	"bufio"
	"bytes"
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

	Text []byte `json:"-"` // as it was written
}

// The outcomes that are counted.
const (
	dispatched = "dispatched"
	refused    = "refused"
	crowded    = "crowded"
	done       = "done"
)

// Log is what was read.
type Log struct {
	Lines   []Line
	Dropped int // lines that routers had no time to write
	Foreign int // lines of others
}

// Read adds the lines of a log.
func (l *Log) Read(in io.Reader) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		l.add(scanner.Bytes())
	}
	if err := scanner.Err(); err != nil {
		return errorx.Decorate(err, "reading a log")
	}
	return nil
}

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
	line.Text = slices.Clone(text[from:])
	l.Lines = append(l.Lines, line.Line)
}

// Check tells whether anything was read that can be explained.
func (l *Log) Check() error {
	if len(l.Lines) == 0 {
		return NoLines.New("none of %d lines is a router's on a request", l.Foreign)
	}
	return nil
}

// Of returns the lines on a request, in the order in which they were written. A request
// that was refused and came back has another id.
func (l *Log) Of(request string) []Line {
	var out []Line
	for _, line := range l.Lines {
		if line.Request == request {
			out = append(out, line)
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return out
}

// Keep leaves only the lines on an account and a route; an empty name stands for all.
func (l *Log) Keep(account, route string) {
	l.Lines = slices.DeleteFunc(l.Lines, func(line Line) bool {
		return account != "" && line.Account != account || route != "" && line.Route != route
	})
}
