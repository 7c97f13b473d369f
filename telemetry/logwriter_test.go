package telemetry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// stuck is a reader that takes nothing until it is let go.
type stuck struct {
	free chan struct{}
	got  bytes.Buffer
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.free
	return s.got.Write(b)
}

func TestLogNeverBlocks(t *testing.T) {
	is := is.New(t)
	out := &stuck{free: make(chan struct{})}
	w := NewLogWriter(out)
	line := []byte(strings.Repeat("x", 1000) + "\n")
	done := make(chan struct{})
	go func() {
		for range 5000 {
			_, _ = w.Write(line)
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("logging blocks while its reader takes nothing")
	}
	close(out.free)
	w.Close()
	text := out.got.String()
	is.True(strings.Contains(text, "log lines dropped"))
	is.True(len(text) <= 2*logQueue)
	_, err := w.Write(line) // after the end: dropped, not lost in a panic
	is.NoErr(err)
}

// partial is a reader that takes a part at a time, and now and then nothing.
type partial struct {
	got    bytes.Buffer
	writes int
}

func (p *partial) Write(b []byte) (int, error) {
	p.writes++
	if p.writes%3 == 0 {
		return 0, syscall.EAGAIN
	}
	n := min(len(b), 700)
	p.got.Write(b[:n])
	if n < len(b) {
		return n, syscall.EAGAIN
	}
	return n, nil
}

// TestLogLinesAreWhole lets a reader take parts of what is written: no line ends where another begins.
func TestLogLinesAreWhole(t *testing.T) {
	is := is.New(t)
	out := &partial{}
	w := &LogWriter{out: out, tokens: logBurst, filled: time.Now(), queued: make(chan struct{}, 1), ended: make(chan struct{})}
	want := 0
	for range 40 {
		for range 5 {
			line := fmt.Sprintf("{\"line\":%d,\"long\":%q}\n", want, strings.Repeat("x", want%90))
			_, err := w.Write([]byte(line))
			is.NoErr(err)
			want++
		}
		w.flush()
	}
	for tries := 0; !w.flush(); tries++ {
		is.True(tries < 1000)
	}
	got := 0
	for line := range strings.Lines(out.got.String()) {
		var in struct{ Line int }
		is.NoErr(json.Unmarshal([]byte(line), &in))
		is.Equal(in.Line, got)
		got++
	}
	is.Equal(got, want)
}

// truncating is a reader that takes the beginning of what is written at once, and says that it took all.
type truncating struct{ got bytes.Buffer }

func (c *truncating) Write(b []byte) (int, error) {
	c.got.Write(b[:min(len(b), 8192)])
	return len(b), nil
}

func TestLogIsWrittenInPieces(t *testing.T) {
	is := is.New(t)
	out := &truncating{}
	w := NewLogWriter(out)
	for i := range 200 {
		_, err := fmt.Fprintf(w, "{\"line\":%d,\"long\":%q}\n", i, strings.Repeat("x", 10*(i%90)))
		is.NoErr(err)
	}
	w.Close()
	got := 0
	for line := range strings.Lines(out.got.String()) {
		is.True(json.Valid([]byte(line)))
		got++
	}
	is.Equal(got, 200)
}
