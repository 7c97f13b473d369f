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
	// narrowWindow is the size of a slow caller's buffer for what it hasn't read, in bytes.
	narrowWindow = 4096
	// segment is the size of the largest segment, in bytes, as on any network but the machine's own, where the
	// router's system would take megabytes for a caller that reads nothing.
	segment = 1400
)

// Pace is how a caller reads: so many bytes, then a pause. The zero Pace is at once.
type Pace struct {
	Bytes int
	Pause time.Duration
}

// DialNarrow makes a connection whose system takes little that its caller hasn't read.
func DialNarrow(address string) (*Caller, error) {
	return dial(net.Dialer{Control: narrow}, address)
}

// narrow limits what the system takes of an answer before its caller reads it.
func narrow(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = errors.Join(
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, narrowWindow),
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, segment),
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
	out.reader = bufio.NewReader(paced{out})
	return out, nil
}

// paced reads at its caller's pace.
type paced struct{ caller *Caller }

// Read implements io.Reader.
func (p paced) Read(b []byte) (int, error) {
	pace := p.caller.pace
	if pace.Bytes > 0 && len(b) > pace.Bytes {
		b = b[:pace.Bytes]
	}
	n, err := p.caller.conn.Read(b)
	time.Sleep(pace.Pause)
	return n, err
}

// SetPace sets how it reads from now on.
func (c *Caller) SetPace(pace Pace) { c.pace = pace }

// SetDeadline sets when reading and writing fail.
func (c *Caller) SetDeadline(t time.Time) error { return c.conn.SetDeadline(t) }

// Ended tells whether the router has ended the connection.
func (c *Caller) Ended() bool { return socket.Look(c.conn) == socket.Ended }

// CloseWrite ends what the caller sends, and leaves reading open.
func (c *Caller) CloseWrite() error { return c.conn.(*net.TCPConn).CloseWrite() }

// Reset closes the connection by a reset.
func (c *Caller) Reset() {
	_ = c.conn.(*net.TCPConn).SetLinger(0)
	_ = c.conn.Close()
}
