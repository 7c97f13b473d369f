package socket

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Acceptor takes connections of a listener in batches, by direct calls of the system. What it takes has neither an entry of
// the poller nor a goroutine or an object of its own until Conn makes a connection of it, so that one which is only told to come
// again costs the few calls that tell it.
type Acceptor struct {
	file    *os.File
	raw     syscall.RawConn
	bounded bool // the file has a deadline
}

// errNoDescriptor is the error for a listener that has no descriptor.
var errNoDescriptor = errors.New("the listener has no descriptor")

// NewAcceptor returns an acceptor of a listener, which may go on taking connections as well. Both are closed on their own.
func NewAcceptor(l net.Listener) (*Acceptor, error) {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return nil, errNoDescriptor
	}
	file, err := tcp.File()
	if err != nil {
		return nil, err
	}
	raw, err := file.SyscallConn()
	if err != nil {
		return nil, errors.Join(err, file.Close())
	}
	return &Acceptor{file: file, raw: raw}, nil
}

// Close ends the acceptor, and a call of Accept that waits.
func (a *Acceptor) Close() error { return a.file.Close() }

// Accept waits for a connection, and returns those that are there, up to a number; none where none has come within a time that is
// above 0. It fails only once the acceptor is closed.
func (a *Acceptor) Accept(most int, within time.Duration) ([]Raw, error) {
	if err := a.waitAtMost(within); err != nil {
		return nil, err
	}
	for {
		var out []Raw
		var failed error
		err := a.raw.Read(func(listener uintptr) bool {
			out, failed = acceptAll(int(listener), most)
			return len(out) > 0 || !errors.Is(failed, unix.EAGAIN)
		})
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, nil
		}
		if err != nil {
			return nil, err
		}
		if len(out) > 0 {
			return out, nil
		}
		time.Sleep(acceptAgain)
	}
}

// waitAtMost sets how long the next call waits, 0 for as long as it takes.
func (a *Acceptor) waitAtMost(within time.Duration) error {
	if within == 0 && !a.bounded {
		return nil
	}
	a.bounded = within > 0
	if !a.bounded {
		return a.file.SetReadDeadline(time.Time{})
	}
	return a.file.SetReadDeadline(time.Now().Add(within))
}

// acceptAll takes connections until there is none, or the number is reached. The error is that of the last call, nil where
// the number was reached.
func acceptAll(listener, most int) ([]Raw, error) {
	var out []Raw
	for len(out) < most {
		fd, _, err := unix.Accept4(listener, unix.SOCK_CLOEXEC)
		switch {
		case errors.Is(err, unix.EINTR), errors.Is(err, unix.ECONNABORTED):
		case err != nil:
			return out, err
		default:
			out = append(out, Raw(fd))
		}
	}
	return out, nil
}

// Raw is a connection of which nothing is known but its descriptor. Its calls never wait, and one goroutine makes them.
type Raw int

// Read reads what has come; it returns 0 where nothing has, and an error where the other side has ended its connection.
func (c Raw) Read(b []byte) (int, error) {
	n, _, err := unix.Recvfrom(int(c), b, unix.MSG_DONTWAIT)
	switch {
	case errors.Is(err, unix.EAGAIN):
		return 0, nil
	case err != nil:
		return 0, err
	case n == 0:
		return 0, net.ErrClosed
	}
	return n, nil
}

// Write writes all of a short text, or fails.
func (c Raw) Write(b []byte) error { return unix.Send(int(c), b, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL) }

// CloseWrite ends what is written, and leaves the connection open for what still comes.
func (c Raw) CloseWrite() error { return unix.Shutdown(int(c), unix.SHUT_WR) }

// Close closes the connection.
func (c Raw) Close() error { return unix.Close(int(c)) }

// Conn makes an ordinary connection of it, which returns first what was read already. The raw one is closed in any case.
func (c Raw) Conn(read []byte) (net.Conn, error) {
	file := os.NewFile(uintptr(c), "")
	conn, err := net.FileConn(file)
	err = errors.Join(err, file.Close())
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil, errors.Join(errNoDescriptor, conn.Close())
	}
	if err := tcp.SetKeepAlive(false); err != nil {
		return nil, errors.Join(err, tcp.Close())
	}
	return &begunConn{TCPConn: tcp, read: read}, nil
}

// begunConn is a connection of which something was read before.
type begunConn struct {
	*net.TCPConn
	read []byte
}

// Read implements io.Reader.
func (c *begunConn) Read(b []byte) (int, error) {
	if len(c.read) == 0 {
		return c.TCPConn.Read(b)
	}
	n := copy(b, c.read)
	c.read = c.read[n:]
	return n, nil
}
