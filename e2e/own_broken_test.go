package e2e

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"path"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/internal/standin/users"
)

// rawAnswer is an answer as it is written to a connection, which is then closed or reset.
type rawAnswer struct {
	name, text string
	reset      bool
}

// ownBrokenAnswers returns the answers that mustn't reach a caller of the product's own interface: those that break the
// grammar of HTTP/1.1, and a head that ends at each of its bytes.
func ownBrokenAnswers() []rawAnswer {
	var out []rawAnswer
	for name, text := range users.BrokenAnswers {
		out = append(out, rawAnswer{name: name, text: users.BrokenAnswer(text, "id", "seal")})
	}
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 40\r\n\r\n"
	for n := range head {
		name := fmt.Sprintf("a head that ends after %d bytes", n)
		out = append(out, rawAnswer{name: name, text: head[:n]}, rawAnswer{name: name + ", reset", text: head[:n], reset: true})
	}
	return out
}

// serveRaw answers each request on a loopback address with the answer whose number its path ends with, and any other with
// an empty success.
func serveRaw(t *testing.T, answers []rawAnswer) (address string) {
	t.Helper()
	address, stop, err := users.Serve(func(c *net.TCPConn, req *http.Request) {
		n, err := strconv.Atoi(path.Base(req.URL.Path))
		if err != nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			return
		}
		_, _ = io.WriteString(c, answers[n].text)
		if answers[n].reset {
			_ = c.SetLinger(0)
		}
	})
	is.New(t).NoErr(err)
	t.Cleanup(stop)
	return address
}

// TestBrokenAnswersReachNoCaller guards against an answer that breaks the grammar of HTTP/1.1, or whose head its backend
// server didn't finish, reaching a caller of the product's own interface as a success.
func TestBrokenAnswersReachNoCaller(t *testing.T) {
	t.Parallel()
	is := check(t)
	f := newFleet(t, 1)
	answers := ownBrokenAnswers()
	usual := f.configuration("")
	at := strings.Index(usual, "routes:\n")
	pool := fmt.Sprintf("  - name: raw\n    kind: service\n    backends:\n      - {name: raw-1, address: %q, data-hall: hall-a, slots: 50}\n", serveRaw(t, answers))
	code, out := f.ctl(f.routers[0], "apply", f.write("raw.yaml", usual[:at]+pool+usual[at:]+"  - {name: raw, service: raw, path: /, pool: raw, wait: 30s}\n"))
	if code != 0 {
		t.Fatal(out)
	}
	f.await("the server is used", func() bool { return f.call(f.routers[0], "/services/raw/ping", "{}").status == http.StatusOK })
	for n, answer := range answers {
		got := f.call(f.routers[0], "/services/raw/"+strconv.Itoa(n), "{}")
		if got.err != nil || got.status != http.StatusBadGateway || got.outcome != "unknown" {
			t.Errorf("%s: %d %q, outcome %q, %v", answer.name, got.status, got.body, got.outcome, got.err)
		}
	}
	is.Equal(f.call(f.routers[0], "/services/raw/ping", "{}").status, http.StatusOK)
}
