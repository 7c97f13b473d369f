package relay

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

// told returns whom a router sends to in the first hop, and whom those send to in turn.
func told(from string, fleet []Router) (first []string, reached map[string]bool) {
	reached = map[string]bool{from: true}
	heads := []string{from}
	plan := Of(from, fleet)
	if plan.Relay != "" {
		first = []string{plan.Relay}
		heads = first
	}
	for _, head := range heads {
		p := Of(head, fleet)
		if plan.Relay == "" {
			first = slices.Concat(p.Relays, p.Serves)
		}
		for _, name := range append(p.Relays, head) {
			reached[name] = true
			for _, served := range Of(name, fleet).Serves {
				reached[served] = true
			}
		}
	}
	return first, reached
}

func TestEveryRouterIsReached(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := fleetOf(rapid.IntRange(1, 120).Draw(t, "routers"), rapid.IntRange(1, 5).Draw(t, "halls"))
		for i := range fleet {
			fleet[i].Processor = rapid.SampledFrom([]float32{0.2, 0.8}).Draw(t, "processor")
		}
		from := fleet[rapid.IntRange(0, len(fleet)-1).Draw(t, "from")].Name
		if _, got := told(from, fleet); len(got) != len(fleet) {
			t.Fatalf("%d of %d are reached", len(got), len(fleet))
		}
	})
}

// TestMessagesGrowWithTheRoot bounds what an exchange takes: of an ordinary router one
// message, of a relay those to the other relays and to whom it serves.
func TestMessagesGrowWithTheRoot(t *testing.T) {
	is := is.New(t)
	for _, routers := range []int{17, 59, 85, 295, 520, 1434} {
		fleet := fleetOf(routers, 5)
		root := math.Ceil(math.Sqrt(float64(routers)))
		relays, messages := 0, 0
		for _, r := range fleet {
			p := Of(r.Name, fleet)
			if p.Relay != "" {
				is.Equal(len(p.Serves), 0)
				messages++
				continue
			}
			relays++
			messages += len(p.Relays) + len(p.Serves)
			is.True(float64(len(p.Serves)) <= 2.5*root) // rendezvous hashing doesn't even out
		}
		is.True(float64(relays) <= root+5) // a part of one in each data hall
		is.True(messages <= 2*routers+relays*relays)
	}
}

func TestSmallFleetsTellDirectly(t *testing.T) {
	is := is.New(t)
	p := Of("router-000", fleetOf(16, 3))
	is.Equal(p.Relay, "")
	is.Equal(len(p.Relays), 15)
	is.Equal(len(p.Serves), 0)
}

func TestFastRoutersAreRelays(t *testing.T) {
	is := is.New(t)
	fleet := fleetOf(59, 1)
	for _, i := range []int{3, 17, 40} {
		fleet[i].Processor = 0.8
	}
	relays := Of("router-000", fleet).Relays
	for _, i := range []int{3, 17, 40} {
		is.True(slices.Contains(relays, fleet[i].Name))
	}
}

// TestDeathMovesOnlyTheServed takes routers away: nobody changes its relay but those whose
// relay it was, and those that become relays.
func TestDeathMovesOnlyTheServed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := fleetOf(rapid.IntRange(60, 120).Draw(t, "routers"), 3)
		dead := rapid.IntRange(0, len(fleet)-1).Draw(t, "dead")
		left := slices.Delete(slices.Clone(fleet), dead, dead+1)
		if widthOf(len(fleet)) != widthOf(len(left)) {
			return // there are more relays or fewer, so many routers change theirs
		}
		for _, r := range left {
			before, after := Of(r.Name, fleet), Of(r.Name, left)
			isRelay := before.Relay == "" || after.Relay == ""
			taken := slices.Contains(after.Relays, after.Relay) && !slices.Contains(before.Relays, after.Relay)
			if !isRelay && !taken && before.Relay != after.Relay && before.Relay != fleet[dead].Name &&
				len(before.Relays) == len(after.Relays) {
				t.Fatalf("%s tells %s, not %s", r.Name, after.Relay, before.Relay)
			}
		}
	})
}

func TestStrangerHasNoPlan(t *testing.T) {
	is := is.New(t)
	p := Of("stranger", fleetOf(20, 2))
	is.Equal(p.Relay, "")
	is.Equal(len(p.Relays)+len(p.Serves), 0)
}
