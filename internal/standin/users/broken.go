package users

import (
	"io"
	"net"
	"net/http"
	"strings"
)

// names stands, in the text of a broken answer, for the fields that name the request and carry the seal.
const names = "{names}"

// BrokenAnswers are answers that break the grammar of HTTP/1.1, by what is broken about them. Each of them ends with its
// connection.
var BrokenAnswers = map[string]string{
	"status 000":                       "HTTP/1.1 000 \r\n" + names + "Content-Length: 4\r\n\r\nbody",
	"status 000, in chunks":            "HTTP/1.1 000 Nothing\r\n" + names + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"status 000, until its end":        "HTTP/1.1 000 OK\r\n" + names + "\r\nbody",
	"status 000, after an interim one": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK\r\n" + names + "Content-Length: 4\r\n\r\nbody",
	"status 600":                       "HTTP/1.1 600 Other\r\n" + names + "Content-Length: 4\r\n\r\nbody",
	"two blanks before the status":     "HTTP/1.1  200 OK\r\n" + names + "Content-Length: 4\r\n\r\nbody",
	"a control byte in the reason":     "HTTP/1.1 200 O\x01K\r\n" + names + "Content-Length: 4\r\n\r\nbody",
	"a line that ends without CR":      "HTTP/1.1 200 OK\r\n" + names + "X-A: b\nContent-Length: 4\r\n\r\nbody",
}

// BrokenAnswer returns the text of a broken answer to a request, with a seal.
func BrokenAnswer(text, id, seal string) string {
	fields := strings.TrimPrefix(responseHead(http.StatusOK, id, seal), responseHead(http.StatusOK, "", ""))
	return strings.ReplaceAll(text, names, fields)
}

// broken answers a request with a broken answer, and closes the connection.
func (b *Backend) broken(c net.Conn, x Behaviour, id string) bool {
	_, _ = io.WriteString(c, BrokenAnswer(x.Broken, id, "seal-"+b.Name))
	return false
}
