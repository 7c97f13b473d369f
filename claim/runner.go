package claim

import (
	"context"
	"fmt"
	"time"

	"github.com/tamarindstep/tamarindstep/core/claims"
	"github.com/tamarindstep/tamarindstep/internal/clock"
	"github.com/tamarindstep/tamarindstep/model"
)

// request is an operation and the channel for its result.
type request struct {
	op     claims.Op
	result chan claims.Result
}

// runner runs the state machine of one shard.
type runner struct {
	service  *Service
	index    int
	shard    *claims.Shard
	requests chan request
	replies  chan claims.CallResult
	nextID   uint64
	waiting  map[uint64]chan claims.Result
}

// queueSize is the maximum number of operations that wait for the state machine.
const queueSize = 1024

func newRunner(s *Service, index int) *runner {
	pace := claims.SwapRate{PerSecond: s.writes / shards, Burst: burst}
	return &runner{
		service: s, index: index, shard: claims.NewShard(pace),
		requests: make(chan request, queueSize), replies: make(chan claims.CallResult, 1),
		waiting: map[uint64]chan claims.Result{},
	}
}

// submit queues an operation, unless ctx ends before there is room for it. The result channel, if any, must have capacity
// for one result.
func (r *runner) submit(ctx context.Context, op claims.Op, result chan claims.Result) {
	select {
	case r.requests <- request{op: op, result: result}:
	case <-ctx.Done():
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
		case a := <-r.requests:
			r.accept(a)
		case reply := <-r.replies:
			r.deliver(r.shard.Complete(r.now(), reply))
		case <-timer.C:
		}
		call, answers := r.shard.Next(r.now())
		r.deliver(answers)
		if call != nil {
			r.service.ended.Add(1)
			go r.execute(ctx, *call)
		}
		if wake, ok := r.shard.NextWake(r.now()); ok {
			timer.Reset(max(wake-r.now(), 0))
		}
	}
}

func (r *runner) accept(a request) {
	if a.result != nil {
		r.nextID++
		a.op.ID = r.nextID
		r.waiting[a.op.ID] = a.result
	}
	r.deliver(r.shard.Submit(a.op))
}

func (r *runner) deliver(answers []claims.OpResult) {
	for _, a := range answers {
		if c := r.waiting[a.ID]; c != nil {
			c <- a.Result
			delete(r.waiting, a.ID)
		}
	}
}

// execute makes a call of the store and returns its reply to the state machine.
func (r *runner) execute(ctx context.Context, c claims.Call) {
	defer r.service.ended.Done()
	reply, kind := r.callStore(ctx, c)
	r.service.metrics.StoreCalls.WithLabelValues(kind).Inc()
	if reply.Failed {
		r.service.metrics.StoreFailures.WithLabelValues(kind).Inc()
	}
	r.replies <- reply
}

func (r *runner) callStore(ctx context.Context, c claims.Call) (claims.CallResult, string) {
	key := fmt.Sprintf("tamarindstep/claims/%d/head", r.index)
	if c.Kind == claims.ReadSlot || c.Kind == claims.SwapSlot {
		key = fmt.Sprintf("tamarindstep/claims/%d/slot/%d", r.index, c.Slot)
	}
	if c.Kind == claims.ReadHead || c.Kind == claims.ReadSlot {
		v, err := r.service.store.Get(ctx, key)
		return claims.CallResult{Failed: err != nil, Revision: v.Revision, Data: v.Data}, "get"
	}
	v, swapped, err := r.service.store.Swap(ctx, key, c.Revision, c.Data)
	return claims.CallResult{Failed: err != nil, Swapped: swapped, Revision: v.Revision, Data: v.Data}, "swap"
}
