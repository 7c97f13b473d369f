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

// blockedWriter is a writer that blocks until it is released.
type blockedWriter struct {
	released chan struct{}
	got      bytes.Buffer
}

func (s *blockedWriter) Write(b []byte) (int, error) {
	<-s.released
	return s.got.Write(b)
}

func TestLogNeverBlocks(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{released: make(chan struct{})}
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
		t.Fatal("logging blocks while its writer blocks")
	}
	close(out.released)
	w.Close()
	text := out.got.String()
	is.True(strings.Contains(text, "log lines dropped"))
	is.True(len(text) <= 2*maxQueued)
	_, err := w.Write(line) // after Close: the line is dropped without a panic
	is.NoErr(err)
}

// partialWriter is a writer that accepts a part of each write, and nothing of every third one.
type partialWriter struct {
	got    bytes.Buffer
	writes int
}

func (p *partialWriter) Write(b []byte) (int, error) {
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

// TestLogLinesAreWhole guards against broken lines after partial writes, when the next line was written without the
// rest of the previous one.
func TestLogLinesAreWhole(t *testing.T) {
	is := is.New(t)
	out := &partialWriter{}
	w := &LogWriter{out: out, tokens: maxBurst, refilled: time.Now(), wake: make(chan struct{}, 1), done: make(chan struct{})}
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
	for attempts := 0; !w.flush(); attempts++ {
		is.True(attempts < 1000)
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

// truncatingWriter is a writer that keeps the beginning of each write and drops the rest without an error.
type truncatingWriter struct{ got bytes.Buffer }

func (c *truncatingWriter) Write(b []byte) (int, error) {
	c.got.Write(b[:min(len(b), 8192)])
	return len(b), nil
}

func TestLogIsWrittenInPieces(t *testing.T) {
	is := is.New(t)
	out := &truncatingWriter{}
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
