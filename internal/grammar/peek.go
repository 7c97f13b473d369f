package grammar

import (
	"bufio"
	"bytes"
	"io"
)

// PeekHead checks the next head line by line as it arrives, without reading it. The error is an *Error if the head isn't
// valid, bufio.ErrBufferFull if it is larger than the reader's buffer, io.EOF if there is none, and io.ErrUnexpectedEOF if
// it ends early.
func PeekHead(r *bufio.Reader) (*Head, error) {
	if err := peekProtocol(r); err != nil {
		return nil, err
	}
	head, checked := &Head{}, 0
	for {
		line, err := peekLine(r, checked)
		if err != nil {
			return nil, err
		}
		last, err := head.Line(line)
		if err != nil {
			return nil, err
		}
		if last {
			return head, nil
		}
		checked += len(line)
	}
}

// peekProtocol checks the first bytes of a head as they arrive: of bytes that arrive slowly the first one may show that
// they aren't a response, long before there is a line.
func peekProtocol(r *bufio.Reader) error {
	for n := 1; n <= len(Protocol); n++ {
		begun, err := r.Peek(n)
		switch {
		case err == io.EOF && len(begun) > 0:
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		case begun[n-1] != Protocol[n-1]:
			return &Error{Part: PartStatusLine, Text: string(begun)}
		}
	}
	return nil
}

// peekLine returns the line that begins after a number of bytes of a head, with its end.
func peekLine(r *bufio.Reader, from int) ([]byte, error) {
	for n := from + 1; ; n = r.Buffered() + 1 {
		if _, err := r.Peek(n); err == io.EOF {
			return nil, io.ErrUnexpectedEOF
		} else if err != nil {
			return nil, err
		}
		buffered, err := r.Peek(r.Buffered())
		if err != nil {
			return nil, err
		}
		if end := bytes.IndexByte(buffered[from:], '\n'); end >= 0 {
			return buffered[from : from+end+1], nil
		}
	}
}
