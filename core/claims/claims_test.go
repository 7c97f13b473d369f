package claims

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/tamarindstep/tamarindstep/internal/proptest"
	"github.com/tamarindstep/tamarindstep/model"
)

func TestMain(m *testing.M) { os.Exit(proptest.Main(m)) }

// store is a compare-and-swap store in memory.
type store struct {
	values   map[string]Reply
	revision int64
	swaps    int
}

func nameOf(c Call) string {
	if c.Kind == ReadHead || c.Kind == SwapHead {
		return "head"
	}
	return fmt.Sprint("slot-", c.Slot)
}

// do carries out a call.
func (s *store) do(c Call) Reply {
	name := nameOf(c)
	now := s.values[name]
	if c.Kind == ReadHead || c.Kind == ReadSlot {
		return now
	}
	s.swaps++
	if now.Revision != c.Revision {
		return now
	}
	s.revision++
	s.values[name] = Reply{Revision: s.revision, Data: c.Data}
	return Reply{Swapped: true, Revision: s.revision}
}

// claimant is one router that commits the shard.
type claimant struct {
	shard *Shard
	call  *Call  // made, and not yet carried out
	late  []Call // lost on their way, and maybe still to arrive
}

// world is several routers that commit one shard at the same time.
type world struct {
	t       *rapid.T
	store   *store
	routers []*claimant
	now     model.Time
	nextID  uint64
	asked   map[uint64]porcupine.Operation
	history []porcupine.Operation
}

// claimInput is an operation of the history.
type claimInput struct {
	key    Key
	holder Holder
}

// claimModel is a shard that has one holder for each key. A claim whose outcome
// is unavailable may or may not have had its effect.
var claimModel = (&porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := map[Key][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(claimInput).key
			parts[key] = append(parts[key], op)
		}
		var out [][]porcupine.Operation
		for _, part := range parts {
			out = append(out, part)
		}
		return out
	},
	Init: func() []any { return []any{Holder{}} },
	Step: func(state, input, output any) []any {
		holder := state.(Holder)
		in := input.(claimInput)
		free := holder == Holder{}
		switch output.(Result) {
		case Held:
			if free || holder == in.holder {
				return []any{in.holder}
			}
			return nil
		case Taken:
			if free || holder == in.holder {
				return nil
			}
			return []any{holder}
		}
		if free {
			return []any{holder, in.holder}
		}
		return []any{holder}
	},
	Equal: func(a, b any) bool { return a == b },
}).ToModel()

func (w *world) answered(answers []Answer) {
	for _, a := range answers {
		op, ok := w.asked[a.ID]
		if !ok {
			w.t.Fatalf("answer %d twice, or to nothing", a.ID)
		}
		delete(w.asked, a.ID)
		op.Output = a.Result
		op.Return = int64(w.now)
		w.history = append(w.history, op)
	}
}

func (w *world) ask(client int, key byte) {
	w.nextID++
	in := claimInput{key: Key{key}, holder: Holder{byte(w.nextID), byte(w.nextID >> 8), 1}}
	w.asked[w.nextID] = porcupine.Operation{ClientId: client, Input: in, Call: int64(w.now)}
	w.answered(w.routers[client].shard.Ask(Op{ID: w.nextID, Key: in.key, Holder: in.holder}))
}

// step lets one router do one thing: make its next call, or have the call that
// it has made carried out, with or without its answer.
func (w *world) step(c *claimant, fate string) {
	w.now += time.Millisecond
	if c.call == nil {
		call, answers := c.shard.Next(w.now)
		w.answered(answers)
		c.call = call
		return
	}
	call := *c.call
	c.call = nil
	switch fate {
	case "lost before":
		w.answered(c.shard.Done(w.now, Reply{Failed: true}))
	case "lost after":
		w.store.do(call)
		w.answered(c.shard.Done(w.now, Reply{Failed: true}))
	case "late":
		c.late = append(c.late, call)
		w.answered(c.shard.Done(w.now, Reply{Failed: true}))
	default:
		w.answered(c.shard.Done(w.now, w.store.do(call)))
	}
}

// settle lets everything come to its end with the store in order.
func (w *world) settle() {
	for range 3000 {
		if len(w.asked) == 0 {
			return
		}
		w.now += 100 * time.Millisecond
		for _, c := range w.routers {
			w.step(c, "")
		}
	}
	w.t.Fatalf("%d claims are never answered", len(w.asked))
}

