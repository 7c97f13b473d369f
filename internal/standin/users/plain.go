package users

import (
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Form is how the end of a plain answer is marked.
type Form string

// Forms of plain answers.
const (
	Sized      Form = ""        // by Content-Length
	Chunked    Form = "chunked" // by chunked encoding
	UntilClose Form = "open"    // by closing the connection
)

// Shape is the shape of a plain answer, which a request selects by its query.
type Shape struct {
	Bytes int // length of the body, -1 for the default text
	Form  Form
}

// defaultShape is used if a request selects none.
var defaultShape = Shape{Bytes: -1}

// Query returns the query that selects the shape.
func (s Shape) Query() string {
	if s == defaultShape {
		return ""
	}
	return "?bytes=" + strconv.Itoa(s.Bytes) + "&form=" + string(s.Form)
}

// Body returns the body of an answer of the shape.
func (s Shape) Body() string {
	if s.Bytes < 0 {
		return "the whole answer"
	}
	return strings.Repeat("x", s.Bytes)
}

// shapeOf returns the shape that a query selects.
func shapeOf(query url.Values) Shape {
	bytes, err := strconv.Atoi(query.Get("bytes"))
	if err != nil {
		return defaultShape
	}
	return Shape{Bytes: bytes, Form: Form(query.Get("form"))}
}

// ShapeOf returns the shape that a request's path selects.
func ShapeOf(path string) Shape {
	target, err := url.ParseRequestURI(path)
	if err != nil {
		return defaultShape
	}
	return shapeOf(target.Query())
}

// chunkSize is the size of the chunks of an answer, in bytes.
const chunkSize = 5000

// plain writes a plain answer, and reports whether the connection remains open.
func (b *Backend) plain(c net.Conn, x Behaviour, id string, shape Shape) bool {
	b.sleep(x.Gap)
	if x.HoldUntil != nil {
		select {
		case <-x.HoldUntil:
		case <-b.closed:
		}
	}
	status := x.Status
	if status == 0 {
		status = http.StatusOK
	}
	if len(x.Framings) > 0 {
		shape.Form = x.form
	}
	if x.NoLength {
		shape.Form = UntilClose
	}
	out := responseHead(status, id, "seal-"+b.Name) + x.leavingHeader() + "Content-Type: text/plain\r\n"
	body := shape.Body()
	switch shape.Form {
	case UntilClose:
		_ = b.writeHalves(c, out+"\r\n", body, x.HalfPause)
		if x.Reset {
			reset(c)
		}
		return false
	case Chunked:
		return b.writeHalves(c, out+"Transfer-Encoding: chunked\r\n\r\n", encodeChunked(body), x.HalfPause) == nil
	default:
		return b.writeHalves(c, out+"Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n", body, x.HalfPause) == nil
	}
}

// writeHalves writes a head and a body, with a pause between the halves of the body.
func (b *Backend) writeHalves(c net.Conn, head, body string, pause time.Duration) error {
	if pause == 0 {
		_, err := io.WriteString(c, head+body)
		return err
	}
	if _, err := io.WriteString(c, head+body[:len(body)/2]); err != nil {
		return err
	}
	b.sleep(pause)
	_, err := io.WriteString(c, body[len(body)/2:])
	return err
}

// encodeChunked returns a body in chunked encoding.
func encodeChunked(body string) string { return encodeChunks(body) + lastChunk }

// encodeChunks returns a part of a body in chunks.
func encodeChunks(body string) string {
	var out strings.Builder
	for len(body) > 0 {
		n := min(len(body), chunkSize)
		out.WriteString(encodeChunk(body[:n]))
		body = body[n:]
	}
	return out.String()
}

// encodeChunk returns one chunk.
func encodeChunk(text string) string {
	return strconv.FormatInt(int64(len(text)), 16) + "\r\n" + text + "\r\n"
}

// lastChunk ends a body in chunks.
const lastChunk = "0\r\n\r\n"
