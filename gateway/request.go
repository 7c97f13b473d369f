package gateway

import (
	"bytes"
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/tamarindstep/tamarindstep/config"
	"github.com/tamarindstep/tamarindstep/internal/clock"
)

// The default limits for callers.
const (
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 8 << 20
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 60 * time.Second
)

// limitsOf returns the limits in force, with defaults for those that are not configured.
func limitsOf(c *config.Compiled) config.CallerLimits {
	var out config.CallerLimits
	if c != nil {
		out = c.File.Callers
	}
	if out.HeaderBytes <= 0 {
		out.HeaderBytes = defaultHeaderBytes
	}
	if out.BodyBytes <= 0 {
		out.BodyBytes = defaultBodyBytes
	}
	if out.HeaderTimeout <= 0 {
		out.HeaderTimeout = defaultHeaderTimeout
	}
	if out.IdleTimeout <= 0 {
		out.IdleTimeout = defaultIdleTimeout
	}
	return out
}

// errIdle is returned for a connection that ended without another request.
var errIdle = errors.New("connection ended without another request")

// readHeader reads one request up to its body. It returns a refusal if the bytes are not a valid request; the
// connection can't be used after it.
func (c *callerConn) readHeader(req *fasthttp.Request, limits config.CallerLimits) (*refusal, error) {
	if err := c.SetReadDeadline(time.Now().Add(limits.IdleTimeout)); err != nil {
		return nil, err
	}
	if _, err := c.reader.Peek(1); err != nil {
		return nil, errIdle
	}
	c.busy.Store(true)
	c.writes.begin(clock.System.Now())
	if err := c.SetReadDeadline(time.Now().Add(limits.HeaderTimeout)); err != nil {
		return nil, err
	}
	if err := req.Header.Read(c.reader); err != nil {
		var small *fasthttp.ErrSmallBuffer
		if errors.As(err, &small) {
			return headerTooLarge, nil
		}
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return nil, err
		}
		return malformed, nil
	}
	if ambiguousLength(req.Header.RawHeaders()) {
		return malformed, nil
	}
	return nil, nil
}

const (
	// encodedFactor is how many bytes of chunks may be received for each byte that a body may have: chunks of one byte
	// take six.
	encodedFactor = 8
	// encodedReserve is how many bytes of chunks may be received in addition, for extensions and a trailer.
	encodedReserve = 64 << 10
)

// encodedLimit returns how many bytes may be received of a body in chunks that may have the given size. The parser
// limits neither the length of an extension nor the number of chunks with one.
func encodedLimit(bodyBytes int) int64 { return int64(encodedFactor*bodyBytes + encodedReserve) }

// limitEncoded limits what is received from now on of a body in chunks that may have the given size.
func (c *callerConn) limitEncoded(bodyBytes int) {
	c.encoded = &io.LimitedReader{R: c.Conn, N: encodedLimit(bodyBytes)}
}

// encodedExceeded reports whether the limit of a body in chunks has been reached: what was read then isn't all of it.
func (c *callerConn) encodedExceeded() bool { return c.encoded != nil && c.encoded.N <= 0 }

// endEncoded ends the limit.
func (c *callerConn) endEncoded() { c.encoded = nil }

// discard reads and discards a body of the given length.
func (c *callerConn) discard(length int) error {
	if err := c.SetReadDeadline(time.Now().Add(discardTimeout)); err != nil {
		return err
	}
	_, err := c.reader.Discard(length)
	return err
}

// ambiguousLength reports whether two parsers of a header could disagree on where the body ends, which would allow
// request smuggling.
func ambiguousLength(raw []byte) bool {
	lengths, encodings := 0, 0
	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		if len(line) > 0 && (line[0] == ' ' || line[0] == '\t') {
			return true // a folded line
		}
		name, _, _ := bytes.Cut(line, []byte(":"))
		switch trimmed := bytes.TrimSpace(name); {
		case bytes.EqualFold(trimmed, []byte("Content-Length")):
			lengths++
		case bytes.EqualFold(trimmed, []byte("Transfer-Encoding")):
			encodings++
		}
	}
	return lengths+encodings > 1
}
