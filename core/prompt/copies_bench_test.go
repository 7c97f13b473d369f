package prompt

import (
	"testing"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

// BenchmarkDecideWithCopies measures a decision where engines copy cached parts from one another.
func BenchmarkDecideWithCopies(b *testing.B) {
	m := newMachine(64)
	c := testConfig(64)
	c.Pools[pool] = Pool{Engine: true, CacheTokens: 500_000, CopyRate: 400_000}
	m.Configure(0, c)
	now := time.Duration(0)
	id := model.RequestID(0)
	for b.Loop() {
		id++
		now += 10 * time.Millisecond
		m.Arrive(now, newRequest(id, model.AccountID(id%16), uint64(id%55), 1000))
		m.TakeActions()
		m.RecordBegin(now, id)
		m.Finish(now, id, Done, 50)
	}
}
