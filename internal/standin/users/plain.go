package users

import (
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
)

// Form is how a plain answer is delimited.
type Form string

// The forms of plain answers.
const (
	Sized   Form = ""        // by its length
	Chunked Form = "chunked" // by chunks
	Open    Form = "open"    // by the end of its connection
)

// Shape is what a request asks of its plain answer, by its query.
type Shape struct {
	Bytes int // of the body, -1 for a short sentence
	Form  Form
}

// unshaped is the shape of the answer to a request that asks for none.
var unshaped = Shape{Bytes: -1}

// Query returns the query that asks for the shape.
func (s Shape) Query() string {
	if s == unshaped {
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

// shapeOf returns the shape that a query asks for.
func shapeOf(query url.Values) Shape {
	bytes, err := strconv.Atoi(query.Get("bytes"))
	if err != nil {
		return unshaped
	}
	return Shape{Bytes: bytes, Form: Form(query.Get("form"))}
}

// ShapeOf returns the shape that a request's path asks for.
func ShapeOf(path string) Shape {
	target, err := url.ParseRequestURI(path)
	if err != nil {
		return unshaped
	}
	return shapeOf(target.Query())
}

// chunk is the size of the chunks of an answer, in bytes.
const chunk = 5000

// plain gives a plain answer, and tells whether the connection goes on.
func (b *Backend) plain(c net.Conn, x Behaviour, id string, shape Shape) bool {
	b.pause(x.Gap)
	if x.Held != nil {
		select {
		case <-x.Held:
		case <-b.closed:
		}
	}
	status := x.Status
	if status == 0 {
		status = http.StatusOK
	}
	if x.Unframed {
		shape.Form = Open
	}
	out := head(status, id, "seal-"+b.Name) + x.notice()
	body := shape.Body()
	switch shape.Form {
	case Open:
		_, _ = io.WriteString(c, out+"\r\n"+body)
		if x.Reset {
			reset(c)
		}
		return false
	case Chunked:
		_, err := io.WriteString(c, out+"Transfer-Encoding: chunked\r\n\r\n"+chunked(body))
		return err == nil
	default:
		_, err := io.WriteString(c, out+"Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
		return err == nil
	}
}

// chunked returns a body in chunks.
func chunked(body string) string {
	var out strings.Builder
	for len(body) > 0 {
		n := min(len(body), chunk)
		out.WriteString(strconv.FormatInt(int64(n), 16) + "\r\n" + body[:n] + "\r\n")
		body = body[n:]
	}
	return out.String() + "0\r\n\r\n"
}
