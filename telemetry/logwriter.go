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
	rest   []byte // taken from lines and not written yet; it begins within a line where its reader took a part
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
		if !w.flush() {
			w.again()
		}
	}
	for tries := 0; !w.flush() && tries < lastTries; tries++ {
		time.Sleep(logFlush)
	}
}

// lastTries is how often what is left is tried to be written at the end.
const lastTries = 10

// again lets what is left be written before long.
func (w *LogWriter) again() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	select {
	case w.queued <- struct{}{}:
	default:
	}
}

// flush writes what waits, and tells whether all of it was taken. A reader that doesn't keep up may take a part, in the middle of a
// line: that line goes on with the next write, as it else ends where the next one begins, and neither can be read. Of a busy
// router's lines 134 of 4,030 were so, each after 8,192 bytes of one write.
func (w *LogWriter) flush() bool {
	w.mu.Lock()
	w.rest = append(w.rest, w.lines.Bytes()...)
	w.lines.Reset()
	w.mu.Unlock()
	if n := w.dropped.Swap(0); n > 0 {
		w.rest = fmt.Appendf(w.rest, "{\"level\":\"warn\",\"dropped\":%d,\"message\":\"log lines dropped\"}\n", n)
	}
	for err := error(nil); err == nil && len(w.rest) > 0; {
		var n int
		n, err = w.out.Write(piece(w.rest))
		w.rest = w.rest[n:]
	}
	w.bound()
	return len(w.rest) == 0
}

// maxPiece is how much is written at once, in bytes, where a line isn't longer: what a pipe takes whole or not at all (PIPE_BUF of
// Linux). Some that collect logs take 8 kB of a write and drop the rest.
const maxPiece = 4096

// piece returns the lines at the beginning that fit into maxPiece, or the first line.
func piece(lines []byte) []byte {
	if len(lines) <= maxPiece {
		return lines
	}
	if end := bytes.LastIndexByte(lines[:maxPiece], '\n'); end >= 0 {
		return lines[:end+1]
	}
	if end := bytes.IndexByte(lines, '\n'); end >= 0 {
		return lines[:end+1]
	}
	return lines
}

// bound drops whole lines of what is left where it is too long; the line that was begun is kept to its end.
func (w *LogWriter) bound() {
	if len(w.rest) <= logQueue {
		return
	}
	end := bytes.IndexByte(w.rest, '\n') + 1
	w.dropped.Add(int64(bytes.Count(w.rest[end:], []byte("\n"))))
	w.rest = w.rest[:end]
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