// Property: whatever happens to the store's calls and their answers, and however
// the routers that commit a shard are interleaved or paused, each key has one
// holder.
func TestClaimsAreLinearizable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, store: &store{values: map[string]Reply{}}, asked: map[uint64]porcupine.Operation{}}
		for range rapid.IntRange(1, 3).Draw(t, "routers") {
			w.routers = append(w.routers, &claimant{shard: NewShard(Pace{PerSecond: 1e6, Burst: 100})})
		}
		fates := []string{"", "", "", "lost before", "lost after", "late"}
		for range rapid.IntRange(10, 150).Draw(t, "steps") {
			i := rapid.IntRange(0, len(w.routers)-1).Draw(t, "router")
			c := w.routers[i]
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0, 1, 2:
				w.ask(i, byte(rapid.IntRange(1, 4).Draw(t, "key")))
			case 3:
				if len(c.late) > 0 {
					w.store.do(c.late[0])
					c.late = c.late[1:]
				}
			case 4:
				w.now += 60 * time.Millisecond
			default:
				w.step(c, rapid.SampledFrom(fates).Draw(t, "fate"))
			}
		}
		w.settle()
		if !porcupine.CheckOperations(claimModel, w.history) {
			t.Fatalf("no order of these %d claims explains their answers", len(w.history))
		}
	})
}

// Claims outlive the sealing of their segment, and a new router finds them.
func TestSealedClaimsAreFound(t *testing.T) {
	is := is.New(t)
	s := &store{values: map[string]Reply{}}
	first := NewShard(Pace{PerSecond: 1e6, Burst: 1e6})
	now := model.Time(0)
	run := func(shard *Shard) (out []Answer) {
		for range 10000 {
			now += time.Millisecond
			call, answers := shard.Next(now)
			out = append(out, answers...)
			if call == nil {
				return out
			}
			out = append(out, shard.Done(now, s.do(*call))...)
		}
		return out
	}
	const claims = 5 * SegmentSize
	for i := range claims {
		first.Ask(Op{ID: uint64(i + 1), Key: Key{byte(i), byte(i >> 8), 9}, Holder: Holder{1}})
		if i%100 == 99 || i == claims-1 {
			for _, a := range run(first) {
				is.Equal(a.Result, Held)
			}
		}
	}
	second := NewShard(Pace{PerSecond: 1e6, Burst: 1e6})
	for i := range claims {
		second.Ask(Op{ID: uint64(i + 1), Key: Key{byte(i), byte(i >> 8), 9}, Holder: Holder{2}})
	}
	answers := run(second)
	is.Equal(len(answers), claims)
	for _, a := range answers {
		is.Equal(a.Result, Taken)
	}
}

// Claims that wait together are committed by one swap.
func TestClaimsAreCommittedTogether(t *testing.T) {
	is := is.New(t)
	s := &store{values: map[string]Reply{}}
	shard := NewShard(Pace{PerSecond: 3, Burst: 1})
	held := 0
	for ms := range 3000 {
		now := time.Duration(ms) * time.Millisecond
		if ms%10 == 0 {
			shard.Ask(Op{ID: uint64(ms + 1), Key: Key{byte(ms), byte(ms >> 8)}, Holder: Holder{1}})
		}
		call, answers := shard.Next(now)
		held += len(answers)
		if call != nil {
			held += len(shard.Done(now, s.do(*call)))
		}
	}
	is.True(s.swaps <= 10) // 3 a second for 3 s, and one at once
	is.True(held >= 250)
}

// A key that is given back can be claimed again.
func TestReleasedKeysAreFree(t *testing.T) {
	is := is.New(t)
	s := &store{values: map[string]Reply{}}
	shard := NewShard(Pace{PerSecond: 1e6, Burst: 100})
	results := []Result{}
	for i, op := range []Op{
		{ID: 1, Key: Key{1}, Holder: Holder{1}},
		{ID: 2, Key: Key{1}, Holder: Holder{2}},
		{ID: 3, Key: Key{1}, Holder: Holder{2}, Release: true},
		{ID: 4, Key: Key{1}, Holder: Holder{2}},
		{ID: 5, Key: Key{1}, Holder: Holder{1}, Release: true},
		{ID: 6, Key: Key{1}, Holder: Holder{2}},
	} {
		shard.Ask(op)
		for n := range 10 {
			now := time.Duration(i*10+n) * time.Millisecond
			call, answers := shard.Next(now)
			if call != nil {
				answers = append(answers, shard.Done(now, s.do(*call))...)
			}
			for _, a := range answers {
				results = append(results, a.Result)
			}
		}
	}
	is.Equal(results, []Result{Held, Taken, Held, Taken, Held, Held})
}
