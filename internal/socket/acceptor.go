package socket

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Acceptor accepts connections of a listener in batches, by direct system calls. An FDConn needs no poller entry,
// goroutine or object until Conn turns it into a net.Conn, so that refusing a request on it costs only a few system
// calls.
type Acceptor struct {
	file       *os.File
	raw        syscall.RawConn
	hasTimeout bool // a read deadline is set
}

// errNoDescriptor is the error for a listener or connection without a file descriptor.
var errNoDescriptor = errors.New("listener or connection has no file descriptor")

// NewAcceptor returns an Acceptor for a TCP listener, which may still be used to accept connections. Each must be
// closed separately.
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

// Close closes the acceptor, which unblocks a call of Accept.
func (a *Acceptor) Close() error { return a.file.Close() }

// Accept waits for a connection and returns those that are ready, up to limit, or none if none arrives within the
// timeout; 0 means no timeout. It fails only once the acceptor is closed.
func (a *Acceptor) Accept(limit int, timeout time.Duration) ([]FDConn, error) {
	if err := a.setTimeout(timeout); err != nil {
		return nil, err
	}
	for {
		var out []FDConn
		var failed error
		err := a.raw.Read(func(listener uintptr) bool {
			out, failed = acceptAll(int(listener), limit)
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
		time.Sleep(acceptRetryDelay)
	}
}

// setTimeout sets the timeout of the next call, 0 for none.
func (a *Acceptor) setTimeout(timeout time.Duration) error {
	if timeout == 0 && !a.hasTimeout {
		return nil
	}
	a.hasTimeout = timeout > 0
	if !a.hasTimeout {
		return a.file.SetReadDeadline(time.Time{})
	}
	return a.file.SetReadDeadline(time.Now().Add(timeout))
}

// acceptAll accepts connections until none is ready or the limit is reached. The error is that of the last system call,
// nil if the limit was reached.
func acceptAll(listener, limit int) ([]FDConn, error) {
	var out []FDConn
	for len(out) < limit {
		fd, _, err := unix.Accept4(listener, unix.SOCK_CLOEXEC)
		switch {
		case errors.Is(err, unix.EINTR), errors.Is(err, unix.ECONNABORTED):
		case err != nil:
			return out, err
		default:
			out = append(out, FDConn(fd))
		}
	}
	return out, nil
}

// FDConn is a TCP connection as a plain file descriptor. Its methods never block; it must be used by one goroutine at
// a time.
type FDConn int

// Read reads the available data. It returns 0 if there is none, and an error if the other side has closed the
// connection.
func (c FDConn) Read(b []byte) (int, error) {
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

// Write sends a short message whole, or fails. A part of it may have been sent then.
func (c FDConn) Write(b []byte) error {
	n, err := unix.SendmsgN(int(c), b, nil, nil, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL)
	if err == nil && n < len(b) {
		err = io.ErrShortWrite
	}
	return err
}

// CloseWrite closes the write side of the connection.
func (c FDConn) CloseWrite() error { return unix.Shutdown(int(c), unix.SHUT_WR) }

// Close closes the connection.
func (c FDConn) Close() error { return unix.Close(int(c)) }

// Conn turns the descriptor into a connection that first returns the data already read. The FDConn is closed in any
// case.
func (c FDConn) Conn(read []byte) (*PrefixedConn, error) {
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
	return &PrefixedConn{TCPConn: tcp, read: read}, nil
}

// PrefixedConn is a connection that first returns data read before.
type PrefixedConn struct {
	*net.TCPConn
	read []byte
}

// Read implements io.Reader.
func (c *PrefixedConn) Read(b []byte) (int, error) {
	if len(c.read) == 0 {
		return c.TCPConn.Read(b)
	}
	n := copy(b, c.read)
	c.read = c.read[n:]
	return n, nil
}
