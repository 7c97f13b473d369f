package gateway

import (
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/tamarindstep/tamarindstep/internal/exchange"
)

// The lengths of bodies that are written in chunks, and until the connection is closed.
const (
	chunked    = -1
	untilClose = -2
)

// connectionHeaders are the hop-by-hop headers, which aren't relayed.
var connectionHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true,
}

// writeHead writes the head of the backend server's response.
func (r *relay) writeHead(a *attempt, response *exchange.Response, length int) {
	w := a.conn.writer
	status := response.StatusCode()
	_, _ = w.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + fasthttp.StatusMessage(status) + "\r\n")
	for name, value := range response.Header.All() {
		if connectionHeaders[string(name)] {
			continue
		}
		_, _ = w.Write(name)
		_, _ = w.WriteString(": ")
		_, _ = w.Write(value)
		_, _ = w.WriteString("\r\n")
	}
	switch length {
	case chunked:
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n")
	case untilClose:
		r.untilClose, a.keepAlive = true, false
		a.conn.ResetOnClose(true) // until it is written, it must not look whole if this process ends
	default:
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(length) + "\r\n")
	}
	if a.service.draining.Load() {
		a.keepAlive = false
	}
	if !a.keepAlive {
		_, _ = w.WriteString("Connection: close\r\n")
	}
	_, _ = w.WriteString("\r\n")
}
