package exchange

import (
	"errors"
	"fmt"
)

// Limits of what is read from a server. A server may send without end, so that whatever is read before its end is known
// is limited in bytes, not only in time: the time of an exchange is enough to read gigabytes.
//
//	read                                     | limit                       | on more
//	-----------------------------------------|-----------------------------|--------
//	one head                                 | bufferSize                  | failure
//	interim responses before a response      | maxInterim                  | failure
//	body of a response to another request    | maxSkippedBytes             | failure
//	a chunk's size and extension             | bufferSize                  | truncated
//	extensions of all chunks                 | maxExtraBytes beyond chunkOverhead for each and twice the data | truncated
//	a trailer                                | maxTrailerBytes             | truncated
//	body                                     | Options.MaxBody             | failure if its length is given, else truncated
//	whole exchange, in time                  | Options.Within              | truncated
//	an event of a stream, what yields none   | package gateway             | truncated
const (
	bufferSize = 4096
	// maxInterim is the number of interim responses accepted before a response.
	maxInterim = 64
	// maxSkippedBytes is the size in bytes of the largest response to another request that is skipped.
	maxSkippedBytes = 1 << 20
	// maxTrailerBytes is the size in bytes of the largest trailer.
	maxTrailerBytes = 16 << 10
	// chunkOverhead is how many bytes the size, the extensions and the ends of each chunk may have, beside twice its data.
	chunkOverhead = 16
	// maxExtraBytes is how many bytes the chunks of a body may have beyond that.
	maxExtraBytes = 16 << 10
)

// Part is a part of what a server sends.
type Part string

// The parts that are limited.
const (
	PartHead    Part = "head"
	PartInterim Part = "interim responses"
	PartSkipped Part = "response to another request"
	PartChunk   Part = "size of a chunk"
	PartTrailer Part = "trailer"
	// PartExtensions is what the chunks of a body have beside their data.
	PartExtensions Part = "extensions of chunks"
	PartBody       Part = "body"
	PartEvent      Part = "event"
	PartNoEvent    Part = "bytes without a new event"
)

// LimitError is the error for a server that sent more of a part than is accepted.
type LimitError struct {
	Part  Part
	Limit int // in bytes; of interim responses, their number
}

// Error implements error.
func (e *LimitError) Error() string {
	return fmt.Sprintf("server sent more than is accepted: %s above %d", e.Part, e.Limit)
}

// ErrNoResponse is the error for bytes that aren't a response by the grammar of HTTP/1.1, with a *grammar.Error where a
// part of one isn't valid.
var ErrNoResponse = errors.New("server sent bytes that are no response")
