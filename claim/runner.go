package claim

import (
	"context"
	"fmt"
	"time"

	"github.com/tamarindstep/tamarindstep/core/claims"
	"github.com/tamarindstep/tamarindstep/internal/clock"
	"github.com/tamarindstep/tamarindstep/model"
)

// asked is an operation with where its answer goes.
type asked struct {
	op     claims.Op
	answer chan claims.Result
}

// runner drives the machine of one shard.
type runner struct {
	service *Service
	index   int
	shard   *claims.Shard
	asks    chan asked
	replies chan claims.Reply
	nextID  uint64
	waiting map[uint64]chan claims.Result
}

// askQueue is how many operations may wait for the machine.
const askQueue = 1024

func newRunner(s *Service, index int) *runner {
	pace := claims.Pace{PerSecond: s.writes / shards, Burst: burst}
	return &runner{
		service: s, index: index, shard: claims.NewShard(pace),
		asks: make(chan asked, askQueue), replies: make(chan claims.Reply, 1),
		waiting: map[uint64]chan claims.Result{},
	}
}

// ask gives the machine an operation. The answer channel, if any, must have
// room for one result.
func (r *runner) ask(op claims.Op, answer chan claims.Result) {
	select {
	case r.asks <- asked{op: op, answer: answer}:
	case <-r.service.run.Done():
	}
}

func (r *runner) now() model.Time { return clock.System.Since(r.service.began) }

func (r *runner) loop(ctx context.Context) {
	defer r.service.ended.Done()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-r.asks:
			r.take(a)
		case reply := <-r.replies:
			r.tell(r.shard.Done(r.now(), reply))
		case <-timer.C:
		}
		call, answers := r.shard.Next(r.now())
		r.tell(answers)
		if call != nil {
			r.service.ended.Add(1)
			go r.carryOut(ctx, *call)
		}
		if wake, ok := r.shard.Wake(r.now()); ok {
			timer.Reset(max(wake-r.now(), 0))
		}
	}
}

func (r *runner) take(a asked) {
	if a.answer != nil {
		r.nextID++
		a.op.ID = r.nextID
		r.waiting[a.op.ID] = a.answer
	}
	r.tell(r.shard.Ask(a.op))
}

func (r *runner) tell(answers []claims.Answer) {
	for _, a := range answers {
		if c := r.waiting[a.ID]; c != nil {
			c <- a.Result
			delete(r.waiting, a.ID)
		}
	}
}

// carryOut makes one call of the store.
func (r *runner) carryOut(ctx context.Context, c claims.Call) {
	defer r.service.ended.Done()
	reply, kind := r.callStore(ctx, c)
	r.service.metrics.StoreCalls.WithLabelValues(kind).Inc()
	if reply.Failed {
		r.service.metrics.StoreFailures.WithLabelValues(kind).Inc()
	}
	r.replies <- reply
}

func (r *runner) callStore(ctx context.Context, c claims.Call) (claims.Reply, string) {
	key := fmt.Sprintf("tamarindstep/claims/%d/head", r.index)
	if c.Kind == claims.ReadSlot || c.Kind == claims.SwapSlot {
		key = fmt.Sprintf("tamarindstep/claims/%d/slot/%d", r.index, c.Slot)
	}
	if c.Kind == claims.ReadHead || c.Kind == claims.ReadSlot {
		v, err := r.service.store.Get(ctx, key)
		return claims.Reply{Failed: err != nil, Revision: v.Revision, Data: v.Data}, "get"
	}
	v, swapped, err := r.service.store.Swap(ctx, key, c.Revision, c.Data)
	return claims.Reply{Failed: err != nil, Swapped: swapped, Revision: v.Revision, Data: v.Data}, "swap"
}
