package grid

import (
	"fmt"
	"math"
	"os"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/tamarindstep/tamarindstep/internal/proptest"
)

func TestMain(m *testing.M) { os.Exit(proptest.Main(m)) }

func fleetOf(routers, halls int) []Router {
	var out []Router
	for i := range routers {
		out = append(out, Router{Name: fmt.Sprintf("router-%03d", i), DataHall: fmt.Sprintf("hall-%d", i%halls)})
	}
	return out
}

// reached returns who learns in two hops of what a router tells, without those that
// hand nothing on.
func reached(from string, fleet []Router, silent string) map[string]bool {
	out := map[string]bool{from: true}
	n := Of(from, fleet)
	for _, name := range n.Row {
		out[name] = true
	}
	for _, name := range n.Across {
		out[name] = true
		if name == silent {
			continue
		}
		for _, next := range Of(name, fleet).Row {
			out[next] = true
		}
	}
	return out
}

func TestEveryRouterIsReached(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := fleetOf(rapid.IntRange(1, 120).Draw(t, "routers"), rapid.IntRange(1, 5).Draw(t, "halls"))
		from := fleet[rapid.IntRange(0, len(fleet)-1).Draw(t, "from")].Name
		if got := reached(from, fleet, ""); len(got) != len(fleet) {
			t.Fatalf("%d of %d are reached", len(got), len(fleet))
		}
	})
}

func TestMessagesGrowWithTheRoot(t *testing.T) {
	is := is.New(t)
	for _, routers := range []int{17, 59, 85, 520} {
		n := Of("router-000", fleetOf(routers, 3))
		is.True(len(n.Row)+len(n.Across) <= int(2*math.Ceil(math.Sqrt(float64(routers)))))
	}
	small := Of("router-000", fleetOf(9, 3))
	is.Equal(len(small.Row), 8) // told at once
	is.Equal(len(small.Across), 0)
}

func TestDoubtfulRouterHandsNothingOn(t *testing.T) {
	is := is.New(t)
	fleet := fleetOf(59, 3)
	silent := Of("router-000", fleet).Across[0]
	is.True(len(reached("router-000", fleet, silent)) < len(fleet)) // nobody knows yet
	at := slices.IndexFunc(fleet, func(r Router) bool { return r.Name == silent })
	fleet[at].Doubtful = true
	is.Equal(len(reached("router-000", fleet, silent)), len(fleet))
}

func TestStrangerHasNoNeighbours(t *testing.T) {
	is := is.New(t)
	n := Of("stranger", fleetOf(20, 2))
	is.Equal(len(n.Row)+len(n.Across), 0)
}
