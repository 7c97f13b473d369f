package exchange

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/tamarindstep/tamarindstep/internal/standin/users"
)

const (
	// patience is the time limit of exchanges that must fail much earlier.
	patience = 10 * time.Second
	// maxSent is how many bytes a server may get rid of, with the buffers of kernels.
	maxSent = 24 << 20
	// maxTestBody is the largest body accepted.
	maxTestBody = 1 << 20
)

// endlessServer answers each request with bytes without end, and reports how many were sent when the connection ended.
func endlessServer(t *testing.T, kind users.Endless, pause time.Duration) (address string, sent <-chan int) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	ended := make(chan int, 8)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = http.ReadRequest(bufio.NewReader(c))
				ended <- users.WriteEndless(c, kind, "id", "seal", pause)
				_ = c.Close()
			}()
		}
	}()
	return listener.Addr().String(), ended
}

// readAll performs one exchange and reads the whole response.
func readAll(t *testing.T, c *Client, options Options) (string, error) {
	t.Helper()
	req := &fasthttp.Request{}
	req.Header.SetHost("h")
	response, err := c.Do(t.Context(), req, options)
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := io.ReadAll(io.LimitReader(response, maxTestBody+1))
	return string(body), err
}

// skipOther skips responses to other requests.
func skipOther(h *fasthttp.ResponseHeader) bool {
	return string(h.Peek("Tamarindstep-Request-Id")) == "another"
}

// TestEndlessResponseEnds guards against a server that sends bytes without end being read until the time limit: an
// exchange must fail after a limited number of bytes, with the part that had no end, and close the connection.
func TestEndlessResponseEnds(t *testing.T) {
	for kind, part := range map[users.Endless]Part{
		users.EndlessHeadLine: PartHead, users.EndlessHeadLines: PartHead,
		users.EndlessContinue: PartInterim, users.EndlessHints: PartInterim,
		users.EndlessChunkSize: PartChunk, users.EndlessExtension: PartChunk, users.EndlessExtensions: PartExtensions,
		users.EndlessTrailerLine: PartTrailer, users.EndlessTrailer: PartTrailer,
		users.EndlessOtherAnswer: PartSkipped, users.EndlessChunks: PartBody, users.EndlessBody: PartBody,
		users.EndlessRubbish: "",
	} {
		t.Run(string(kind), func(t *testing.T) {
			is := is.New(t)
			address, sent := endlessServer(t, kind, 0)
			client := NewClient(address, time.Second)
			defer client.Close()
			_, err := readAll(t, client, Options{Timeout: patience, AllowUndelimited: true, MaxBody: maxTestBody, Skip: skipOther})
			is.True(err != nil)
			is.True(!isTimeout(err))
			var limit *LimitError
			if errors.As(err, &limit) {
				is.Equal(limit.Part, part)
			} else {
				is.Equal(part, Part("")) // another error
			}
			is.True(<-sent <= maxSent)
		})
	}
}

// TestRubbishIsFoundAtOnce guards against bytes in place of a head, one now and then, occupying an exchange until its
// time limit.
func TestRubbishIsFoundAtOnce(t *testing.T) {
	is := is.New(t)
	address, sent := endlessServer(t, users.EndlessRubbish, time.Millisecond)
	client := NewClient(address, time.Second)
	defer client.Close()
	_, err := readAll(t, client, Options{Timeout: patience})
	is.True(errors.Is(err, ErrNoResponse))
	is.True(<-sent < bufferSize)
}

// TestInterimResponsesArePassedOver guards against an interim response other than 100 being taken for the response.
func TestInterimResponsesArePassedOver(t *testing.T) {
	is := is.New(t)
	const final = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
	for _, first := range []string{"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 102 Processing\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"} {
		got, err := readAll(t, clientOf(t, first+first+final), Options{Timeout: patience})
		is.NoErr(err)
		is.Equal(got, "body")
	}
	for _, none := range []string{"HTTP/1.1 101 Switching Protocols\r\n\r\n", "HTTP/1.1 099 None\r\n\r\n", "HTTP/3.0 200 OK\r\n\r\n", "ICY 200 OK\r\n\r\n"} {
		_, err := readAll(t, clientOf(t, none+final), Options{Timeout: patience})
		is.True(errors.Is(err, ErrNoResponse))
	}
}

// clientOf returns a client of a server that answers with a text and closes the connection.
func clientOf(t *testing.T, text string) *Client {
	t.Helper()
	address, stop, err := users.ServeText(text)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	client := NewClient(address, time.Second)
	t.Cleanup(client.Close)
	return client
}

// TestBytesThatArriveDontExtendAnExchange guards against a server that sends a byte now and then occupying an exchange
// without end: each byte begins the wait for the next one anew.
func TestBytesThatArriveDontExtendAnExchange(t *testing.T) {
	is := is.New(t)
	address, sent := endlessServer(t, users.EndlessBody, 10*time.Millisecond)
	client := NewClient(address, time.Second)
	defer client.Close()
	_, err := readAll(t, client, Options{Timeout: patience, Within: 200 * time.Millisecond, AllowUndelimited: true})
	is.True(err != nil)
	<-sent
}

// TestBodyOfGivenLength checks that a body whose length is given is read whole if only others are limited, and that it
// fails before it is read otherwise.
func TestBodyOfGivenLength(t *testing.T) {
	is := is.New(t)
	const size = maxTestBody / 2
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
	body, err := readAll(t, clientOf(t, text), Options{Timeout: patience, MaxBody: size - 1, AnySize: true})
	is.NoErr(err)
	is.Equal(len(body), size)
	body, err = readAll(t, clientOf(t, text), Options{Timeout: patience, MaxBody: size - 1})
	var limit *LimitError
	is.True(errors.As(err, &limit))
	is.Equal(body, "")
}

// TestBytesOnIdleConnectionCloseIt guards against a server sending on over an idle connection until it is to be used
// again: the connection must be closed within a few seconds.
func TestBytesOnIdleConnectionCloseIt(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	kept, sent := make(chan struct{}), make(chan int, 1)
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody")
		<-kept
		sent <- users.WriteEndless(c, users.EndlessRubbish, "", "", 0)
	}()
	client := NewClient(listener.Addr().String(), time.Second)
	t.Cleanup(client.Close)
	_, err = readAll(t, client, Options{Timeout: patience})
	is.NoErr(err)
	client.mu.Lock()
	is.Equal(len(client.idle), 1)
	client.mu.Unlock()
	close(kept)
	select {
	case <-sent:
	case <-time.After(patience):
		t.Fatal("the connection isn't closed")
	}
}
