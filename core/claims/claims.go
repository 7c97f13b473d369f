// Package claims decides which holder has an idempotency key, so that a request that may not be repeated runs at most
// once.
//
// A key is claimed by writing it, with a holder that is unique to the attempt, to the platform's store before the
// request is sent. Claims don't expire: a router that is paused after its claim and resumes later is still the only
// one that may send. Two holders must never both consider their swap successful, which the store's compare-and-swap
// guarantees.
//
// Keys are distributed over shards. The pending claims of a shard are committed together, by one swap of the shard's
// head, at a rate that keeps all shards within their share of the store's writes. Any router may commit a shard;
// leaving it mostly to one only saves writes.
//
// The head contains the newest claims. When it is full they are sealed: written to a slot, after which the next head
// omits them and refers to the slot by its number and the head revision that they were sealed from. Slots are reused
// in turn, so that the store holds a bounded number of values and the oldest claims are discarded: at least the last
// MinKept claims of a shard are kept.
//
// A swap whose response is lost is resolved by reading the head back. If it contains the claims, the swap took effect.
// If not, the same claims are swapped in again on the revision read; should the lost swap still arrive, only one of
// the two can succeed, and the one that fails reads the head again.
//
// Shard is a deterministic state machine: it requests one store call at a time and receives the result.
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
	// Segments is the number of slots for full segments. One of them is being written or next in turn.
	Segments = 64
	// MinKept is the number of claims of a shard that are kept at least.
	MinKept = (Segments - 1) * SegmentSize
	// maxAttempts is how often a claim is attempted while the store fails.
	maxAttempts = 3
	// retryDelay is the delay after a failed store call.
	retryDelay = 50 * time.Millisecond
	// maxPending limits the pending claims of a shard.
	maxPending = 20000
)

// Key is the hash of a client account and its idempotency key.
type Key [16]byte

// Holder is unique to one attempt to send a request.
type Holder [8]byte

// Result is the outcome of a claim.
type Result uint8

// The outcomes of a claim.
const (
	// Unavailable means that the store failed and it is unknown whether the holder has the key. It may have it, and
	// should release it.
	Unavailable Result = iota
	// Held means that the holder has the key, and no other holder ever had it.
	Held
	// Taken means that another holder had the key first.
	Taken
)

// String returns the name of the result.
func (r Result) String() string {
	return [...]string{"unavailable", "held", "taken"}[r]
}

// Op is an operation on a shard: a claim of a key, or its release.
type Op struct {
	ID       uint64 // chosen by the caller; 0 requests no answer
	Key      Key
	Holder   Holder
	Release  bool
	attempts int
}

// OpResult is the outcome of an Op.
type OpResult struct {
	ID     uint64
	Result Result
}

// CallKind is the kind of a store call.
type CallKind uint8

// The kinds of store calls.
const (
	ReadHead CallKind = iota
	ReadSlot
	SwapSlot
	SwapHead
)

// Call is one store call.
type Call struct {
	Kind     CallKind
	Slot     int   // of ReadSlot and SwapSlot
	Revision int64 // of SwapSlot and SwapHead: the expected current revision
	Data     []byte
}

// CallResult is the result of a Call. For a read, or a swap that failed because of another revision, Data and Revision
// are the current ones; for a swap that took effect, Revision is the new one.
type CallResult struct {
	Failed   bool // the call may or may not have taken effect
	Swapped  bool
	Revision int64
	Data     []byte
}

// SwapRate is the limit of a shard's swaps: an average rate and a burst.
type SwapRate struct {
	PerSecond float64
	Burst     float64
}

// Shard is the state machine of one shard.
type Shard struct {
	pace     SwapRate
	tokens   float64
	refilled model.Time
	pending  []Op
	batch    []Op
	call     *Call // in progress
	retryAt  model.Time

	headValid   bool // head and revision are the last known ones
	head        *wire.ClaimHead
	revision    int64
	headClaims  map[Key]Holder // the claims in head
	segments    map[uint64]segment
	slots       map[int]int64 // last known revision of each slot's value
	slotWritten bool          // the slot for the current head has been written
}

// segment is a sealed segment that has been read.
type segment struct {
	revision int64
	claims   map[Key]Holder
}

// NewShard returns the state machine of a shard with no known state.
func NewShard(pace SwapRate) *Shard {
	return &Shard{pace: pace, tokens: pace.Burst, segments: map[uint64]segment{}, slots: map[int]int64{}}
}

