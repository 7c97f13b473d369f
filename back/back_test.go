package back

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// listen returns a listener on loopback that the kernel accepts connections for.
func listen(t *testing.T) net.Listener {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// answer answers each request on a listener with some bytes, after a delay.
func answer(listener net.Listener, text string, delay time.Duration) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			_, _ = http.ReadRequest(bufio.NewReader(c))
			time.Sleep(delay)
			_, _ = io.WriteString(c, text)
			_ = c.Close()
		}()
	}
}

func TestLivenessOfServers(t *testing.T) {
	for name, test := range map[string]struct {
		prepare func(net.Listener)
		want    Liveness
	}{
		"nothing listens":                         {func(l net.Listener) { _ = l.Close() }, Ended},
		"it doesn't respond":                      {func(net.Listener) {}, Unknown},
		"it closes connections without an answer": {func(l net.Listener) { go answer(l, "", 0) }, Unknown},
		"it rejects the request":                  {func(l net.Listener) { go answer(l, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n", 0) }, Alive},
		"its answer is no answer":                 {func(l net.Listener) { go answer(l, "!", 0) }, Alive},
		// Guards against taking a process for alive that the kernel is still closing the sockets of: the listener may be
		// the last one, and until then connections are accepted that the process never sees.
		"its listener is closed a moment later": {func(l net.Listener) { time.AfterFunc(30*time.Millisecond, func() { _ = l.Close() }) }, Ended},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := New(nil)
			defer func() { is.NoErr(s.Stop(t.Context())) }()
			l := listen(t)
			test.prepare(l)
			is.Equal(s.Liveness(l.Addr().String()), test.want)
			is.Equal(s.Ended(l.Addr().String()), test.want == Ended)
		})
	}
}

// TestLivenessIsProbedAfterTheCall guards against a probe that was sent before a connection ended being taken as evidence
// about that end.
func TestLivenessIsProbedAfterTheCall(t *testing.T) {
	is := is.New(t)
	s := New(nil)
	l := listen(t)
	go answer(l, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 100*time.Millisecond)
	first := make(chan Liveness, 1)
	go func() { first <- s.Liveness(l.Addr().String()) }()
	time.Sleep(50 * time.Millisecond) // the first probe is running
	is.NoErr(l.Close())
	is.Equal(s.Liveness(l.Addr().String()), Ended)
	is.Equal(<-first, Alive)
}
