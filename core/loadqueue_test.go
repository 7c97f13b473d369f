package core

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/tamarindstep/tamarindstep/wire"
)

// receiverTotals is what a receiver accumulates from the messages that it receives.
type receiverTotals struct {
	sent    map[uint32]uint64
	running map[uint32]uint32
	begun   map[uint32]int64
	last    uint64
}

func newReceiverTotals() *receiverTotals {
	return &receiverTotals{sent: map[uint32]uint64{}, running: map[uint32]uint32{}, begun: map[uint32]int64{}}
}

func (r *receiverTotals) take(in *wire.Loads) {
	for i, id := range in.Backends {
		r.sent[id] += in.Sent[i]
		r.running[id] = in.Running[i]
	}
	for i, id := range in.Accounts {
		r.begun[id] += in.Begun[i]
	}
	r.last = in.Sequence
}

// drawLoads draws a router's next message.
func drawLoads(t *rapid.T, router uint32, sequence uint64) *wire.Loads {
	out := &wire.Loads{Router: router, Process: 1, Sequence: sequence}
	ids := rapid.SliceOfNDistinct(rapid.Uint32Range(1, 5), 0, 4, rapid.ID[uint32])
	for _, id := range ids.Draw(t, "backends") {
		out.Backends = append(out.Backends, id)
		out.Sent = append(out.Sent, rapid.Uint64Range(0, 9000).Draw(t, "sent"))
		out.Running = append(out.Running, rapid.Uint32Range(0, 9).Draw(t, "running"))
	}
	for _, id := range ids.Draw(t, "accounts") {
		out.Accounts = append(out.Accounts, id)
		out.Asked = append(out.Asked, rapid.Int64Range(0, 9000).Draw(t, "asked"))
		out.Begun = append(out.Begun, rapid.Int64Range(-900, 9000).Draw(t, "begun"))
	}
	return out
}

// TestMergedMessagesKeepTotals queues messages of a few routers for random times. A receiver's totals must be the same
// as if it had received each message separately, and at most one message of each router may wait.
func TestMergedMessagesKeepTotals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const routers = 3
		q := newLoadQueue()
		separate, merged := map[uint32]*receiverTotals{}, map[uint32]*receiverTotals{}
		for router := range uint32(routers) {
			separate[router], merged[router] = newReceiverTotals(), newReceiverTotals()
		}
		takeSome := func(bytes int) {
			for _, in := range q.take(bytes) {
				merged[in.Router].take(in)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			router := rapid.Uint32Range(0, routers-1).Draw(t, "router")
			in := drawLoads(t, router, separate[router].last+1)
			separate[router].take(in)
			q.add(in)
			if q.len() > routers {
				t.Fatalf("%d messages of %d routers wait", q.len(), routers)
			}
			if rapid.IntRange(0, 3).Draw(t, "taken") == 0 {
				takeSome(rapid.IntRange(1, 100).Draw(t, "bytes"))
			}
		}
		takeSome(1 << 20)
		is := is.New(t)
		is.Equal(merged, separate)
	})
}

// TestMessagesOfDifferentProcessesAreNotMerged queues the first message of a restarted router while the last one of its
// earlier process still waits, and one whose lists have different lengths.
func TestMessagesOfDifferentProcessesAreNotMerged(t *testing.T) {
	is := is.New(t)
	q := newLoadQueue()
	q.add(&wire.Loads{Router: 1, Process: 1, Sequence: 9, Backends: []uint32{1}, Sent: []uint64{5}, Running: []uint32{1}})
	q.add(&wire.Loads{Router: 1, Process: 2, Sequence: 1, Backends: []uint32{1}, Sent: []uint64{7}, Running: []uint32{2}})
	q.add(&wire.Loads{Router: 1, Process: 2, Sequence: 2, Backends: []uint32{1}})
	out := q.take(1 << 10)
	is.Equal(len(out), 3)
	is.Equal(out[0].Sent, []uint64{5})
	is.Equal(out[1].Sent, []uint64{7})
	is.Equal(q.len(), 0)
}
