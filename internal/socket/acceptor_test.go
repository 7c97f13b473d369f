package socket

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

// acceptorOf returns a listener's acceptor, and a function that connects to it.
func acceptorOf(t *testing.T) (*Acceptor, func() net.Conn) {
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

// readSome reads what comes on a raw connection until something has.
func readSome(t *testing.T, c Raw, b []byte) int {
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

// TestRawConnectionsAnswerByThemselves answers a request on each of several connections and closes them: each caller gets the
// whole answer and an end in order.
func TestRawConnectionsAnswerByThemselves(t *testing.T) {
	is := is.New(t)
	a, dial := acceptorOf(t)
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

// TestOrdinaryConnectionOfARawOne reads what was read before and what comes after, and keeps its deadlines.
func TestOrdinaryConnectionOfARawOne(t *testing.T) {
	is := is.New(t)
	a, dial := acceptorOf(t)
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
	is.Equal(Look(c), Silent)
	is.NoErr(c.SetReadDeadline(time.Now().Add(time.Millisecond)))
	_, err = c.Read(text)
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
}

// TestRawConnectionTellsItsEnd tells a connection on which nothing has come from one that has ended.
func TestRawConnectionTellsItsEnd(t *testing.T) {
	is := is.New(t)
	a, dial := acceptorOf(t)
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

// TestAcceptorWaitsNoLongerThanItMay returns without a connection once its time is over, and waits for as long as it takes after that.
func TestAcceptorWaitsNoLongerThanItMay(t *testing.T) {
	is := is.New(t)
	a, dial := acceptorOf(t)
	batch, err := a.Accept(1, time.Millisecond)
	is.NoErr(err)
	is.Equal(len(batch), 0)
	time.AfterFunc(20*time.Millisecond, func() { dial() })
	batch, err = a.Accept(1, 0)
	is.NoErr(err)
	is.Equal(len(batch), 1)
	is.NoErr(batch[0].Close())
}

func TestClosedAcceptorWaitsNoMore(t *testing.T) {
	is := is.New(t)
	a, _ := acceptorOf(t)
	ended := make(chan error)
	go func() {
		_, err := a.Accept(1, 0)
		ended <- err
	}()
	is.NoErr(a.Close())
	is.True(<-ended != nil)
}
