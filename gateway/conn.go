package gateway

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// writeTimeout is how long a caller may take to read a part of its answer.
const writeTimeout = 10 * time.Second

// callerConn is a caller's connection.
type callerConn struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	busy   atomic.Bool // a request is being read or served
}

func newCallerConn(c net.Conn, headerBytes int) *callerConn {
	return &callerConn{
		Conn:   c,
		reader: bufio.NewReaderSize(c, headerBytes),
		writer: bufio.NewWriterSize(c, answerBuffer),
	}
}

// answerBuffer is the size of the buffer that an answer is written through, in
// bytes.
const answerBuffer = 4096

// watch calls left if the caller closes its connection, until stop is called.
// While a request is served nothing else reads from the connection.
func (c *callerConn) watch(left context.CancelFunc) (stop func()) {
	done := make(chan struct{})
	_ = c.SetReadDeadline(time.Time{})
	go func() {
		defer close(done)
		_, err := c.reader.Peek(1)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			left()
		}
	}()
	return func() {
		_ = c.SetReadDeadline(time.Unix(1, 0))
		<-done
		_ = c.SetReadDeadline(time.Time{})
	}
}

// flush sends what was written.
func (c *callerConn) flush() error {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	return c.writer.Flush()
}

// abort closes the connection so that the caller can't take what it has got
// for a whole answer.
func (c *callerConn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
