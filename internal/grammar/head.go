package grammar

import "strings"

// Head checks the lines of the head of a response as they arrive.
type Head struct {
	status int // 0 before the status line
}

// Status returns the status, once the status line has been checked.
func (h *Head) Status() int { return h.status }

// Line checks the next line, with its end. It reports whether that is the empty line that ends the head.
func (h *Head) Line(line []byte) (last bool, err error) {
	text, ok := strings.CutSuffix(string(line), lineEnd)
	if !ok {
		return false, &Error{Part: PartLineEnd, Text: string(line)}
	}
	if h.status == 0 {
		h.status, err = parseStatusLine(text)
		return false, err
	}
	if text == "" {
		return true, nil
	}
	_, err = ParseField(text)
	return false, err
}
