package exchange

import (
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

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
