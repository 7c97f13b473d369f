package prompt

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/model"
)

// TestHeaviestSortsByWeight compares the result with sorting all backend servers.
func TestHeaviestSortsByWeight(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	for _, n := range []int{0, 1, 12, 40} {
		for _, of := range []int{0, 1, 12, 320} {
			var all []weightedBackend
			for i := range of {
				all = append(all, weightedBackend{model.BackendID(i), random.Uint64()})
			}
			sorted := slices.Clone(all)
			slices.SortFunc(sorted, func(a, b weightedBackend) int { return cmp.Compare(b.weight, a.weight) })
			is.Equal(len(heaviest(all, n)), min(n, of))
			is.True(slices.Equal(heaviest(all, n), sorted[:min(n, of)]))
		}
	}
}

// BenchmarkCandidates measures the choice of candidates from 320 backend servers.
func BenchmarkCandidates(b *testing.B) {
	m := newMachine(320)
	for i := range b.N {
		in := newRequest(model.RequestID(i), 1, uint64(i), 1000)
		m.candidates(&request{Request: in})
	}
}
