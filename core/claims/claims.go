// Package claims decides who holds an idempotency key, so that a request that
// may not be repeated runs at most once.
//
// A key is claimed by writing it, with a holder that is unique to the attempt,
// into the platform's store before the request is sent. Claims never lapse: a
// router that is paused after its claim and goes on later is still the only
// one that may send. What has to be ruled out is that two holders both take
// their swap for won, and the store's compare-and-swap does that.
//
// Keys are spread over shards. The claims of a shard that wait are committed
// together, by one swap of the shard's head, at a pace that keeps all shards
// within their part of the store's writes. Any router may commit a shard; that
// they mostly leave it to one only saves writes.
//
// The head holds the newest claims. When it is full they are sealed: written to
// a slot, from which the next head drops them by naming the slot and the
// revision that they were sealed from. Slots are used in turn, so that the store
// holds a bounded number of values, and the oldest claims are forgotten:
// Segments*SegmentSize of a shard are remembered at the least.
//
// A swap whose answer is lost is settled by reading the head back. If the
// claims are there it took effect. If not, the same claims are swapped in again
// on the revision read; should the lost swap still arrive, only one of the two
// can win, and the one that fails reads the head again.
//
// Shard is a deterministic machine: it asks for one store call at a time and is
// told the result.
package claims

import (
	"slices"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/wire"
)

const (
	// SegmentSize is the number of claims in a segment.
	SegmentSize = 512
	// Segments is the number of full segments that are kept.
	Segments = 64
	// maxTries is how often a claim is tried while the store fails.
	maxTries = 3
	// retryPause is the pause after a store call that failed.
	retryPause = 50 * time.Millisecond
	// maxWaiting bounds the claims that wait in a shard.
	maxWaiting = 20000
)

// Key is the hash of a client account and its idempotency key.
type Key [16]byte

// Holder is unique to one attempt to send a request.
type Holder [8]byte

// Result is the outcome of a claim.
type Result uint8

// The outcomes of a claim.
const (
	// Unavailable: the store fails, so it isn't known that the key is held. It
	// may be, and should be released.
	Unavailable Result = iota
	// Held: the holder has the key, and nobody else ever had it.
	Held
	// Taken: another holder had the key first.
	Taken
)

// String returns the result as a word.
func (r Result) String() string {
	return [...]string{"unavailable", "held", "taken"}[r]
}

// Op is what is asked of a shard: to claim a key, or to give it back.
type Op struct {
	ID      uint64 // of the caller's choice; 0 wants no answer
	Key     Key
	Holder  Holder
	Release bool
	tries   int
}

// Answer is the outcome of an Op.
type Answer struct {
	ID     uint64
	Result Result
}

// CallKind is what a shard wants of the store.
type CallKind uint8

// The calls of the store.
const (
	ReadHead CallKind = iota
	ReadSlot
	SwapSlot
	SwapHead
)

// Call is one call of the store.
type Call struct {
	Kind     CallKind
	Slot     int   // of ReadSlot and SwapSlot
	Revision int64 // of SwapSlot and SwapHead: what must still be there
	Data     []byte
}

// Reply is the result of a Call. For a read, or a swap that failed on what is
// there, Data and Revision are what is there; for a swap that took effect,
// Revision is the new one.
type Reply struct {
	Failed   bool // with or without effect
	Swapped  bool
	Revision int64
	Data     []byte
}

// Pace is how many swaps a shard may make, on the average and at once.
type Pace struct {
	PerSecond float64
	Burst     float64
}

// Shard is the machine of one shard.
type Shard struct {
	pace    Pace
	tokens  float64
	filled  model.Time
	waiting []Op
	batch   []Op
	call    *Call // under way
	resume  model.Time

	known     bool // head and revision are the last known
	head      *wire.ClaimHead
	revision  int64
	recent    map[Key]Holder // of the head
	sealed    map[uint64]segment
	slots     map[int]int64 // revision of each slot's value, as last known
	sealing   bool          // the slot for the present head has been written
	slotKnown bool
}

// segment is a full segment that has been read.
type segment struct {
	revision int64
	claims   map[Key]Holder
}

// NewShard returns the machine of a shard of which nothing is known yet.
func NewShard(pace Pace) *Shard {
	return &Shard{pace: pace, tokens: pace.Burst, sealed: map[uint64]segment{}, slots: map[int]int64{}}
}

