package exchange

import (
	"bufio"
	"errors"

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

// checkHead checks the next head against the grammar before anything is read from it.
func checkHead(r *bufio.Reader) (*grammar.Head, error) {
	head, err := grammar.PeekHead(r)
	var invalid *grammar.Error
	switch {
	case err == bufio.ErrBufferFull:
		return nil, &LimitError{Part: PartHead, Limit: bufferSize}
	case errors.As(err, &invalid):
		return nil, noResponse(err)
	default:
		return head, err
	}
}
