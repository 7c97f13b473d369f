// Package holding limits how many bytes a router buffers for its callers, and decides what is refused above the limit.
//
// Five kinds of data are buffered: the buffers of callers' connections, into which heads are read; the copies of a
// request's head; request bodies, from when they are read until the request ends; responses that are read whole before
// they are passed on, until the caller has received them; and the unfinished events of streams that can be resumed,
// which are passed on whole. The memory for each is reserved before it is read. Under memory pressure they are limited in
// this order:
//
//  1. A large body is refused, from the fraction LargeBodyFraction of the limit on.
//  2. A response that doesn't fit within the fraction AnswerFraction of the limit isn't buffered: it is passed on in
//     small parts, at the caller's pace. It then can't be requested again if it breaks off, and it occupies its slot at
//     the backend server until the caller has received it.
//  3. An event that doesn't fit within the same is passed on in parts too. Its stream then can't be resumed.
//  4. What no longer fits within the limit is refused, although it is small: a new connection, a request for its head,
//     or a small body.
//
// A body of unknown length is read into a buffer that grows, and the memory for each larger buffer is reserved first; the
// request is refused when there is no space for the next one. Nothing else that is already buffered is dropped, and the
// limit is never exceeded.
package holding

// Kind is the kind of buffered data.
type Kind uint8

// The kinds of buffered data.
const (
	Body Kind = iota
	Response
	Event
	Connection
	Head
	kinds
)

const (
	// LargeBodyFraction is the fraction of the limit from which on large bodies are refused, so that the responses to
	// admitted requests have space.
	LargeBodyFraction = 0.5
	// AnswerFraction is the fraction of the limit from which on responses and events are passed on in parts, so that
	// small requests have space beside callers that read nothing.
	AnswerFraction = 0.95
	// MaxSmallBody is the size in bytes of the largest body that is refused only at the limit.
	MaxSmallBody = 16 << 10
	// firstSize is the first size in bytes of the buffer for a body of unknown length.
	firstSize = 4 << 10
	// growth is the factor by which such a buffer grows.
	growth = 2
)

// NextSize returns the next size in bytes of the buffer for a body of unknown length, given its size and that of the
// largest body. The smaller buffer is held until the body has been copied.
func NextSize(size, largest int) int { return min(max(growth*size, firstSize), largest) }

// Budget counts the buffered bytes and limits them.
type Budget struct {
	limit int
	held  [kinds]int
}

// New returns a budget with a limit in bytes.
func New(limit int) *Budget { return &Budget{limit: limit} }

// Limit returns the limit in bytes.
func (b *Budget) Limit() int { return b.limit }

// Held returns the number of buffered bytes of a kind.
func (b *Budget) Held(k Kind) int { return b.held[k] }

func (b *Budget) total() int {
	sum := 0
	for _, bytes := range b.held {
		sum += bytes
	}
	return sum
}

// Reserve reserves bytes for data of a kind, and reports whether they were available.
func (b *Budget) Reserve(k Kind, bytes int) bool {
	if !b.fits(k, bytes) {
		return false
	}
	b.held[k] += bytes
	return true
}

func (b *Budget) fits(k Kind, bytes int) bool {
	return float64(b.total()+bytes) <= float64(b.limit)*fraction(k, bytes)
}

// fraction returns the fraction of the limit within which a reservation of a kind and size must fit.
func fraction(k Kind, bytes int) float64 {
	switch {
	case k == Response || k == Event:
		return AnswerFraction
	case k == Body && bytes > MaxSmallBody:
		return LargeBodyFraction
	default:
		return 1
	}
}

// Resize changes the size of a reservation, for instance once the size of the data is known.
func (b *Budget) Resize(k Kind, from, to int) { b.held[k] += to - from }

// Release releases a reservation.
func (b *Budget) Release(k Kind, bytes int) { b.Resize(k, bytes, 0) }
