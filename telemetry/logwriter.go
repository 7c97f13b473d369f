package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// logQueue is how many bytes of lines may wait to be written.
	logQueue = 256 << 10
	// logRate is how many lines a second are taken at the most, and logBurst how
	// many at once.
	logRate  = 400
	logBurst = 800
	// logFlush is how often what waits is written.
	logFlush = 50 * time.Millisecond
)

// LogWriter writes log lines without ever blocking those who log: lines beyond
// its rate, or while its reader doesn't keep up, are dropped, counted, and the
// number is written as a line of its own.
type LogWriter struct {
	out     io.Writer
	dropped atomic.Int64

	mu     sync.Mutex
	lines  bytes.Buffer
	tokens float64
	filled time.Time
	queued chan struct{}
	closed bool
	ended  chan struct{}
}

// NewLogWriter returns a writer to out; it must be closed.
func NewLogWriter(out io.Writer) *LogWriter {
	w := &LogWriter{
		out: out, tokens: logBurst, filled: time.Now(),
		queued: make(chan struct{}, 1), ended: make(chan struct{}),
	}
	go w.run()
	return w
}

// Write takes a line. It never fails.
func (w *LogWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.tokens = min(w.tokens+now.Sub(w.filled).Seconds()*logRate, logBurst)
	w.filled = now
	if w.closed || w.tokens < 1 || w.lines.Len()+len(line) > logQueue {
		w.dropped.Add(1)
		return len(line), nil
	}
	w.tokens--
	w.lines.Write(line)
	select {
	case w.queued <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped since the last note of it.
func (w *LogWriter) Dropped() int64 { return w.dropped.Load() }

func (w *LogWriter) run() {
	defer close(w.ended)
	for range w.queued {
		time.Sleep(logFlush)
		w.flush()
	}
	w.flush()
}

// flush writes what waits.
func (w *LogWriter) flush() {
	w.mu.Lock()
	lines := bytes.Clone(w.lines.Bytes())
	w.lines.Reset()
	w.mu.Unlock()
	if n := w.dropped.Swap(0); n > 0 {
		lines = fmt.Appendf(lines, "{\"level\":\"warn\",\"dropped\":%d,\"message\":\"log lines dropped\"}\n", n)
	}
	_, _ = w.out.Write(lines)
}

// Close writes what waits, and ends the writer.
func (w *LogWriter) Close() {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return
	}
	w.closed = true
	close(w.queued)
	w.mu.Unlock()
	<-w.ended
}