// Submit adds an operation. If too many are pending, it is answered at once as Unavailable.
func (s *Shard) Submit(op Op) []OpResult {
	if len(s.pending) >= maxPending {
		return answersFor(op, Unavailable)
	}
	s.pending = append(s.pending, op)
	return nil
}

func answersFor(op Op, r Result) []OpResult {
	if op.ID == 0 {
		return nil
	}
	return []OpResult{{ID: op.ID, Result: r}}
}

// NextWake returns the time at which Next has something to do, and false if nothing is pending or a call is in
// progress.
func (s *Shard) NextWake(now model.Time) (model.Time, bool) {
	if s.call != nil || len(s.pending)+len(s.batch) == 0 {
		return 0, false
	}
	wake := max(now, s.retryAt)
	if s.tokens < 1 {
		short := (1 - s.tokens) / s.pace.PerSecond
		wake = max(wake, s.refilled+time.Duration(short*float64(time.Second))+time.Microsecond)
	}
	return wake, true
}

// Next returns the store call that is due, or nil, and the answers that need no call.
func (s *Shard) Next(now model.Time) (*Call, []OpResult) {
	s.tokens = min(s.tokens+(now-s.refilled).Seconds()*s.pace.PerSecond, s.pace.Burst)
	s.refilled = now
	if s.call != nil || now < s.retryAt || len(s.pending)+len(s.batch) == 0 {
		return nil, nil
	}
	if !s.headValid {
		return s.startCall(&Call{Kind: ReadHead}), nil
	}
	if slot, missing := s.unreadSlot(); missing {
		return s.startCall(&Call{Kind: ReadSlot, Slot: slot}), nil
	}
	out := s.resolve()
	if len(s.pending)+len(s.batch) == 0 || s.tokens < 1 {
		return nil, out
	}
	s.batch = append(s.batch, s.pending...)
	s.pending = nil
	return s.commit(), out
}

func (s *Shard) startCall(c *Call) *Call {
	s.call = c
	return c
}

// holderOf returns the holder of a key in the known head and segments.
func (s *Shard) holderOf(key Key) (Holder, bool) {
	if h, ok := s.headClaims[key]; ok {
		return h, true
	}
	for _, ref := range s.head.Sealed {
		if h, ok := s.segments[ref.Number].claims[key]; ok {
			return h, true
		}
	}
	return Holder{}, false
}

// resolve answers what the known state decides: claims of keys that are held or taken, and releases of keys that the
// holder doesn't have in the head.
func (s *Shard) resolve() []OpResult {
	var out []OpResult
	resolved := func(op Op) bool {
		holder, claimed := s.holderOf(op.Key)
		_, inHead := s.headClaims[op.Key]
		switch {
		case op.Release && claimed && holder == op.Holder && inHead:
			return false
		case op.Release:
			out = append(out, answersFor(op, Held)...)
			return true
		case !claimed:
			return false
		case holder == op.Holder:
			out = append(out, answersFor(op, Held)...)
			return true
		}
		out = append(out, answersFor(op, Taken)...)
		return true
	}
	s.batch = slices.DeleteFunc(s.batch, resolved)
	s.pending = slices.DeleteFunc(s.pending, resolved)
	return out
}

// Complete receives the result of the call in progress and returns the answers that follow from it.
func (s *Shard) Complete(now model.Time, r CallResult) []OpResult {
	call := s.call
	s.call = nil
	if r.Failed {
		return s.handleFailure(now)
	}
	switch call.Kind {
	case ReadHead:
		return s.handleHead(now, r)
	case ReadSlot:
		return s.handleSlot(now, call.Slot, r)
	case SwapSlot:
		s.slots[call.Slot] = r.Revision
		s.slotWritten = r.Swapped
		s.tokens++ // the swap of the head follows immediately
		return nil
	case SwapHead:
		return s.handleSwap(now, call, r)
	}
	return nil
}

// handleFailure answers the claims with no attempts left as Unavailable. The others, and all releases, are retried
// after the head has been read again.
func (s *Shard) handleFailure(now model.Time) []OpResult {
	s.headValid = false
	s.slotWritten = false
	s.retryAt = now + retryDelay
	var out []OpResult
	exhausted := func(op Op) bool {
		if op.Release || op.attempts < maxAttempts {
			return false
		}
		out = append(out, answersFor(op, Unavailable)...)
		return true
	}
	s.batch = append(s.batch, s.pending...)
	s.pending = nil
	for i := range s.batch {
		s.batch[i].attempts++
	}
	s.batch = slices.DeleteFunc(s.batch, exhausted)
	return out
}
