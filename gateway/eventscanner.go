package gateway

import "bytes"

// eventScanner finds the ends of server-sent events in a stream that may be split anywhere. A line ends with LF, CR or
// CRLF; an empty line ends an event; a line that begins with a colon is a comment.
type eventScanner struct {
	afterCR bool // the last line ended with CR: a LF that follows belongs to it
	inLine  bool // the current line isn't empty
	comment bool // the current line is a comment
	inEvent bool // the current event has lines other than comments
	content bool // the last event that ended had lines other than comments
}

// lineEnds are the bytes that end a line.
const lineEnds = "\r\n"

// next scans up to the end of the next event. It returns the number of bytes scanned, and whether an event ended there.
func (s *eventScanner) next(b []byte) (n int, ended bool) {
	for n < len(b) && !ended {
		if s.afterCR && b[n] == '\n' {
			s.afterCR = false
			n++
			continue
		}
		line := bytes.IndexAny(b[n:], lineEnds)
		if line < 0 {
			s.addToLine(b[n:])
			return len(b), false
		}
		s.addToLine(b[n : n+line])
		n += line + 1
		s.afterCR = b[n-1] == '\r'
		ended = s.endLine()
	}
	if ended && s.afterCR && n < len(b) && b[n] == '\n' {
		s.afterCR = false
		n++
	}
	return n, ended
}

// addToLine adds bytes to the current line.
func (s *eventScanner) addToLine(b []byte) {
	if len(b) == 0 {
		return
	}
	s.afterCR = false
	if !s.inLine {
		s.inLine, s.comment = true, b[0] == ':'
	}
}

// endLine ends the current line, and reports whether that ends an event.
func (s *eventScanner) endLine() bool {
	if !s.inLine {
		s.content, s.inEvent = s.inEvent, false
		return true
	}
	s.inEvent = s.inEvent || !s.comment
	s.inLine = false
	return false
}

// withinEvent reports whether a stream that ends here would end within an event.
func (s *eventScanner) withinEvent() bool { return s.inLine || s.inEvent }
