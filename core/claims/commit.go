package claims

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/wire"
)

// unreadSlot returns a slot that the head refers to and whose segment hasn't been read.
func (s *Shard) unreadSlot() (int, bool) {
	for _, ref := range s.head.Sealed {
		if got, ok := s.segments[ref.Number]; !ok || got.revision != ref.Revision {
			return slotOf(ref.Number), true
		}
	}
	return 0, false
}

func slotOf(number uint64) int { return int(number % Segments) }

// commit returns the swap that commits the batch, or the write of the slot that must precede it.
func (s *Shard) commit() *Call {
	s.tokens--
	if len(s.head.Entries) >= SegmentSize && !s.slotWritten {
		return s.startCall(s.sealCall())
	}
	return s.startCall(&Call{Kind: SwapHead, Revision: s.revision, Data: encode(s.nextHead())})
}

// encode encodes a message of numbers and bytes, which cannot fail. It panics rather than return an empty value, which
// would discard every claim of the shard.
func encode(m proto.Message) []byte {
	data, err := proto.Marshal(m)
	if err != nil {
		panic("claims can't be encoded: " + err.Error())
	}
	return data
}

func (s *Shard) sealCall() *Call {
	data := encode(&wire.ClaimSegment{
		Number: s.head.Number, Revision: s.revision, Entries: s.head.Entries,
	})
	slot := slotOf(s.head.Number)
	return &Call{Kind: SwapSlot, Slot: slot, Revision: s.slots[slot], Data: data}
}

// nextHead returns the next head, which includes the batch.
func (s *Shard) nextHead() *wire.ClaimHead {
	next := &wire.ClaimHead{Number: s.head.Number, Sealed: s.head.Sealed, Entries: s.head.Entries}
	if s.slotWritten {
		next.Number++
		next.Sealed = append(slices.Clone(next.Sealed), &wire.ClaimSlot{Number: s.head.Number, Revision: s.revision})
		next.Sealed = next.Sealed[max(0, len(next.Sealed)-Segments+1):]
		next.Entries = nil
	}
	entries := slices.Clone(next.Entries)
	added := map[Key]bool{}
	for _, op := range s.batch {
		if op.Release {
			entries = slices.DeleteFunc(entries, func(e *wire.ClaimEntry) bool {
				return Key(e.Key) == op.Key && Holder(e.Holder) == op.Holder
			})
			continue
		}
		if !added[op.Key] {
			added[op.Key] = true
			entries = append(entries, &wire.ClaimEntry{Key: op.Key[:], Holder: op.Holder[:]})
		}
	}
	next.Entries = entries
	return next
}

func (s *Shard) handleHead(now model.Time, r CallResult) []OpResult {
	head := &wire.ClaimHead{}
	if err := proto.Unmarshal(r.Data, head); err != nil {
		return s.handleFailure(now)
	}
	s.setHead(head, r.Revision)
	return nil
}

func (s *Shard) setHead(head *wire.ClaimHead, revision int64) {
	s.head = head
	s.revision = revision
	s.headValid = true
	s.slotWritten = false
	s.headClaims = claimsByKey(head.Entries)
	referenced := map[uint64]bool{}
	for _, ref := range head.Sealed {
		referenced[ref.Number] = true
	}
	for number := range s.segments {
		if !referenced[number] {
			delete(s.segments, number)
		}
	}
}

func claimsByKey(entries []*wire.ClaimEntry) map[Key]Holder {
	out := make(map[Key]Holder, len(entries))
	for _, e := range entries {
		if len(e.Key) == len(Key{}) && len(e.Holder) == len(Holder{}) {
			out[Key(e.Key)] = Holder(e.Holder)
		}
	}
	return out
}

// handleSlot stores a sealed segment. If the head doesn't refer to it, the head has changed since.
func (s *Shard) handleSlot(now model.Time, slot int, r CallResult) []OpResult {
	s.slots[slot] = r.Revision
	g := &wire.ClaimSegment{}
	if err := proto.Unmarshal(r.Data, g); err != nil {
		return s.handleFailure(now)
	}
	for _, ref := range s.head.Sealed {
		if ref.Number == g.Number && ref.Revision == g.Revision {
			s.segments[g.Number] = segment{revision: g.Revision, claims: claimsByKey(g.Entries)}
			return nil
		}
	}
	return s.handleFailure(now)
}

// handleSwap handles the result of a swap of the head. A swap that failed because of another router's is retried on
// the current head.
func (s *Shard) handleSwap(now model.Time, call *Call, r CallResult) []OpResult {
	if !r.Swapped {
		return s.handleHead(now, r)
	}
	next := &wire.ClaimHead{}
	if err := proto.Unmarshal(call.Data, next); err != nil {
		return s.handleFailure(now)
	}
	if next.Number > s.head.Number {
		s.segments[s.head.Number] = segment{revision: s.revision, claims: s.headClaims}
	}
	s.setHead(next, r.Revision)
	out := s.resolve()
	s.pending = append(s.batch, s.pending...)
	s.batch = nil
	return out
}
