package gateway

import (
	"bytes"
	"strconv"
)

// events splits a stream at the ends of its events, so that a stream that breaks off within an event can be resumed at
// another backend server without a gap or a repetition. Streams that can't be resumed are passed through unchanged.
type events struct {
	opaque    bool // the answer isn't an event stream
	resumable bool
	scanner   eventScanner
	partial   []byte // the beginning of an unfinished event of a resumable stream
	lastID    string // identifier of the last whole event relayed
	number    int64  // lastID as a number
	numbered  bool
	fruitless int  // bytes since the last new event that had more than comments
	advanced  bool // the answer has got beyond what was relayed before it
}

// begin prepares for the answer of another backend server.
func (e *events) begin(last string) {
	e.clearPartial()
	e.scanner, e.fruitless = eventScanner{}, 0
	e.advanced = false
	if e.lastID == "" && last != "" {
		e.record(last)
	}
}

// record stores the identifier of a whole event.
func (e *events) record(id string) {
	e.lastID = id
	n, err := strconv.ParseInt(id, 10, 64)
	e.number, e.numbered = n, err == nil
}

// push adds a part of a stream and returns the bytes that can be relayed.
func (e *events) push(part []byte) []byte {
	switch {
	case e.opaque:
		return part
	case !e.resumable:
		e.scan(part)
		return part
	}
	var out []byte
	for len(part) > 0 {
		n, ended := e.scanner.next(part)
		e.partial = append(e.partial, part[:n]...)
		part = part[n:]
		if !ended {
			e.count(n, false, false)
			break
		}
		before := len(out)
		out = e.appendNew(out, e.partial)
		e.count(n, true, e.scanner.content && len(out) > before)
		e.clearPartial()
	}
	return out
}

// passThrough makes the rest of the stream be passed through, without resuming it, and returns the beginning of the
// unfinished event. ok is false if that event may have been relayed before.
func (e *events) passThrough() (partial []byte, ok bool) {
	if e.lastID != "" && !e.advanced {
		return nil, false
	}
	e.resumable = false
	return e.remainder(), true
}

// scan scans a part of a stream that is passed through.
func (e *events) scan(part []byte) {
	for len(part) > 0 {
		n, ended := e.scanner.next(part)
		e.count(n, ended, e.scanner.content)
		part = part[n:]
	}
}

// appendNew appends a whole event to out unless it has been relayed.
func (e *events) appendNew(out, event []byte) []byte {
	id, ok := eventID(event)
	if ok && !e.isNew(id) {
		return out
	}
	if ok {
		e.record(id)
		e.advanced = true
	}
	return append(out, event...)
}

// remainder returns what follows the last event at the end of a whole stream: comments.
func (e *events) remainder() []byte {
	out := e.partial
	e.partial = nil
	return out
}

// isNew reports whether an event comes after the last one relayed; a backend server that resumes a stream may begin too
// early.
func (e *events) isNew(id string) bool {
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil || !e.numbered {
		return id != e.lastID
	}
	return n > e.number
}

// eventID returns the identifier of an event.
func eventID(event []byte) (string, bool) {
	for line := range bytes.FieldsFuncSeq(event, isLineEnd) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}

func isLineEnd(r rune) bool { return r == '\n' || r == '\r' }
