package exchange

import (
	"bufio"
	"bytes"
	"fmt"
	"io"

	"github.com/tamarindstep/tamarindstep/internal/grammar"
)

// chunkedBody is a body in chunks, followed by a trailer.
type chunkedBody struct {
	src   *bufio.Reader
	left  int64 // bytes of the current chunk that haven't been read
	begun bool  // a chunk has begun, whose end hasn't been read
	extra int64 // bytes beside the data, less what is allowed for the data
	done  bool
}

// Read implements io.Reader. It returns as many chunks as have arrived.
func (b *chunkedBody) Read(p []byte) (n int, err error) {
	for n < len(p) && !b.done {
		if b.left == 0 {
			if n > 0 && !b.hasNext() {
				return n, nil
			}
			if err := b.next(); err != nil {
				return n, err
			}
			continue
		}
		if n > 0 && b.src.Buffered() == 0 {
			return n, nil
		}
		room := min(int64(len(p)-n), b.left)
		read, err := b.src.Read(p[n : n+int(room)])
		n += read
		b.left -= int64(read)
		if err != nil {
			return n, unexpectedEnd(err)
		}
	}
	if b.done {
		return n, io.EOF
	}
	return n, nil
}

// chunkEnd ends the data of each chunk.
const chunkEnd = "\r\n"

// hasNext reports whether the size of the next chunk has arrived.
func (b *chunkedBody) hasNext() bool {
	arrived, err := b.src.Peek(b.src.Buffered())
	return err == nil && len(arrived) > len(chunkEnd) && bytes.IndexByte(arrived[len(chunkEnd):], '\n') >= 0
}

// next reads the end of the current chunk and the size of the next one, or the trailer after the last.
func (b *chunkedBody) next() error {
	if b.begun {
		if err := b.readEnd(); err != nil {
			return err
		}
	}
	line, err := b.line(PartChunk)
	if err != nil {
		return err
	}
	size, err := grammar.ParseChunkSize(line)
	if err != nil {
		return noResponse(err)
	}
	b.left, b.begun = size, size > 0
	if size > 0 {
		return b.count(line)
	}
	if err := b.readTrailer(); err != nil {
		return err
	}
	b.done = true
	return nil
}

// readEnd reads the end of a chunk.
func (b *chunkedBody) readEnd() error {
	var end [len(chunkEnd)]byte
	if _, err := io.ReadFull(b.src, end[:]); err != nil {
		return unexpectedEnd(err)
	}
	if string(end[:]) != chunkEnd {
		return noResponse(&grammar.Error{Part: grammar.PartChunkEnd, Text: string(end[:])})
	}
	return nil
}

// count counts what the chunk that begins has beside its data. It is allowed to be as much as of a stream of short chunks
// without extensions.
func (b *chunkedBody) count(line string) error {
	b.extra = max(b.extra+int64(len(line)+2*len(chunkEnd))-chunkOverhead-2*min(b.left, maxExtraBytes), 0)
	if b.extra > maxExtraBytes {
		return &LimitError{Part: PartExtensions, Limit: maxExtraBytes}
	}
	return nil
}

// line reads a line and returns it without its end.
func (b *chunkedBody) line(part Part) (string, error) {
	line, err := b.src.ReadSlice('\n')
	switch {
	case err == bufio.ErrBufferFull:
		return "", &LimitError{Part: part, Limit: bufferSize}
	case err != nil:
		return "", unexpectedEnd(err)
	}
	text, err := grammar.CutLineEnd(line)
	if err != nil {
		return "", noResponse(err)
	}
	return text, nil
}

// readTrailer reads up to the empty line that ends the body.
func (b *chunkedBody) readTrailer() error {
	for read := 0; read <= maxTrailerBytes; {
		line, err := b.line(PartTrailer)
		if err != nil || line == "" {
			return err
		}
		if _, err := grammar.ParseField(line); err != nil {
			return noResponse(err)
		}
		read += len(line) + len(chunkEnd)
	}
	return &LimitError{Part: PartTrailer, Limit: maxTrailerBytes}
}

// unexpectedEnd returns the error of reading something that has an end: io.ErrUnexpectedEOF if its connection ended before.
func unexpectedEnd(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// noResponse returns an ErrNoResponse with its cause.
func noResponse(cause error) error { return fmt.Errorf("%w: %w", ErrNoResponse, cause) }
