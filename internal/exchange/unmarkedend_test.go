package exchange

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/tamarindstep/tamarindstep/internal/standin/users"
)

// unmarkedHead is the head of a response whose end isn't marked.
const unmarkedHead = "HTTP/1.1 200 OK\r\n\r\n"

// longRequest is the size of a request, in bytes, that the buffers of a connection can't hold.
const longRequest = 12 << 20

// upload sends a request with a body of a size to a server that handles its connection with answer, and reads the whole
// response.
func upload(t *testing.T, size int, answer func(c *net.TCPConn, req *http.Request)) (string, error) {
	t.Helper()
	is := is.New(t)
	address, stop, err := users.Serve(answer)
	is.NoErr(err)
	defer stop()
	client := NewClient(address, time.Second)
	defer client.Close()
	req := &fasthttp.Request{}
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetHost("h")
	req.SetBodyRaw(make([]byte, size))
	response, err := client.Do(t.Context(), req, Options{Timeout: patience, AllowUndelimited: true, BodyStable: true})
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := io.ReadAll(response)
	return string(body), err
}

// TestPartBeforeRequestIsWrittenIsNotWhole guards against a part of a response being taken for a whole one because the
// connection ended while the request was being written: the error of a reset went to the write, and the read found an end
// in order.
func TestPartBeforeRequestIsWrittenIsNotWhole(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn){
		"reset":                    func(c *net.TCPConn) { _ = c.SetLinger(0) },
		"closed with unread bytes": func(*net.TCPConn) {},
		"half closed, then reset": func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(20 * time.Millisecond)
			_ = c.SetLinger(0)
		},
	} {
		for _, delay := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond, 200 * time.Millisecond} {
			t.Run(name+" after "+delay.String(), func(t *testing.T) {
				body, err := upload(t, longRequest, func(c *net.TCPConn, _ *http.Request) {
					_, _ = io.WriteString(c, unmarkedHead+"part")
					time.Sleep(delay)
					end(c)
				})
				if err == nil {
					t.Errorf("%q taken for whole", body)
				}
			})
		}
	}
}

// TestUnmarkedEndAfterRequestIsWhole checks that a response whose end isn't marked is whole if it ends after the server has
// read the whole request, also right after it.
func TestUnmarkedEndAfterRequestIsWhole(t *testing.T) {
	for _, size := range []int{0, inlineBody, inlineBody + 1, 100 << 10, longRequest} {
		for range 20 {
			is := is.New(t)
			body, err := upload(t, size, func(c *net.TCPConn, req *http.Request) {
				_, _ = io.Copy(io.Discard, req.Body)
				_, _ = io.WriteString(c, unmarkedHead+"whole")
			})
			is.NoErr(err)
			is.Equal(body, "whole")
		}
	}
}

// TestEarlyAnswerWithMarkedEndIsWhole checks that a response whose end is marked is whole although its connection was
// reset before the request was written.
func TestEarlyAnswerWithMarkedEndIsWhole(t *testing.T) {
	is := is.New(t)
	body, err := upload(t, longRequest, func(c *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
		time.Sleep(20 * time.Millisecond)
	})
	is.NoErr(err)
	is.Equal(body, "whole")
}
