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

// store is an in-memory compare-and-swap store.
type store struct {
	values   map[string]CallResult
	revision int64
	swaps    int
}

func keyOf(c Call) string {
	if c.Kind == ReadHead || c.Kind == SwapHead {
		return "head"
	}
	return fmt.Sprint("slot-", c.Slot)
}

// do executes a call.
func (s *store) do(c Call) CallResult {
	name := keyOf(c)
	now := s.values[name]
	if c.Kind == ReadHead || c.Kind == ReadSlot {
		return now
	}
	s.swaps++
	if now.Revision != c.Revision {
		return now
	}
	s.revision++
	s.values[name] = CallResult{Revision: s.revision, Data: c.Data}
	return CallResult{Swapped: true, Revision: s.revision}
}

// router is one router that commits the shard.
type router struct {
	shard   *Shard
	call    *Call  // requested, and not yet executed
	delayed []Call // reported as failed, and possibly executed later
}

// cluster is several routers that commit one shard concurrently.
type cluster struct {
	t          *rapid.T
	store      *store
	routers    []*router
	now        model.Time
	nextID     uint64
	unanswered map[uint64]porcupine.Operation
	history    []porcupine.Operation
}

// claimInput is the input of an operation of the history.
type claimInput struct {
	key    Key
	holder Holder
}

// claimModel is a shard with one holder for each key. A claim whose outcome is unavailable may or may not have taken
// effect.
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

func (w *cluster) recordAnswers(answers []OpResult) {
	for _, a := range answers {
		op, ok := w.unanswered[a.ID]
		if !ok {
			w.t.Fatalf("answer %d is repeated or belongs to no operation", a.ID)
		}
		delete(w.unanswered, a.ID)
		op.Output = a.Result
		op.Return = int64(w.now)
		w.history = append(w.history, op)
	}
}

func (w *cluster) submit(client int, key byte) {
	w.nextID++
	in := claimInput{key: Key{key}, holder: Holder{byte(w.nextID), byte(w.nextID >> 8), 1}}
	w.unanswered[w.nextID] = porcupine.Operation{ClientId: client, Input: in, Call: int64(w.now)}
	w.recordAnswers(w.routers[client].shard.Submit(Op{ID: w.nextID, Key: in.key, Holder: in.holder}))
}

// step lets one router request its next call, or executes the call that it has requested, with or without a response.
func (w *cluster) step(c *router, loss string) {
	w.now += time.Millisecond
	if c.call == nil {
		call, answers := c.shard.Next(w.now)
		w.recordAnswers(answers)
		c.call = call
		return
	}
	call := *c.call
	c.call = nil
	switch loss {
	case "lost before":
		w.recordAnswers(c.shard.Complete(w.now, CallResult{Failed: true}))
	case "lost after":
		w.store.do(call)
		w.recordAnswers(c.shard.Complete(w.now, CallResult{Failed: true}))
	case "late":
		c.delayed = append(c.delayed, call)
		w.recordAnswers(c.shard.Complete(w.now, CallResult{Failed: true}))
	default:
		w.recordAnswers(c.shard.Complete(w.now, w.store.do(call)))
	}
}

// finish runs all routers with a working store until all claims are answered.
func (w *cluster) finish() {
	for range 3000 {
		if len(w.unanswered) == 0 {
			return
		}
		w.now += 100 * time.Millisecond
		for _, c := range w.routers {
			w.step(c, "")
		}
	}
	w.t.Fatalf("%d claims were not answered", len(w.unanswered))
}

// TestClaimsAreLinearizable checks that each key has one holder, whatever happens to store calls and their responses,
// and however the routers that commit a shard are interleaved or paused.
func TestClaimsAreLinearizable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &cluster{t: t, store: &store{values: map[string]CallResult{}}, unanswered: map[uint64]porcupine.Operation{}}
		for range rapid.IntRange(1, 3).Draw(t, "routers") {
			w.routers = append(w.routers, &router{shard: NewShard(SwapRate{PerSecond: 1e6, Burst: 100})})
		}
		losses := []string{"", "", "", "lost before", "lost after", "late"}
		for range rapid.IntRange(10, 150).Draw(t, "steps") {
			i := rapid.IntRange(0, len(w.routers)-1).Draw(t, "router")
			c := w.routers[i]
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0, 1, 2:
				w.submit(i, byte(rapid.IntRange(1, 4).Draw(t, "key")))
			case 3:
				if len(c.delayed) > 0 {
					w.store.do(c.delayed[0])
					c.delayed = c.delayed[1:]
				}
			case 4:
				w.now += 60 * time.Millisecond
			default:
				w.step(c, rapid.SampledFrom(losses).Draw(t, "fate"))
			}
		}
		w.finish()
		if !porcupine.CheckOperations(claimModel, w.history) {
			t.Fatalf("the history of %d claims is not linearizable", len(w.history))
		}
	})
}

