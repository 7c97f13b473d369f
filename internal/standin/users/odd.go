package users

import "strings"

// OddEntries are values that another writer leaves among those of the backend servers, by what is odd about them.
var OddEntries = map[string]string{
	"nested arrays":     strings.Repeat("[", 100_000),
	"nested objects":    strings.Repeat(`{"a":`, 60_000),
	"nested in a field": `{"stage":` + strings.Repeat("[", 9_000) + strings.Repeat("]", 9_000) + `,"service":"entries","address":"127.0.0.1:9","zone":"z","slots":0,"state":"ready"}`,
	"a long text":       `{"service":"` + strings.Repeat("x", 300_000) + `"}`,
	"slots too large":   `{"service":"entries","address":"127.0.0.1:9","zone":"z","slots":1e999,"state":"ready"}`,
	"slots of 2^63":     `{"service":"entries","address":"127.0.0.1:9","zone":"z","slots":9223372036854775808,"state":"ready"}`,
	"cold too long":     `{"service":"entries","address":"127.0.0.1:9","zone":"z","slots":1,"state":"ready","cold_remaining_ms":1e400}`,
	"port out of range": `{"service":"entries","address":"127.0.0.1:65536","zone":"z","slots":1,"state":"ready"}`,
	"negative port":     `{"service":"entries","address":"127.0.0.1:-1","zone":"z","slots":1,"state":"ready"}`,
	"null":              `null`,
	"nothing":           ``,
	"no UTF-8":          "{\"service\":\"\xff\xfe\"}",
}

// SurplusBytes are bytes that belong to no request and precede the answer to one, by what they look like.
var SurplusBytes = map[string]string{
	"one byte":             "x",
	"not executed":         "HTTP/1.1 503 Service Unavailable\r\nTamarindstep-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	"misdirected":          "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
	"a failure":            "HTTP/1.1 404 Not Found\r\nContent-Length: 5\r\n\r\nother",
	"a success":            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother",
	"a failure of another": "HTTP/1.1 404 Not Found\r\nTamarindstep-Request-Id: another\r\nContent-Length: 5\r\n\r\nother",
	"rejection of another": "HTTP/1.1 503 Service Unavailable\r\nTamarindstep-Request-Id: another\r\nTamarindstep-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	"part of a head":       "HTTP/1.1 20",
	"the end of a body":    "the rest of a body\r\n0\r\n\r\n",
}
