package prompt

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/model"
)

// TestHeaviestAreInOrder compares with sorting all.
func TestHeaviestAreInOrder(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	for _, n := range []int{0, 1, 12, 40} {
		for _, of := range []int{0, 1, 12, 320} {
			var all []weighed
			for i := range of {
				all = append(all, weighed{model.BackendID(i), random.Uint64()})
			}
			sorted := slices.Clone(all)
			slices.SortFunc(sorted, func(a, b weighed) int { return cmp.Compare(b.weight, a.weight) })
			is.Equal(len(heaviest(all, n)), min(n, of))
			is.True(slices.Equal(heaviest(all, n), sorted[:min(n, of)]))
		}
	}
}

// BenchmarkCandidates measures the choice of the backend servers to look at, of 320.
func BenchmarkCandidates(b *testing.B) {
	m := newMachine(320)
	for i := range b.N {
		in := ask(model.RequestID(i), 1, uint64(i), 1000)
		m.candidates(&request{Request: in})
	}
}
