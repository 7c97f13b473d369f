package prompt

import "testing"

// BenchmarkDecideWithCopies measures a decision where engines copy cached parts from one another.
func BenchmarkDecideWithCopies(b *testing.B) {
	m := newMachine(64)
	c := testConfig(64)
	c.Pools[pool] = Pool{Engine: true, CacheTokens: 500_000, CopyRate: 400_000}
	m.Configure(0, c)
	benchmarkDecisions(b, m)
}
