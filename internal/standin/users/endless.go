package users

import (
	"io"
	"net"
	"strings"
	"time"
)

// Endless is what a backend server sends without end instead of an answer, or after it.
type Endless string

// What is sent without end.
const (
	EndlessRubbish      Endless = "bytes in place of a head"
	EndlessHeadLine     Endless = "a line of a head"
	EndlessHeadLines    Endless = "lines of a head"
	EndlessContinue     Endless = "interim responses 100"
	EndlessHints        Endless = "interim responses 103"
	EndlessChunkSize    Endless = "the size of a chunk"
	EndlessExtension    Endless = "the extension of a chunk"
	EndlessExtensions   Endless = "small chunks with extensions"
	EndlessTrailerLine  Endless = "a line of a trailer"
	EndlessTrailer      Endless = "lines of a trailer"
	EndlessChunks       Endless = "chunks of a body"
	EndlessBody         Endless = "a body without a length"
	EndlessOtherAnswer  Endless = "the answer to another request"
	EndlessAfterAnswer  Endless = "bytes after a whole answer"
	EndlessEvent        Endless = "an event"
	EndlessEventLines   Endless = "lines of an event"
	EndlessComments     Endless = "comments of a stream"
	EndlessEmptyLines   Endless = "empty lines of a stream"
	EndlessRepeats      Endless = "repetitions of an event"
	EndlessChunkedEvent Endless = "an event in chunks"
)

// endlessPart is how many bytes are written at once, about.
const endlessPart = 32 << 10

// endlessForm is what is written before, and then again and again.
type endlessForm struct{ first, piece string }

// form returns what a backend server of a software version writes in answer to a request.
func (e Endless) form(version, id, seal string) endlessForm {
	event := EventOf(version, 1)
	head := responseHead(200, id, seal)
	plain := head + "Content-Type: text/plain\r\n"
	chunked := plain + "Transfer-Encoding: chunked\r\n\r\n"
	events := head + "Content-Type: text/event-stream\r\n"
	switch e {
	case EndlessRubbish:
		return endlessForm{"", "\x00\x8e rubbish"}
	case EndlessHeadLine:
		return endlessForm{head + "Junk: ", "xxxxxxxx"}
	case EndlessHeadLines:
		return endlessForm{head, "Junk: xx\r\n"}
	case EndlessContinue:
		return endlessForm{"", "HTTP/1.1 100 Continue\r\n\r\n"}
	case EndlessHints:
		return endlessForm{"", responseHead(103, id, seal) + "\r\n"}
	case EndlessChunkSize:
		return endlessForm{chunked, "00000000"}
	case EndlessExtension:
		return endlessForm{chunked + "1;", "xxxxxxxx"}
	case EndlessExtensions:
		return endlessForm{chunked, "1;" + strings.Repeat("x", 200) + "\r\nx\r\n"}
	case EndlessTrailerLine:
		return endlessForm{chunked + "4\r\nbody\r\n0\r\nJunk: ", "xxxxxxxx"}
	case EndlessTrailer:
		return endlessForm{chunked + "4\r\nbody\r\n0\r\n", "Junk: xx\r\n"}
	case EndlessChunks:
		return endlessForm{chunked, encodeChunk(strings.Repeat("x", chunkSize))}
	case EndlessBody:
		return endlessForm{plain + "\r\n", "xxxxxxxx"}
	case EndlessOtherAnswer:
		other := responseHead(200, "another", "") + "Transfer-Encoding: chunked\r\n\r\n"
		return endlessForm{other, encodeChunk(strings.Repeat("x", chunkSize))}
	case EndlessAfterAnswer:
		return endlessForm{plain + "Content-Length: 4\r\n\r\nbody", "xxxxxxxx"}
	case EndlessEvent:
		return endlessForm{events + "\r\n" + event + "id: 2\ndata: ", "xxxxxxxx"}
	case EndlessEventLines:
		return endlessForm{events + "\r\n" + event + "id: 2\n", "data: xx\n"}
	case EndlessComments:
		return endlessForm{events + "\r\n" + event, ": comment\n"}
	case EndlessEmptyLines:
		return endlessForm{events + "\r\n" + event, "\n"}
	case EndlessRepeats:
		return endlessForm{events + "\r\n", event}
	default: // EndlessChunkedEvent
		return endlessForm{events + "Transfer-Encoding: chunked\r\n\r\n" + encodeChunk(event), encodeChunk("data: " + strings.Repeat("x", chunkSize))}
	}
}

// WriteEndless answers a request with bytes without end, until the connection is closed. With a pause one byte is sent
// at a time, each after the pause; with 0 they are sent as fast as they are read. It returns the number of bytes sent.
func WriteEndless(c net.Conn, e Endless, id, seal string, pause time.Duration) int {
	return writeEndless(c, e.form(DefaultVersion, id, seal), pause)
}

func writeEndless(c net.Conn, form endlessForm, pause time.Duration) int {
	sent, err := io.WriteString(c, form.first)
	if pause == 0 {
		form.piece = strings.Repeat(form.piece, max(endlessPart/len(form.piece), 1))
	}
	for i := 0; err == nil; i++ {
		part := form.piece
		if pause > 0 {
			time.Sleep(pause)
			part = part[i%len(part):][:1]
		}
		var n int
		n, err = io.WriteString(c, part)
		sent += n
	}
	return sent
}

// endless answers with bytes without end, and records that the caller disconnected.
func (b *Backend) endless(c net.Conn, x Behaviour, id string, run int) bool {
	sent := writeEndless(c, x.Endless.form(b.Version, id, "seal-"+b.Name), x.EndlessPause)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[run].Disconnected, b.runs[run].Sent = true, sent
	return false
}
