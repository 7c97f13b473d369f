package users

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
)

// eventOf returns the nth event of a stream, with the line ends of the behaviour.
func (x Behaviour) eventOf(version string, n int) string {
	event := EventOf(version, n)
	if x.LineEnd == "" {
		return event
	}
	return strings.ReplaceAll(event, "\n", x.LineEnd)
}

func (b *Backend) stream(c net.Conn, x Behaviour, id string, run int) bool {
	b.mu.Lock()
	from, _ := strconv.Atoi(b.runs[run].LastEvent)
	b.mu.Unlock()
	out := streamWriter{conn: c, chunked: !x.NoLength}
	if err := out.head(responseHead(200, id, "seal-"+b.Name) + x.leavingHeader()); err != nil {
		return b.recordDisconnect(run)
	}
	for n := from + 1; n <= x.Events; n++ {
		b.sleep(x.Gap)
		event := x.eventOf(b.Version, n)
		if x.AbortAfter > 0 && n > x.AbortAfter && x.aborts(run, from) {
			return b.abort(out, x, event)
		}
		if err := out.part(event); err != nil {
			return b.recordDisconnect(run)
		}
	}
	return out.end()
}

// abort ends a stream before or within an event.
func (b *Backend) abort(out streamWriter, x Behaviour, event string) bool {
	if x.AbortWithinEvent {
		_ = out.part(event[:len(event)/2])
	}
	if x.FalseEnd {
		return out.end()
	}
	if x.CrashOnAbort {
		b.crash()
	}
	if x.Reset {
		reset(out.conn)
	}
	return false
}

// streamWriter writes a streamed answer, in chunks or until the connection is closed.
type streamWriter struct {
	conn    net.Conn
	chunked bool
}

func (w streamWriter) head(head string) error {
	head += "Content-Type: text/event-stream\r\n"
	if w.chunked {
		head += "Transfer-Encoding: chunked\r\n"
	}
	_, err := io.WriteString(w.conn, head+"\r\n")
	return err
}

func (w streamWriter) part(text string) error {
	if w.chunked {
		text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
	}
	_, err := io.WriteString(w.conn, text)
	return err
}

// end ends the answer, and reports whether the connection remains open.
func (w streamWriter) end() bool {
	if !w.chunked {
		return false
	}
	_, err := io.WriteString(w.conn, "0\r\n\r\n")
	return err == nil
}

func (b *Backend) recordDisconnect(run int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[run].Disconnected = true
	return false
}
