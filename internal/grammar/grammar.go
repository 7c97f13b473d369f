// Package grammar checks the heads and chunks of responses against the grammar of HTTP/1.1 (RFC 9110, RFC 9112), of which
// the parsers of libraries accept more: a line that two of them read differently ends a body in two places.
package grammar

import (
	"fmt"
	"strings"
)

// Part is a part of a response.
type Part string

// The parts of a response that are checked.
const (
	PartLineEnd    Part = "end of a line"
	PartStatusLine Part = "status line"
	PartField      Part = "field"
	PartFraming    Part = "length of a body"
	PartChunkSize  Part = "size of a chunk"
	PartChunkEnd   Part = "end of a chunk"
)

// Error is the error for a part of a response that doesn't match the grammar.
type Error struct {
	Part Part
	Text string // the part as received
}

// maxShown is how much of the text, in bytes, an error message has.
const maxShown = 60

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s is not valid: %.*q", e.Part, maxShown, e.Text)
}

// lineEnd ends each line of a head, of a chunk's size and of a trailer.
const lineEnd = "\r\n"

// CutLineEnd returns a line without its end.
func CutLineEnd(line []byte) (string, error) {
	text, ok := strings.CutSuffix(string(line), lineEnd)
	if !ok {
		return "", &Error{Part: PartLineEnd, Text: string(line)}
	}
	return text, nil
}

// isControl reports whether a byte is a control character, of which text may contain only the tab.
func isControl(b byte) bool { return b < ' ' && b != '\t' || b == 0x7f }

// isText reports whether a text has only visible characters, blanks, tabs and bytes of other character sets.
func isText(text string) bool {
	for i := range len(text) {
		if isControl(text[i]) {
			return false
		}
	}
	return true
}
