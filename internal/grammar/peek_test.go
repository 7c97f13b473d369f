package grammar

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

// TestPeekHeadReadsNothing checks that only the next head is looked at and that none of it is read, however it arrives.
func TestPeekHeadReadsNothing(t *testing.T) {
	const text = "HTTP/1.1 200 OK\r\nX: a\r\n\r\nbody\r\n\r\n"
	for _, source := range []io.Reader{
		strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text)), iotest.HalfReader(strings.NewReader(text)),
	} {
		is := is.New(t)
		reader := bufio.NewReader(source)
		head, err := PeekHead(reader)
		is.NoErr(err)
		is.Equal(head.Status(), 200)
		rest, err := io.ReadAll(reader)
		is.NoErr(err)
		is.Equal(string(rest), text)
	}
}

// TestPeekHeadErrors checks the errors for heads that can't be read.
func TestPeekHeadErrors(t *testing.T) {
	is := is.New(t)
	failed := errors.New("failed")
	for text, want := range map[string]error{
		"": io.EOF, "H": io.ErrUnexpectedEOF, "HTTP/1.1 200 OK": io.ErrUnexpectedEOF, "HTTP/1.1 200 OK\r\n": io.ErrUnexpectedEOF,
		"HTTP/1.1 200 " + strings.Repeat("x", 5000): bufio.ErrBufferFull,
	} {
		_, err := PeekHead(bufio.NewReaderSize(strings.NewReader(text), 4096))
		is.Equal(err, want)
	}
	_, err := PeekHead(bufio.NewReader(io.MultiReader(strings.NewReader("HTTP/1.1 2"), iotest.ErrReader(failed))))
	is.Equal(err, failed)
	_, err = PeekHead(bufio.NewReader(io.MultiReader(strings.NewReader("HTTx"), iotest.ErrReader(failed))))
	is.True(isOf(err, PartStatusLine)) // before more arrives
}
