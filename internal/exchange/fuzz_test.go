package exchange

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"net/http/httputil"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"

	"github.com/tamarindstep/tamarindstep/internal/grammar"
	"github.com/tamarindstep/tamarindstep/internal/standin/users"
)

// FuzzHead guards against a head that is accepted and that two parsers read differently: the one that responses are read
// with, and that of package net/http, which many callers use.
func FuzzHead(f *testing.F) {
	for _, text := range users.BrokenAnswers {
		f.Add([]byte(users.BrokenAnswer(text, "id", "seal")))
	}
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length:\t0004 \r\nServer: a\r\nSet-Cookie: a=b; c\r\nConnection: close, x\r\n\r\n"))
	f.Add([]byte("HTTP/1.0 404 \r\nContent-Type:text/plain\r\nTrailer: X\r\nX:\t a\xe9\t \r\n\r\n"))
	f.Add([]byte("HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: Chunked\r\nKeep-Alive: timeout=5\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		reader := bufio.NewReaderSize(bytes.NewReader(data), bufferSize)
		head, err := checkHead(reader)
		if err != nil {
			return
		}
		var parsed fasthttp.ResponseHeader
		if parsed.Read(reader) != nil {
			return
		}
		rest, _ := io.ReadAll(reader)
		end := len(data) - len(rest)
		checkSameHead(t, head, &parsed, data[:end])
	})
}

// checkSameHead checks that a head that was accepted means the same to both parsers.
func checkSameHead(t *testing.T, head *grammar.Head, parsed *fasthttp.ResponseHeader, text []byte) {
	t.Helper()
	is := is.New(t)
	is.True(bytes.HasSuffix(text, []byte("\r\n\r\n"))) // the whole head was read, and nothing else
	is.Equal(bytes.Count(text, []byte("\r\n\r\n")), 1)
	is.Equal(parsed.StatusCode(), head.Status())
	for name := range parsed.All() {
		_, err := grammar.ParseField(string(name) + ":")
		is.NoErr(err)
	}
	if parsed.StatusCode() >= fasthttp.StatusOK && !hasNoBody(parsed.StatusCode()) {
		is.Equal(parsed.ContentLength(), fasthttpLength(head.Length()))
	}
	other, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(text)), nil)
	is.NoErr(err)
	is.Equal(other.StatusCode, head.Status())
	if !hasNoBody(other.StatusCode) && other.StatusCode >= http.StatusOK {
		is.Equal(other.ContentLength, head.Length().Bytes)
		is.Equal(len(other.TransferEncoding) > 0, head.Length().Chunked)
	}
}

// fasthttpLength returns a length as fasthttp does.
func fasthttpLength(length grammar.Length) int {
	switch {
	case length.Chunked:
		return -1
	case length.Bytes < 0:
		return -2
	default:
		return int(length.Bytes)
	}
}

// FuzzChunks guards against chunks that are accepted and that another parser reads differently, and against a result that
// depends on the parts in which they arrive.
func FuzzChunks(f *testing.F) {
	for _, text := range []string{
		"0\r\n\r\n", "4\r\nbody\r\n0\r\n\r\n", "4;x=\"y\"\r\nbody\r\n0\r\nX: a\r\n\r\nrest", "4 \r\nbody\r\n0\r\n\r\n",
		"4\nbody\n0\n\n", "4\r\nbodies\r\n0\r\n\r\n", "4\r\nbody\r\n", "4\r\nbody\r\n0\r\n", "7fffffffffffffff\r\nbody", "0\r\nX A: b\r\n\r\n",
		"00000000000000000\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		is := is.New(t)
		body, rest, err := readChunks(bytes.NewReader(data))
		inParts, restInParts, errInParts := readChunks(iotest.OneByteReader(bytes.NewReader(data)))
		is.Equal(err == nil, errInParts == nil)
		is.Equal(body, inParts)
		if err != nil {
			return
		}
		is.Equal(rest, restInParts)
		other, err := io.ReadAll(httputil.NewChunkedReader(bytes.NewReader(data)))
		is.NoErr(err)
		is.Equal(body, string(other))
	})
}

// readChunks reads a body in chunks and the bytes after it.
func readChunks(src io.Reader) (body, rest string, err error) {
	reader := bufio.NewReaderSize(src, bufferSize)
	text, err := io.ReadAll(&chunkedBody{src: reader})
	if err != nil {
		return string(text), "", err
	}
	after, err := io.ReadAll(reader)
	return string(text), string(after), err
}

// TestChunksAreDecoded checks that a body in chunks of any sizes, with extensions and a trailer, is read whole and no
// further, whatever the sizes of the reads, and that no beginning of it is taken for whole.
func TestChunksAreDecoded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		var encoded, want strings.Builder
		for _, chunk := range rapid.SliceOfN(rapid.StringMatching(`[a-z\r\n0]{1,40}`), 0, 12).Draw(t, "chunks") {
			want.WriteString(chunk)
			extension := rapid.SampledFrom([]string{"", "", ";x", "; x = \"y\""}).Draw(t, "extension")
			_, _ = io.WriteString(&encoded, chunkOf(chunk, extension))
		}
		encoded.WriteString("0\r\n" + rapid.SampledFrom([]string{"", "X: a\r\n"}).Draw(t, "trailer") + "\r\n")
		text := encoded.String()
		reader := bufio.NewReaderSize(strings.NewReader(text+"rest"), bufferSize)
		body := &chunkedBody{src: reader}
		var got []byte
		for err := error(nil); err == nil; {
			part := make([]byte, rapid.IntRange(1, 50).Draw(t, "size"))
			var n int
			n, err = body.Read(part)
			got = append(got, part[:n]...)
			is.True(err == nil || err == io.EOF)
		}
		is.Equal(string(got), want.String())
		rest, err := io.ReadAll(reader)
		is.NoErr(err)
		is.Equal(string(rest), "rest")
		cut := rapid.IntRange(0, len(text)-1).Draw(t, "cut")
		_, _, err = readChunks(strings.NewReader(text[:cut]))
		is.Equal(err, io.ErrUnexpectedEOF)
	})
}

// chunkOf returns a chunk with an extension.
func chunkOf(text, extension string) string {
	const digits = "0123456789abcdef"
	size := string(digits[len(text)/len(digits)]) + string(digits[len(text)%len(digits)])
	return size + extension + "\r\n" + text + "\r\n"
}
