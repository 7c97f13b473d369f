package gateway

import "github.com/tamarindstep/tamarindstep/internal/exchange"

// The limits of what is read of an answer; package exchange has those of heads, chunks and trailers. A stream may have
// any number of events up to maxAnswerBytes, so that only what doesn't become a new event is limited more tightly.
const (
	// maxAnswerBytes is the size in bytes of the largest answer that is relayed without its length being given. It keeps
	// an answer without end from costing its router processor time until the deadline: relaying 100 MiB takes some 60 ms.
	maxAnswerBytes = 256 << 20
	// maxHeldEvent is how many bytes of an unfinished event are held, with the comments before it: as many as of a whole
	// answer.
	maxHeldEvent = maxBuffer
	// maxFruitlessBytes is how many bytes of a stream may follow one another without a new event that has more than
	// comments: of an event that isn't finished, of comments, and of events that have been relayed already.
	maxFruitlessBytes = 8 << 20
	// emptyEventCost is how many bytes an event without content counts as: finding its end costs as much.
	emptyEventCost = 128
	// smallEvent is the size in bytes of the largest buffer of an event that is kept for the next one.
	smallEvent = relayBuffer
)

// checkLimits returns an error if more of a stream was read without a new event than is accepted.
func (e *events) checkLimits() error {
	switch {
	case len(e.partial) > maxHeldEvent:
		return &exchange.LimitError{Part: exchange.PartEvent, Limit: maxHeldEvent}
	case e.fruitless > maxFruitlessBytes:
		return &exchange.LimitError{Part: exchange.PartNoEvent, Limit: maxFruitlessBytes}
	default:
		return nil
	}
}

// count counts scanned bytes; ended is whether an event ended there, and fruitful whether it is new and has content.
func (e *events) count(n int, ended, fruitful bool) {
	e.fruitless += n
	switch {
	case ended && fruitful:
		e.fruitless = 0
	case ended:
		e.fruitless += emptyEventCost
	}
}

// clearPartial forgets the beginning of an event; the memory of a large one is released.
func (e *events) clearPartial() {
	e.partial = e.partial[:0]
	if cap(e.partial) > smallEvent {
		e.partial = nil
	}
}
