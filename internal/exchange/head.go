package exchange

import (
	"bufio"
	"bytes"

	"github.com/valyala/fasthttp"

	"github.com/tamarindstep/tamarindstep/internal/grammar"
)

// readFinalHead reads heads up to one that isn't interim.
func (a *Response) readFinalHead() error {
	for range maxInterim + 1 {
		head, err := checkHead(a.conn.reader)
		if err != nil {
			return err
		}
		if err := a.Header.Read(a.conn.reader); err != nil {
			return err
		}
		switch status := head.Status(); {
		case status == fasthttp.StatusSwitchingProtocols:
			return ErrNoResponse
		case status >= fasthttp.StatusOK:
			return nil
		}
	}
	return &LimitError{Part: PartInterim, Limit: maxInterim}
}

// checkHead checks the next head against the grammar, line by line as it arrives, before anything is read from it.
func checkHead(r *bufio.Reader) (*grammar.Head, error) {
	if err := checkBeginning(r); err != nil {
		return nil, err
	}
	head, checked := &grammar.Head{}, 0
	for {
		line, err := peekLine(r, checked)
		if err != nil {
			return nil, err
		}
		last, err := head.Line(line)
		if err != nil {
			return nil, noResponse(err)
		}
		if last {
			return head, nil
		}
		checked += len(line)
	}
}

// checkBeginning checks the first bytes of a head as they arrive: of bytes that arrive slowly the first one may show
// that they aren't a response, long before the time limit does.
func checkBeginning(r *bufio.Reader) error {
	for n := 1; n <= len(grammar.Protocol); n++ {
		begun, err := r.Peek(n)
		if err != nil {
			return err
		}
		if begun[n-1] != grammar.Protocol[n-1] {
			return ErrNoResponse
		}
	}
	return nil
}

// peekLine returns the line that begins after a number of bytes of a head, with its end, without reading it.
func peekLine(r *bufio.Reader, from int) ([]byte, error) {
	for n := from + 1; ; n = r.Buffered() + 1 {
		if _, err := r.Peek(n); err != nil {
			return nil, headError(err)
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

// headError returns the error of reading a head: a LimitError if it is too large, io.ErrUnexpectedEOF if its connection
// ended before it did.
func headError(err error) error {
	if err == bufio.ErrBufferFull {
		return &LimitError{Part: PartHead, Limit: bufferSize}
	}
	return unexpectedEnd(err)
}
