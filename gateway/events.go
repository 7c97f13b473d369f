package gateway

import (
	"bytes"
	"strconv"
)

// events cuts a stream of events at their ends, so that a stream which breaks
// off within an event can be continued by another backend server without a gap
// or a repetition. Streams that can't be resumed are passed on as they come.
type events struct {
	resumable bool
	partial   []byte // of an event that hasn't ended yet
	last      string // identifier of the last whole event handed on
	number    int64  // the same, where it is a number
	numbered  bool
}

// begin prepares for the stream of another backend server.
func (e *events) begin(last string) {
	e.partial = e.partial[:0]
	if e.last == "" && last != "" {
		e.note(last)
	}
}

// note remembers the identifier of a whole event.
func (e *events) note(id string) {
	e.last = id
	n, err := strconv.ParseInt(id, 10, 64)
	e.number, e.numbered = n, err == nil
}

// take takes a part of a stream and returns what may be handed on.
func (e *events) take(part []byte) []byte {
	if !e.resumable {
		return part
	}
	e.partial = append(e.partial, part...)
	var out []byte
	for {
		end := eventEnd(e.partial)
		if end < 0 {
			return out
		}
		event := e.partial[:end]
		if id, ok := eventID(event); !ok || e.follows(id) {
			out = append(out, event...)
			if ok {
				e.note(id)
			}
		}
		e.partial = e.partial[end:]
	}
}

// rest returns what is left at the end of a whole stream.
func (e *events) rest() []byte {
	out := e.partial
	e.partial = nil
	return out
}

// follows tells whether an event comes after the last one handed on; a backend
// server that resumes may begin too early.
func (e *events) follows(id string) bool {
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil || !e.numbered {
		return id != e.last
	}
	return n > e.number
}

// eventEnd returns the length of the first whole event, -1 where there is none.
func eventEnd(b []byte) int {
	end := bytes.Index(b, []byte("\n\n"))
	if crlf := bytes.Index(b, []byte("\r\n\r\n")); crlf >= 0 && (end < 0 || crlf < end) {
		return crlf + len("\r\n\r\n")
	}
	if end < 0 {
		return -1
	}
	return end + len("\n\n")
}

// eventID returns the identifier of an event.
func eventID(event []byte) (string, bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}
