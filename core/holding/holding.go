// Package holding decides what a router holds for its callers, in bytes, and what gives way where that is too much.
//
// Two things are held: bodies of requests, from when they are read until the request has ended, and answers that
// are read whole before they are handed on, until their caller has taken them. They give way in this order:
//
//  1. A large body is refused before it is read, from the part BodyPart of the limit on.
//  2. An answer that doesn't fit into the limit isn't held: it is passed on in small parts, and its backend server waits
//     for its caller. It can't be asked for again once it breaks off, and its place there isn't free until it is taken.
//
// Nothing that is held is broken off for it: what is beyond the limit are small bodies, and those whose length
// isn't known before they are read.
package holding

// Kind is what is held.
type Kind uint8

// The kinds of what is held.
const (
	Body Kind = iota
	Answer
	kinds
)

const (
	// BodyPart is the part of the limit from which on large bodies are refused, so that answers to what is there
	// find room.
	BodyPart = 0.5
	// SmallBody is the size of the largest body, in bytes, that is never refused.
	SmallBody = 16 << 10
)

// Budget is what a router may hold, and holds.
type Budget struct {
	limit int
	held  [kinds]int
}

// New returns a budget of bytes.
func New(limit int) *Budget { return &Budget{limit: limit} }

// Limit returns how many bytes may be held.
func (b *Budget) Limit() int { return b.limit }

// Held returns how many bytes of a kind are held.
func (b *Budget) Held(k Kind) int { return b.held[k] }

func (b *Budget) all() int { return b.held[Body] + b.held[Answer] }

// Take takes room for something of a kind, and tells whether there is any.
func (b *Budget) Take(k Kind, bytes int) bool {
	if !b.fits(k, bytes) {
		return false
	}
	b.held[k] += bytes
	return true
}

func (b *Budget) fits(k Kind, bytes int) bool {
	limit := float64(b.limit)
	if k == Body {
		if bytes <= SmallBody {
			return true
		}
		limit *= BodyPart
	}
	return float64(b.all()+bytes) <= limit
}

// Change changes how much of something is held, once its size is known.
func (b *Budget) Change(k Kind, from, to int) { b.held[k] += to - from }

// Return gives room back.
func (b *Budget) Return(k Kind, bytes int) { b.Change(k, bytes, 0) }
