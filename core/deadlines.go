package core

import (
	"github.com/tamarindstep/tamarindstep/model"
)

// deadlines is a heap of waiting requests ordered by deadline.
type deadlines []*request

func (d deadlines) Len() int { return len(d) }

func (d deadlines) Less(i, j int) bool {
	if d[i].deadline != d[j].deadline {
		return d[i].deadline < d[j].deadline
	}
	return d[i].id < d[j].id
}

func (d deadlines) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].heapIndex, d[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (d *deadlines) Push(x any) {
	r := x.(*request)
	r.heapIndex = len(*d)
	*d = append(*d, r)
}

// Pop implements heap.Interface.
func (d *deadlines) Pop() any {
	old := *d
	r := old[len(old)-1]
	r.heapIndex = -1
	*d = old[:len(old)-1]
	return r
}

// never is a time that is never reached.
const never = model.Time(1<<63 - 1)

func (c *Core) nextDeadline() model.Time {
	if len(c.deadlines) == 0 {
		return never
	}
	return c.deadlines[0].deadline
}
