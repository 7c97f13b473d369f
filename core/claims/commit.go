package claims

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/wire"
)

// missingSlot returns a slot whose segment the head names and that hasn't been
// read.
func (s *Shard) missingSlot() (int, bool) {
	for _, ref := range s.head.Sealed {
		if got, ok := s.sealed[ref.Number]; !ok || got.revision != ref.Revision {
			return slotOf(ref.Number), true
		}
	}
	return 0, false
}

func slotOf(number uint64) int { return int(number % Segments) }

// commit makes the swap that carries the batch, or the sealing before it.
func (s *Shard) commit() *Call {
	s.tokens--
	if len(s.head.Entries)+len(s.batch) > SegmentSize && len(s.head.Entries) > 0 && !s.sealing {
		return s.make(s.sealCall())
	}
	next := s.nextHead()
	data, err := proto.Marshal(next)
	if err != nil {
		data = nil
	}
	return s.make(&Call{Kind: SwapHead, Revision: s.revision, Data: data})
}

func (s *Shard) sealCall() *Call {
	data, err := proto.Marshal(&wire.ClaimSegment{
		Number: s.head.Number, Revision: s.revision, Entries: s.head.Entries,
	})
	if err != nil {
		data = nil
	}
	slot := slotOf(s.head.Number)
	return &Call{Kind: SwapSlot, Slot: slot, Revision: s.slots[slot], Data: data}
}

// nextHead returns the head that follows, with the batch in it.
func (s *Shard) nextHead() *wire.ClaimHead {
	next := &wire.ClaimHead{Number: s.head.Number, Sealed: s.head.Sealed, Entries: s.head.Entries}
	if s.sealing {
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

func (s *Shard) takeHead(now model.Time, r Reply) []Answer {
	head := &wire.ClaimHead{}
	if err := proto.Unmarshal(r.Data, head); err != nil {
		return s.failed(now)
	}
	s.setHead(head, r.Revision)
	return nil
}

func (s *Shard) setHead(head *wire.ClaimHead, revision int64) {
	s.head = head
	s.revision = revision
	s.known = true
	s.sealing = false
	s.recent = claimsOf(head.Entries)
	named := map[uint64]bool{}
	for _, ref := range head.Sealed {
		named[ref.Number] = true
	}
	for number := range s.sealed {
		if !named[number] {
			delete(s.sealed, number)
		}
	}
}

func claimsOf(entries []*wire.ClaimEntry) map[Key]Holder {
	out := make(map[Key]Holder, len(entries))
	for _, e := range entries {
		if len(e.Key) == len(Key{}) && len(e.Holder) == len(Holder{}) {
			out[Key(e.Key)] = Holder(e.Holder)
		}
	}
	return out
}

// takeSlot takes a sealed segment. One that doesn't fit the head means that the
// head has moved on since.
func (s *Shard) takeSlot(now model.Time, slot int, r Reply) []Answer {
	s.slots[slot] = r.Revision
	g := &wire.ClaimSegment{}
	if err := proto.Unmarshal(r.Data, g); err != nil {
		return s.failed(now)
	}
	for _, ref := range s.head.Sealed {
		if ref.Number == g.Number && ref.Revision == g.Revision {
			s.sealed[g.Number] = segment{revision: g.Revision, claims: claimsOf(g.Entries)}
			return nil
		}
	}
	return s.failed(now)
}

// takeSwap takes the result of a head's swap. What failed on another's swap is
// tried again on what is there.
func (s *Shard) takeSwap(now model.Time, call *Call, r Reply) []Answer {
	if !r.Swapped {
		return s.takeHead(now, r)
	}
	next := &wire.ClaimHead{}
	if err := proto.Unmarshal(call.Data, next); err != nil {
		return s.failed(now)
	}
	if next.Number > s.head.Number {
		s.sealed[s.head.Number] = segment{revision: s.revision, claims: s.recent}
	}
	s.setHead(next, r.Revision)
	out := s.settle()
	s.waiting = append(s.batch, s.waiting...)
	s.batch = nil
	return out
}
