package users

import (
	"bufio"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/tamarindstep/tamarindstep/internal/socket"
)

const (
	// smallReceiveBuffer is the receive buffer size of a slow caller, in bytes.
	smallReceiveBuffer = 4096
	// maxSegment is the largest TCP segment, in bytes, as on networks other than loopback. With the segments of
	// loopback the router's kernel buffers megabytes for a caller that reads nothing.
	maxSegment = 1400
)

// Pace limits how fast a caller reads: up to Bytes at a time, each followed by Pause. The zero Pace sets no limit.
type Pace struct {
	Bytes int
	Pause time.Duration
}

// DialSmallWindow connects to a router with a small receive buffer.
func DialSmallWindow(address string) (*Caller, error) {
	return dial(net.Dialer{Control: limitReceiveWindow}, address)
}

// limitReceiveWindow limits how much of an answer the kernel accepts before the caller reads it.
func limitReceiveWindow(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = errors.Join(
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, smallReceiveBuffer),
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, maxSegment),
		)
	})
	return errors.Join(err, failed)
}

func dial(dialer net.Dialer, address string) (*Caller, error) {
	c, err := dialer.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	out := &Caller{conn: c}
	out.reader = bufio.NewReader(pacedReader{out})
	return out, nil
}

// pacedReader reads at its caller's pace.
type pacedReader struct{ caller *Caller }

// Read implements io.Reader.
func (p pacedReader) Read(b []byte) (int, error) {
	pace := p.caller.pace
	if pace.Bytes > 0 && len(b) > pace.Bytes {
		b = b[:pace.Bytes]
	}
	n, err := p.caller.conn.Read(b)
	time.Sleep(pace.Pause)
	return n, err
}

// SetPace sets the pace of further reads.
func (c *Caller) SetPace(pace Pace) { c.pace = pace }

// SetDeadline sets the deadline of reads and writes.
func (c *Caller) SetDeadline(t time.Time) error { return c.conn.SetDeadline(t) }

// Ended reports whether the router has closed the connection.
func (c *Caller) Ended() bool { return socket.StateOf(c.conn) == socket.Closed }

// CloseWrite closes the sending side of the connection.
func (c *Caller) CloseWrite() error { return c.conn.(*net.TCPConn).CloseWrite() }

// Reset closes the connection with a TCP reset.
func (c *Caller) Reset() {
	_ = c.conn.(*net.TCPConn).SetLinger(0)
	_ = c.conn.Close()
}
