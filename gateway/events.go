package gateway

import (
	"bytes"
	"strconv"
)

// events splits a stream at the ends of its events, so that a stream that breaks off within an event can be resumed at
// another backend server without a gap or a repetition. Streams that can't be resumed are passed through unchanged.
type events struct {
	resumable bool
	partial   []byte // the beginning of an unfinished event
	lastID    string // identifier of the last whole event relayed
	number    int64  // lastID as a number
	numbered  bool
}

// begin prepares for the stream of another backend server.
func (e *events) begin(last string) {
	e.partial = e.partial[:0]
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
		if id, ok := eventID(event); !ok || e.isNew(id) {
			out = append(out, event...)
			if ok {
				e.record(id)
			}
		}
		e.partial = e.partial[end:]
	}
}

// remainder returns the unfinished event at the end of a stream.
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

// eventEnd returns the length of the first whole event, -1 if there is none.
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
