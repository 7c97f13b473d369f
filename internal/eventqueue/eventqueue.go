// Package eventqueue is virtual time: what is planned happens in order, and time passes from
// one event to the next.
package eventqueue

import (
	"container/heap"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

// event is something that happens at a time; of two at one time, the one that
// was planned first goes first.
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

// Queue is a time and what is planned for later.
type Queue struct {
	now    model.Time
	seq    uint64
	events events
}

// Now returns the time.
func (a *Queue) Now() model.Time { return a.now }

// At plans something; a time that has passed is taken for now.
func (a *Queue) At(t model.Time, do func()) {
	a.seq++
	heap.Push(&a.events, event{max(t, a.now), a.seq, do})
}

// After plans something for so much later.
func (a *Queue) After(d time.Duration, do func()) { a.At(a.now+d, do) }

// Run lets time pass until then, with all that is planned for it.
func (a *Queue) Run(until model.Time) {
	for len(a.events) > 0 && a.events[0].at <= until {
		e := heap.Pop(&a.events).(event)
		a.now = e.at
		e.do()
	}
	a.now = until
}