// Ask adds an operation. It is answered at once where the shard has too many.
func (s *Shard) Ask(op Op) []Answer {
	if len(s.waiting) >= maxWaiting {
		return answers(op, Unavailable)
	}
	s.waiting = append(s.waiting, op)
	return nil
}

func answers(op Op, r Result) []Answer {
	if op.ID == 0 {
		return nil
	}
	return []Answer{{ID: op.ID, Result: r}}
}

// Wake returns when Next has something to do, given that no call is under way.
func (s *Shard) Wake(now model.Time) (model.Time, bool) {
	if s.call != nil || len(s.waiting)+len(s.batch) == 0 {
		return 0, false
	}
	wake := max(now, s.resume)
	if s.tokens < 1 {
		short := (1 - s.tokens) / s.pace.PerSecond
		wake = max(wake, s.filled+time.Duration(short*float64(time.Second))+time.Microsecond)
	}
	return wake, true
}

// Next returns the call of the store that is due, or nil, and the answers that
// are known without one.
func (s *Shard) Next(now model.Time) (*Call, []Answer) {
	s.tokens = min(s.tokens+(now-s.filled).Seconds()*s.pace.PerSecond, s.pace.Burst)
	s.filled = now
	if s.call != nil || now < s.resume || len(s.waiting)+len(s.batch) == 0 {
		return nil, nil
	}
	if !s.known {
		return s.make(&Call{Kind: ReadHead}), nil
	}
	if slot, missing := s.missingSlot(); missing {
		return s.make(&Call{Kind: ReadSlot, Slot: slot}), nil
	}
	out := s.settle()
	if len(s.waiting)+len(s.batch) == 0 || s.tokens < 1 {
		return nil, out
	}
	s.batch = append(s.batch, s.waiting...)
	s.waiting = nil
	return s.commit(), out
}

func (s *Shard) make(c *Call) *Call {
	s.call = c
	return c
}

// holderOf returns who holds a key, by what is known.
func (s *Shard) holderOf(key Key) (Holder, bool) {
	if h, ok := s.recent[key]; ok {
		return h, true
	}
	for _, ref := range s.head.Sealed {
		if h, ok := s.sealed[ref.Number].claims[key]; ok {
			return h, true
		}
	}
	return Holder{}, false
}

// settle answers what can be answered from what is known: claims that are held
// or taken, and releases of what isn't held.
func (s *Shard) settle() []Answer {
	var out []Answer
	settled := func(op Op) bool {
		holder, claimed := s.holderOf(op.Key)
		_, fresh := s.recent[op.Key]
		switch {
		case op.Release && claimed && holder == op.Holder && fresh:
			return false
		case op.Release:
			out = append(out, answers(op, Held)...)
			return true
		case !claimed:
			return false
		case holder == op.Holder:
			out = append(out, answers(op, Held)...)
			return true
		}
		out = append(out, answers(op, Taken)...)
		return true
	}
	s.batch = slices.DeleteFunc(s.batch, settled)
	s.waiting = slices.DeleteFunc(s.waiting, settled)
	return out
}

// Done takes the result of the call under way and returns the answers that are
// known by it.
func (s *Shard) Done(now model.Time, r Reply) []Answer {
	call := s.call
	s.call = nil
	if r.Failed {
		return s.failed(now)
	}
	switch call.Kind {
	case ReadHead:
		return s.takeHead(now, r)
	case ReadSlot:
		return s.takeSlot(now, call.Slot, r)
	case SwapSlot:
		s.slots[call.Slot] = r.Revision
		s.sealing = r.Swapped
		s.tokens++ // the head's swap follows at once
		return nil
	case SwapHead:
		return s.takeSwap(now, call, r)
	}
	return nil
}

// failed gives up on the claims that have been tried often enough. The others,
// and all releases, are tried again from the head as it then is.
func (s *Shard) failed(now model.Time) []Answer {
	s.known = false
	s.sealing = false
	s.resume = now + retryPause
	var out []Answer
	giveUp := func(op Op) bool {
		if op.Release || op.tries < maxTries {
			return false
		}
		out = append(out, answers(op, Unavailable)...)
		return true
	}
	s.batch = append(s.batch, s.waiting...)
	s.waiting = nil
	for i := range s.batch {
		s.batch[i].tries++
	}
	s.batch = slices.DeleteFunc(s.batch, giveUp)
	return out
}
