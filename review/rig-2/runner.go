package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The pieces of a runner's answers.
const (
	streamEvents = 17                     // of each stream
	eventGap     = 200 * time.Millisecond // between two events of a stream
	plainBody    = 800                    // bytes of a plain answer
	plainWork    = 30 * time.Millisecond  // before a plain answer
	plainRest    = 150 * time.Millisecond // between the halves of a plain answer
)

// runnerProcess is a runner: it answers requests one after the other on each connection.
type runnerProcess struct {
	name     string
	unframed bool // its answers have neither a length nor chunks and end with their connections
	mu       sync.Mutex
	out      *json.Encoder
}

// note writes a line of the runner's record.
func (p *runnerProcess) note(what, id, text string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.out.Encode(line{Unix: time.Now().UnixMilli(), Who: p.name, What: what, ID: id, Text: text})
}

// runRunner runs a runner until its process is ended.
func runRunner(args []string) int {
	flags := flag.NewFlagSet("runner", flag.ContinueOnError)
	name := flags.String("name", "", "id of the runner")
	unframed := flags.Bool("unframed", false, "answers end with their connections")
	listen := flags.String("listen", "127.0.0.1:0", "IP and port")
	if flags.Parse(args) != nil {
		return exitNotRun
	}
	listener, err := net.Listen("tcp", *listen)
	if err != nil {
		return exitNotRun
	}
	p := &runnerProcess{name: *name, unframed: *unframed, out: json.NewEncoder(os.Stdout)}
	p.note("listens", "", listener.Addr().String())
	for {
		c, err := listener.Accept()
		if err != nil {
			return exitHeld
		}
		go p.serve(c)
	}
}

func (p *runnerProcess) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if !p.answer(c, req) {
			return
		}
	}
}

// head returns the beginning of an answer.
func (p *runnerProcess) head(status int, id, more string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nTamarindstep-Request-Id: %s\r\nTamarindstep-Response-Seal: seal.%s.%s\r\nTamarindstep-Weights-Version: 1\r\n%s\r\n",
		status, http.StatusText(status), id, p.name, id, more)
}

// answer answers a request and reports whether the connection stays open.
func (p *runnerProcess) answer(c net.Conn, req *http.Request) bool {
	id := req.Header.Get("Tamarindstep-Request-Id")
	switch {
	case req.URL.Path == "/healthz":
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTamarindstep-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", p.name)
		return err == nil
	case req.Header.Get("Tamarindstep-Expected-Instance") != p.name:
		p.note("misdirected", id, req.Header.Get("Tamarindstep-Expected-Instance"))
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nTamarindstep-Request-Id: %s\r\nTamarindstep-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
		return err == nil
	}
	p.note("runs", id, "after event "+req.Header.Get("Last-Event-Id"))
	if strings.HasPrefix(req.URL.Path, "/stream") {
		return p.stream(c, req, id)
	}
	return p.plain(c, id)
}

// event returns the nth event of a stream.
func event(n int) string { return fmt.Sprintf("id: %d\ndata: word %d\n\n", n, n) }

// stream answers with the events after Last-Event-Id.
func (p *runnerProcess) stream(c net.Conn, req *http.Request, id string) bool {
	from, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	more := "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
	if p.unframed {
		more = "Content-Type: text/event-stream\r\nConnection: close\r\n"
	}
	if _, err := io.WriteString(c, p.head(http.StatusOK, id, more)); err != nil {
		return false
	}
	for n := from + 1; n <= streamEvents; n++ {
		time.Sleep(eventGap)
		text := event(n)
		if !p.unframed {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		if _, err := io.WriteString(c, text); err != nil {
			return false
		}
		p.note("sent", id, "event "+strconv.Itoa(n))
	}
	p.note("ends", id, "whole stream")
	if p.unframed {
		return false
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// plainText returns the body of the answer to a request.
func plainText(id string) string { return strings.Repeat(id+" ", plainBody/(len(id)+1)) }

// plain answers with a body in two parts.
func (p *runnerProcess) plain(c net.Conn, id string) bool {
	body := plainText(id)
	more := "Content-Type: text/plain\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n"
	if p.unframed {
		more = "Content-Type: text/plain\r\nConnection: close\r\n"
	}
	time.Sleep(plainWork)
	if _, err := io.WriteString(c, p.head(http.StatusOK, id, more)+body[:len(body)/2]); err != nil {
		return false
	}
	p.note("sent", id, "first half")
	time.Sleep(plainRest)
	if _, err := io.WriteString(c, body[len(body)/2:]); err != nil {
		return false
	}
	p.note("ends", id, "whole answer")
	return !p.unframed
}