// TestSealedClaimsAreFound checks that a new router finds claims whose segment has been sealed.
func TestSealedClaimsAreFound(t *testing.T) {
	checkClaimsAreKept(t, 5*SegmentSize, 100, 5*SegmentSize)
}

// TestClaimsInLargeBatchesAreKept guards against keys that are claimed twice, as segments were sealed while they were half
// empty, and fewer claims were kept than promised.
func TestClaimsInLargeBatchesAreKept(t *testing.T) {
	checkClaimsAreKept(t, 2*MinKept, SegmentSize/2+1, MinKept)
}

// checkClaimsAreKept makes a number of claims in batches, and checks that a new router finds the last ones.
func checkClaimsAreKept(t *testing.T, claims, batch, kept int) {
	t.Helper()
	is := is.New(t)
	s := &store{values: map[string]CallResult{}}
	first := NewShard(SwapRate{PerSecond: 1e6, Burst: 1e6})
	now := model.Time(0)
	run := func(shard *Shard) (out []OpResult) {
		for range 10000 {
			now += time.Millisecond
			call, answers := shard.Next(now)
			out = append(out, answers...)
			if call == nil {
				return out
			}
			out = append(out, shard.Complete(now, s.do(*call))...)
		}
		return out
	}
	keyOf := func(i int) Key { return Key{byte(i), byte(i >> 8), byte(i >> 16), 9} }
	for i := range claims {
		first.Submit(Op{ID: uint64(i + 1), Key: keyOf(i), Holder: Holder{1}})
		if i%batch == batch-1 || i == claims-1 {
			for _, a := range run(first) {
				is.Equal(a.Result, Held)
			}
		}
	}
	second := NewShard(SwapRate{PerSecond: 1e6, Burst: 1e6})
	answered := 0
	for i := claims - kept; i < claims; i++ {
		second.Submit(Op{ID: uint64(i + 1), Key: keyOf(i), Holder: Holder{2}})
		if i%maxPending != maxPending-1 && i != claims-1 {
			continue
		}
		for _, a := range run(second) {
			is.Equal(a.Result, Taken)
			answered++
		}
	}
	is.Equal(answered, kept)
}

// TestClaimsAreBatched checks that pending claims are committed by one swap.
func TestClaimsAreBatched(t *testing.T) {
	is := is.New(t)
	s := &store{values: map[string]CallResult{}}
	shard := NewShard(SwapRate{PerSecond: 3, Burst: 1})
	held := 0
	for ms := range 3000 {
		now := time.Duration(ms) * time.Millisecond
		if ms%10 == 0 {
			shard.Submit(Op{ID: uint64(ms + 1), Key: Key{byte(ms), byte(ms >> 8)}, Holder: Holder{1}})
		}
		call, answers := shard.Next(now)
		held += len(answers)
		if call != nil {
			held += len(shard.Complete(now, s.do(*call)))
		}
	}
	is.True(s.swaps <= 10) // 3 a second for 3 s, and one at once
	is.True(held >= 250)
}

// TestReleasedKeysAreFree checks that a released key can be claimed again.
func TestReleasedKeysAreFree(t *testing.T) {
	is := is.New(t)
	s := &store{values: map[string]CallResult{}}
	shard := NewShard(SwapRate{PerSecond: 1e6, Burst: 100})
	results := []Result{}
	for i, op := range []Op{
		{ID: 1, Key: Key{1}, Holder: Holder{1}},
		{ID: 2, Key: Key{1}, Holder: Holder{2}},
		{ID: 3, Key: Key{1}, Holder: Holder{2}, Release: true},
		{ID: 4, Key: Key{1}, Holder: Holder{2}},
		{ID: 5, Key: Key{1}, Holder: Holder{1}, Release: true},
		{ID: 6, Key: Key{1}, Holder: Holder{2}},
	} {
		shard.Submit(op)
		for n := range 10 {
			now := time.Duration(i*10+n) * time.Millisecond
			call, answers := shard.Next(now)
			if call != nil {
				answers = append(answers, shard.Complete(now, s.do(*call))...)
			}
			for _, a := range answers {
				results = append(results, a.Result)
			}
		}
	}
	is.Equal(results, []Result{Held, Taken, Held, Taken, Held, Held})
}
