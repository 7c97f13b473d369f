package grammar

// Head checks the lines of the head of a response as they arrive.
type Head struct {
	status       int // 0 before the status line
	minorVersion byte
	framing      framing
	length       Length
}

// Status returns the status, once the status line has been checked.
func (h *Head) Status() int { return h.status }

// Length returns what the head says about the length of the body, once it has been checked to its end.
func (h *Head) Length() Length { return h.length }

// Line checks the next line, with its end. It reports whether that is the empty line that ends the head.
func (h *Head) Line(line []byte) (last bool, err error) {
	text, err := CutLineEnd(line)
	if err != nil {
		return false, err
	}
	if h.status == 0 {
		h.status, h.minorVersion, err = parseStatusLine(text)
		return false, err
	}
	if text == "" {
		h.length, err = h.framing.of(h.status, h.minorVersion)
		return err == nil, err
	}
	field, err := ParseField(text)
	if err != nil {
		return false, err
	}
	return false, h.framing.add(field)
}
