package telemetry

import (
	"bytes"
	"strings"
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
