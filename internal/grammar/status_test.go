package grammar

import (
	"testing"

	"github.com/matryer/is"
)

// TestStatusLine guards against a status line being accepted that a caller would read in another way, as that of status
// 000, which became 200.
func TestStatusLine(t *testing.T) {
	for line, status := range map[string]int{
		"HTTP/1.1 200 OK": 200, "HTTP/1.1 100 Continue": 100, "HTTP/1.0 599 Last": 599, "HTTP/1.2 404 ": 404,
		"HTTP/1.1 200 \tgut \xe9": 200, "HTTP/1.1 200  ": 200,
	} {
		is := is.New(t)
		got, _, err := parseStatusLine(line)
		is.NoErr(err)
		is.Equal(got, status)
	}
	for _, line := range []string{
		"", "HTTP/1.1", "HTTP/1.1 ", "HTTP/1.1 000 ", "HTTP/1.1 000 OK", "HTTP/1.1 099 None", "HTTP/1.1 600 Other",
		"HTTP/1.1 999 Other", "HTTP/1.1 0 OK", "HTTP/1.1 00 OK", "HTTP/1.1 0000 OK", "HTTP/1.1 2000 OK",
		"HTTP/1.1 +20 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 2O0 OK", "HTTP/1.1 200", "HTTP/1.1 200OK", "HTTP/1.1  200 OK",
		"HTTP/1.1 200\tOK", "HTTP/1.1\t200 OK", "HTTP/1.10 200 OK", "HTTP/1. 200 OK", "HTTP/1.x 200 OK", "HTTP/2.0 200 OK",
		"http/1.1 200 OK", " HTTP/1.1 200 OK", "ICY 200 OK", "HTTP/1.1 4294967496 OK", "HTTP/1.1 200 O\x00K",
		"HTTP/1.1 200 OK\r", "HTTP/1.1 200 O\x7fK", "HTTP/1.1 ٢٠٠ OK",
	} {
		_, _, err := parseStatusLine(line)
		if !isOf(err, PartStatusLine) {
			t.Errorf("%q: %v", line, err)
		}
	}
}
