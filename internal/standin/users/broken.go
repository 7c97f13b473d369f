package users

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// The marks in the text of a broken answer.
const (
	names  = "{names}" // stands for the fields that name the request and carry the seal
	idMark = "{id}"    // stands for the identifier of the request
)

// BrokenAnswers are answers that break the grammar of HTTP/1.1, by what is broken about them. Each of them ends with its
// connection.
var BrokenAnswers = map[string]string{
	"status 000":                          "HTTP/1.1 000 \r\n" + names + "Content-Length: 4\r\n\r\nbody",
	"status 000, in chunks":               "HTTP/1.1 000 Nothing\r\n" + names + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"status 000, until its end":           "HTTP/1.1 000 OK\r\n" + names + "\r\nbody",
	"status 000, after an interim one":    "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK\r\n" + names + "Content-Length: 4\r\n\r\nbody",
	"status 600":                          "HTTP/1.1 600 Other\r\n" + names + "Content-Length: 4\r\n\r\nbody",
	"two blanks before the status":        "HTTP/1.1  200 OK\r\n" + names + "Content-Length: 4\r\n\r\nbody",
	"a control byte in the reason":        "HTTP/1.1 200 O\x01K\r\n" + names + "Content-Length: 4\r\n\r\nbody",
	"a line that ends without CR":         "HTTP/1.1 200 OK\r\n" + names + "X-A: b\nContent-Length: 4\r\n\r\nbody",
	"a blank in a name":                   "HTTP/1.1 200 OK\r\n" + names + "X A: b\r\nContent-Length: 4\r\n\r\nbody",
	"a blank in a name of the first":      "HTTP/1.1 200 OK\r\nX A B: b\r\n" + names + "Content-Length: 4\r\n\r\nbody",
	"a blank after a name":                "HTTP/1.1 200 OK\r\n" + names + "Content-Length: 4\r\nX-A : b\r\n\r\nbody",
	"a control byte in a name":            "HTTP/1.1 200 OK\r\n" + names + "X\x01A: b\r\nContent-Length: 4\r\n\r\nbody",
	"a tab in a name":                     "HTTP/1.1 200 OK\r\n" + names + "X\tA: b\r\nContent-Length: 4\r\n\r\nbody",
	"a control byte in a value":           "HTTP/1.1 200 OK\r\n" + names + "X-A: \x7f\r\nContent-Length: 4\r\n\r\nbody",
	"a blank after Content-Length":        "HTTP/1.1 200 OK\r\n" + names + "Content-Length : 2\r\n\r\nbodies",
	"a blank in Content-Length":           "HTTP/1.1 200 OK\r\n" + names + "Content Length: 2\r\n\r\nbodies",
	"a blank after Transfer-Encoding":     "HTTP/1.1 200 OK\r\n" + names + "Transfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"a blank in Transfer-Encoding":        "HTTP/1.1 200 OK\r\n" + names + "Transfer Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"a folded Content-Length":             "HTTP/1.1 200 OK\r\n" + names + "X-A: b\r\n Content-Length: 2\r\n\r\nbodies",
	"chunks beside a length":              "HTTP/1.1 200 OK\r\n" + names + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"chunks of HTTP/1.0":                  "HTTP/1.0 200 OK\r\n" + names + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"a body that its status doesn't have": "HTTP/1.1 204 No Content\r\n" + names + "Content-Length: 4\r\n\r\nbody",
	"a length given twice":                "HTTP/1.1 200 OK\r\n" + names + "Content-Length: 4\r\nContent-Length: 2\r\n\r\nbody",
	"a type given twice":                  "HTTP/1.1 200 OK\r\n" + names + "Content-Type: text/plain\r\nContent-Type: text/html\r\nContent-Length: 4\r\n\r\nbody",
	"a blank after the size of a chunk":   "HTTP/1.1 200 OK\r\n" + names + "Transfer-Encoding: chunked\r\n\r\n4 \r\nbody\r\n0\r\n\r\n",
	"a chunk longer than its size":        "HTTP/1.1 200 OK\r\n" + names + "Transfer-Encoding: chunked\r\n\r\n2\r\nbody\r\n0\r\n\r\n",
	"a blank in a name of a trailer":      "HTTP/1.1 200 OK\r\n" + names + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX A: b\r\n\r\n",
	"a head without its last line":        "HTTP/1.1 200 OK\r\n" + names + "Content-Length: 4\r\n",
	"a head that ends within a line":      "HTTP/1.1 200 OK\r\n" + names + "Content-Length: 4",
	"a head that ends within a length":    "HTTP/1.1 200 OK\r\n" + names + "Content-Len",
	"a head that ends within its status":  "HTTP/1.1 20",
}

