// Package eventqueue implements virtual time. Scheduled events run in order, and time advances from
// one event to the next.
package eventqueue

import (
	"container/heap"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

// event is a function scheduled for a time. Events with the same time run in the order
// in which they were scheduled.
type event struct {
	at  model.Time
	seq uint64
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// Queue is a virtual clock with a queue of scheduled events.
type Queue struct {
	now    model.Time
	seq    uint64
	events events
}

// Now returns the current virtual time.
func (q *Queue) Now() model.Time { return q.now }

// At schedules do for time t, or for now if t has passed.
func (q *Queue) At(t model.Time, do func()) {
	q.seq++
	heap.Push(&q.events, event{max(t, q.now), q.seq, do})
}

// After schedules do for d after now.
func (q *Queue) After(d time.Duration, do func()) { q.At(q.now+d, do) }

// Run runs all events up to a time, in order, and advances the clock to it.
func (q *Queue) Run(until model.Time) {
	for len(q.events) > 0 && q.events[0].at <= until {
		e := heap.Pop(&q.events).(event)
		q.now = e.at
		e.do()
	}
	q.now = until
}
