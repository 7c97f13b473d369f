package grammar

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// lengthOf checks a head, given without line ends, and returns what it says about the length of the body.
func lengthOf(lines ...string) (Length, error) {
	var head Head
	for _, line := range append(lines, "") {
		if last, err := head.Line([]byte(line + lineEnd)); last || err != nil {
			return head.Length(), err
		}
	}
	return Length{}, errors.New("the head has no end")
}

// TestLength guards against a head that gives the length of its body in two ways, or in a way that another parser reads
// differently: a caller gets another body then.
func TestLength(t *testing.T) {
	none, four := Length{Bytes: -1}, Length{Bytes: 4}
	for head, length := range map[string]Length{
		"HTTP/1.1 200 OK":                                           none,
		"HTTP/1.1 200 OK|X: a|X: a":                                 none,
		"HTTP/1.1 200 OK|Content-Length: 4":                         four,
		"HTTP/1.1 200 OK|CONTENT-LENGTH:\t0004 ":                    four,
		"HTTP/1.0 200 OK|Content-Length: 4":                         four,
		"HTTP/1.1 304 Not Modified|Content-Length: 4":               four,
		"HTTP/1.1 204 No Content|Content-Length: 0":                 {Bytes: 0},
		"HTTP/1.1 200 OK|Content-Length: 9223372036854775807":       {Bytes: 1<<63 - 1},
		"HTTP/1.1 200 OK|transfer-encoding: Chunked":                {Bytes: -1, Chunked: true},
		"HTTP/1.1 200 OK|Content-Type: a|Transfer-Encoding:chunked": {Bytes: -1, Chunked: true},
	} {
		is := is.New(t)
		got, err := lengthOf(strings.Split(head, "|")...)
		is.NoErr(err)
		is.Equal(got, length)
	}
	for _, fields := range []string{
		"Content-Length: 4|Content-Length: 4", "Content-Length: 4|content-length: 5", "Content-Length: 4, 4",
		"Content-Length: ", "Content-Length: +4", "Content-Length: -4", "Content-Length: 0x4", "Content-Length: 4_0",
		"Content-Length: 4 0", "Content-Length: 9223372036854775808", "Content-Length: 18446744073709551620",
		"Content-Length: ٤", "Transfer-Encoding: gzip, chunked", "Transfer-Encoding: chunked, chunked",
		"Transfer-Encoding: identity", "Transfer-Encoding: ", "Transfer-Encoding: chunked;q=1",
		"Transfer-Encoding: chunked|Transfer-Encoding: chunked", "Transfer-Encoding: chunked|Content-Length: 4",
		"Content-Length: 4|Transfer-Encoding: chunked", "Content-Length: 0|Transfer-Encoding: chunked",
		"Content-Type: a|Content-Type: b",
	} {
		if _, err := lengthOf(append([]string{"HTTP/1.1 200 OK"}, strings.Split(fields, "|")...)...); !isOf(err, PartFraming) {
			t.Errorf("%q: %v", fields, err)
		}
	}
	for _, head := range []string{
		"HTTP/1.0 200 OK|Transfer-Encoding: chunked", "HTTP/1.1 204 No Content|Transfer-Encoding: chunked",
		"HTTP/1.1 204 No Content|Content-Length: 4", "HTTP/1.1 103 Early Hints|Content-Length: 4",
	} {
		if _, err := lengthOf(strings.Split(head, "|")...); !isOf(err, PartFraming) {
			t.Errorf("%q: %v", head, err)
		}
	}
}

// isOf reports whether an error is that of a part.
func isOf(err error, part Part) bool {
	var invalid *Error
	return errors.As(err, &invalid) && invalid.Part == part
}

// TestChunkSize guards against a size of a chunk that another parser reads differently.
func TestChunkSize(t *testing.T) {
	for line, size := range map[string]int64{
		"0": 0, "5": 5, "aB": 0xab, "0000000000000005": 5, "7fffffffffffffff": 1<<63 - 1,
		"5;x": 5, "5 ; x = y ;z": 5, "5;x=\"a \\\" b\";y=1": 5, "5;x=\"\"": 5,
	} {
		is := is.New(t)
		got, err := ParseChunkSize(line)
		is.NoErr(err)
		is.Equal(got, size)
	}
	for _, line := range []string{
		"", " 5", "5 ", "5\t", "0x5", "+5", "-5", "5_0", "5g", "8000000000000000", "10000000000000005", "00000000000000005", ";x", "5;", "5;;x",
		"5;x=", "5;x=\"a", "5;x=\"a\\", "5;x=\"\x01\"", "5;x=\"\\\x01\"", "5;x y", "5;x ", "5\r", "٥",
	} {
		if _, err := ParseChunkSize(line); !isOf(err, PartChunkSize) {
			t.Errorf("%q: %v", line, err)
		}
	}
}
