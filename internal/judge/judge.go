// Package judge checks what callers and backend servers have seen of requests against what a router promises for each.
//
// It knows requests only by what was received and run, not by what a router logs or reports of itself.
package judge

import (
	"fmt"
	"strconv"
	"strings"
)

// Rule is a promise that a router breaks.
type Rule string

// The rules.
const (
	// Truncated means that an answer ended in order, with a success, and isn't whole.
	Truncated Rule = "truncated answer that looks whole"
	// Disordered means that events of a stream are missing between others, come twice, or go back.
	Disordered Rule = "events of a stream missing or repeated"
	// Foreign means that an answer isn't that of its request.
	Foreign Rule = "answer to another request"
	// RefusedAfterRun means that a request was refused as not run, and has run.
	RefusedAfterRun Rule = "refused as not run, and ran"
	// RunTwice means that a request that may run only once has run more often.
	RunTwice Rule = "ran twice"
)

// Breach is a broken rule.
type Breach struct {
	Rule    Rule
	Request string // its identifier
	Detail  string
}

// Error implements error.
func (b Breach) Error() string { return fmt.Sprintf("%s: %s: %s", b.Request, b.Rule, b.Detail) }

// Request is a request and what was seen of it.
type Request struct {
	ID     string
	Once   bool // it may run only once
	Events int  // number of events of its whole answer, 0 for a plain one
	Body   string
	Answer Answer
	Runs   int // number of times that backend servers have begun to run it
}

// Answer is an answer as its caller received it.
type Answer struct {
	Status int
	ID     string // of the request that it names
	Body   string
	Broken bool // it ended with an error, or none was received
}

// notRun are the statuses that promise that a request was not run and won't be.
var notRun = map[int]bool{408: true, 421: true, 429: true, 503: true}

// Check returns the rules that are broken for a request. A broken-off answer may be cut anywhere, and an answer that isn't
// a success promises nothing about its body.
func Check(r Request) []Breach {
	var out []Breach
	breaks := func(rule Rule, format string, args ...any) {
		out = append(out, Breach{Rule: rule, Request: r.ID, Detail: fmt.Sprintf(format, args...)})
	}
	if r.Once && r.Runs > 1 {
		breaks(RunTwice, "%d times", r.Runs)
	}
	if notRun[r.Answer.Status] && !r.Answer.Broken && r.Runs > 0 {
		breaks(RefusedAfterRun, "status %d, %d runs", r.Answer.Status, r.Runs)
	}
	if r.Answer.Status != 200 {
		return out
	}
	if r.Answer.ID != r.ID {
		breaks(Foreign, "names %q", r.Answer.ID)
	}
	if r.Events == 0 {
		if !r.Answer.Broken && r.Answer.Body != r.Body {
			breaks(Truncated, "%d of %d bytes", len(r.Answer.Body), len(r.Body))
		}
		return out
	}
	return append(out, checkStream(r)...)
}

// checkStream checks the events of a stream, which are numbered from 1.
func checkStream(r Request) []Breach {
	var out []Breach
	seen, last := 0, 0
	for event := range strings.SplitSeq(r.Answer.Body, "\n\n") {
		id, ok := eventNumber(event)
		if !ok {
			continue
		}
		if id != last+1 {
			out = append(out, Breach{Rule: Disordered, Request: r.ID, Detail: fmt.Sprintf("event %d after %d", id, last)})
		}
		seen, last = seen+1, id
	}
	if !r.Answer.Broken && last < r.Events {
		out = append(out, Breach{Rule: Truncated, Request: r.ID, Detail: fmt.Sprintf("%d of %d events", seen, r.Events)})
	}
	return out
}

// eventNumber returns the number of an event; ok is false if it has none.
func eventNumber(event string) (number int, ok bool) {
	for line := range strings.Lines(event) {
		text, found := strings.CutPrefix(strings.TrimSpace(line), "id: ")
		if !found {
			continue
		}
		n, err := strconv.Atoi(text)
		return n, err == nil
	}
	return 0, false
}
