package socket

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// newTestAcceptor returns an acceptor and a function that connects to its listener.
func newTestAcceptor(t *testing.T) (*Acceptor, func() net.Conn) {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	a, err := NewAcceptor(l)
	is.NoErr(err)
	t.Cleanup(func() { _ = a.Close() })
	return a, func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
}

// readSome reads from a raw connection until some data is available.
func readSome(t *testing.T, c FDConn, b []byte) int {
	t.Helper()
	for {
		n, err := c.Read(b)
		if err != nil {
			t.Fatal(err)
		}
		if n > 0 {
			return n
		}
		time.Sleep(time.Millisecond)
	}
}

// TestFDConnWritesWholeMessagesOrFails guards against a message of which a part is sent without an error: the other side
// reads nothing until the send buffer is full.
func TestFDConnWritesWholeMessagesOrFails(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	client, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = client.Close() }()
	accepted, err := listener.Accept()
	is.NoErr(err)
	file, err := accepted.(*net.TCPConn).File()
	is.NoErr(err)
	is.NoErr(accepted.Close())
	defer func() { _ = file.Close() }()
	message := make([]byte, 100_003) // no divisor of a buffer's size
	whole := 0
	for FDConn(file.Fd()).Write(message) == nil {
		whole++
	}
	is.NoErr(unix.Shutdown(int(file.Fd()), unix.SHUT_WR))
	read, err := io.Copy(io.Discard, client)
	is.NoErr(err)
	is.True(whole > 0)
	is.True(read >= int64(whole*len(message)))
}

// TestFDConnsAnswer answers a request on each of several connections and closes them: each caller must receive the
// whole response and an orderly end of the connection.
func TestFDConnsAnswer(t *testing.T) {
	is := is.New(t)
	a, dial := newTestAcceptor(t)
	const callers = 5
	var conns []net.Conn
	for range callers {
		c := dial()
		_, err := io.WriteString(c, "question")
		is.NoErr(err)
		conns = append(conns, c)
	}
	for taken := 0; taken < callers; {
		batch, err := a.Accept(callers, 0)
		is.NoErr(err)
		for _, c := range batch {
			is.Equal(readSome(t, c, make([]byte, 100)), len("question"))
			is.NoErr(c.Write([]byte("answer")))
			is.NoErr(c.Close())
		}
		taken += len(batch)
	}
	for _, c := range conns {
		text, err := io.ReadAll(c)
		is.NoErr(err)
		is.Equal(string(text), "answer")
	}
}

// TestConnOfFDConn reads data received before and after the conversion, and checks that deadlines work.
func TestConnOfFDConn(t *testing.T) {
	is := is.New(t)
	a, dial := newTestAcceptor(t)
	caller := dial()
	_, err := io.WriteString(caller, "first")
	is.NoErr(err)
	batch, err := a.Accept(1, 0)
	is.NoErr(err)
	b := make([]byte, 100)
	n := readSome(t, batch[0], b)
	c, err := batch[0].Conn(b[:n])
	is.NoErr(err)
	defer func() { is.NoErr(c.Close()) }()
	_, err = io.WriteString(caller, "second")
	is.NoErr(err)
	text := make([]byte, len("firstsecond"))
	_, err = io.ReadFull(c, text)
	is.NoErr(err)
	is.Equal(string(text), "firstsecond")
	is.Equal(StateOf(c), Idle)
	is.NoErr(c.SetReadDeadline(time.Now().Add(time.Millisecond)))
	_, err = c.Read(text)
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
}

// TestFDConnReportsItsEnd distinguishes a connection without data from a closed one.
func TestFDConnReportsItsEnd(t *testing.T) {
	is := is.New(t)
	a, dial := newTestAcceptor(t)
	caller := dial()
	batch, err := a.Accept(1, 0)
	is.NoErr(err)
	n, err := batch[0].Read(make([]byte, 10))
	is.NoErr(err)
	is.Equal(n, 0)
	is.NoErr(caller.Close())
	for err == nil {
		_, err = batch[0].Read(make([]byte, 10))
	}
	is.True(errors.Is(err, net.ErrClosed))
	is.NoErr(batch[0].Close())
}

// TestAcceptTimeout checks that Accept returns without a connection after its timeout, and that the timeout doesn't
// affect the next call.
func TestAcceptTimeout(t *testing.T) {
	is := is.New(t)
	a, dial := newTestAcceptor(t)
	batch, err := a.Accept(1, time.Millisecond)
	is.NoErr(err)
	is.Equal(len(batch), 0)
	time.AfterFunc(20*time.Millisecond, func() { dial() })
	batch, err = a.Accept(1, 0)
	is.NoErr(err)
	is.Equal(len(batch), 1)
	is.NoErr(batch[0].Close())
}

func TestCloseUnblocksAccept(t *testing.T) {
	is := is.New(t)
	a, _ := newTestAcceptor(t)
	ended := make(chan error)
	go func() {
		_, err := a.Accept(1, 0)
		ended <- err
	}()
	is.NoErr(a.Close())
	is.True(<-ended != nil)
}