// AmbiguousAnswers are answers whose heads name two requests, or don't have one seal, by what is wrong with them.
var AmbiguousAnswers = map[string]string{
	"another request first": "HTTP/1.1 200 OK\r\nTamarindstep-Request-Id: another\r\n" + names + "Content-Length: 4\r\n\r\nbody",
	"another request last":  "HTTP/1.1 200 OK\r\n" + names + "Tamarindstep-Request-Id: another\r\nContent-Length: 4\r\n\r\nbody",
	"two seals":             "HTTP/1.1 200 OK\r\n" + names + "Tamarindstep-Response-Seal: another\r\nContent-Length: 4\r\n\r\nbody",
	"no seal":               "HTTP/1.1 200 OK\r\nTamarindstep-Request-Id: " + idMark + "\r\nContent-Length: 4\r\n\r\nbody",
}

// BrokenAround returns answers with a given body that break the grammar of HTTP/1.1 only in their heads or in how the body
// is marked, by what is broken about them: whoever reads no more than the body takes them for a success.
func BrokenAround(body string) map[string]string {
	sized := "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	return map[string]string{
		"status 000":             "HTTP/1.1 000 OK\r\n" + sized + "\r\n" + body,
		"a blank in a name":      "HTTP/1.1 200 OK\r\nX A: b\r\n" + sized + "\r\n" + body,
		"a folded line":          "HTTP/1.1 200 OK\r\nX-A: a\r\n b\r\n" + sized + "\r\n" + body,
		"chunks beside a length": "HTTP/1.1 200 OK\r\n" + sized + "Transfer-Encoding: chunked\r\n\r\n" + encodeChunked(body),
		"a cut head":             "HTTP/1.1 200 OK\r\n" + sized,
		"no length":              "HTTP/1.1 200 OK\r\n\r\n" + body,
	}
}

// Serve passes each request on a loopback address, whose body may not have been read, to a function, and closes its
// connection after that. It ends with stop.
func Serve(answer func(*net.TCPConn, *http.Request)) (address string, stop func(), err error) {
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return "", nil, err
	}
	go func() {
		for {
			c, err := listener.AcceptTCP()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					answer(c, req)
				}
			}()
		}
	}()
	return listener.Addr().String(), func() { _ = listener.Close() }, nil
}

// ServeText answers each request on a loopback address with a text, and closes the connection. It ends with stop.
func ServeText(text string) (address string, stop func(), err error) {
	return Serve(func(c *net.TCPConn, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(c, text)
	})
}

// BrokenAnswer returns the text of a broken answer to a request, with a seal.
func BrokenAnswer(text, id, seal string) string {
	fields := strings.TrimPrefix(responseHead(http.StatusOK, id, seal), responseHead(http.StatusOK, "", ""))
	return strings.NewReplacer(names, fields, idMark, id).Replace(text)
}

// broken answers a request with a broken answer, and closes the connection.
func (b *Backend) broken(c net.Conn, x Behaviour, id string) bool {
	_, _ = io.WriteString(c, BrokenAnswer(x.Broken, id, "seal-"+b.Name))
	return false
}

// EarlyAnswer is a part of an answer, whose end isn't marked, that is sent before the body of the request is read. Its
// connection is then reset or closed with bytes unread.
type EarlyAnswer struct {
	Part  string
	Delay time.Duration // until the connection is reset or closed
	Reset bool          // the connection is reset
}

// earlyReceiveBuffer is the size of the receive buffer, in bytes, of a connection with an EarlyAnswer: the sender of a long
// body waits then.
const earlyReceiveBuffer = 4096

// answerEarly sends an EarlyAnswer. The connection doesn't remain open.
func (b *Backend) answerEarly(c net.Conn, req *http.Request, x EarlyAnswer) {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	_ = tcp.SetReadBuffer(earlyReceiveBuffer)
	b.recordRun(req, nil)
	_, _ = io.WriteString(c, responseHead(http.StatusOK, req.Header.Get("Tamarindstep-Request-Id"), "seal-"+b.Name)+"\r\n"+x.Part)
	b.sleep(x.Delay)
	if x.Reset {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
