package exchange

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/internal/standin/users"
)

// TestBrokenAnswersAreNoResponse guards against an answer that breaks the grammar of HTTP/1.1 being read as a response.
func TestBrokenAnswersAreNoResponse(t *testing.T) {
	for name, text := range users.BrokenAnswers {
		t.Run(name, func(t *testing.T) {
			body, err := readAll(t, clientOf(t, users.BrokenAnswer(text, "id", "seal")), Options{Timeout: patience, AllowUndelimited: true})
			if err == nil {
				t.Errorf("read as %q", body)
			}
		})
	}
}

// TestCutHeadIsNoResponse guards against a head that its server didn't finish being read as a response without a body, or
// with what is missing of it in another meaning, wherever it ends and however its connection does.
func TestCutHeadIsNoResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX: a\r\nContent-Length: 40\r\n\r\n"
	for n := range len(head) {
		for _, reset := range []bool{false, true} {
			_, err := upload(t, 0, func(c *net.TCPConn, _ *http.Request) {
				_, _ = io.WriteString(c, head[:n])
				if reset {
					_ = c.SetLinger(0)
				}
			})
			if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("%q, reset %v: %v", head[:n], reset, err)
			}
		}
	}
}

// TestBrokenAnswerOnReusedConnectionIsNoResponse guards against a broken answer being read as a response because one before
// it, on the same connection, was valid.
func TestBrokenAnswerOnReusedConnectionIsNoResponse(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		reader := bufio.NewReader(c)
		for _, text := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", "HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\nbody"} {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			_, _ = io.WriteString(c, text)
		}
	}()
	client := NewClient(listener.Addr().String(), time.Second)
	defer client.Close()
	body, err := readAll(t, client, Options{Timeout: patience})
	is.NoErr(err)
	is.Equal(body, "body")
	_, err = readAll(t, client, Options{Timeout: patience})
	is.True(errors.Is(err, ErrNoResponse))
	is.Equal(client.opened.Load(), int64(1))
}
