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

// broadcast returns the routers that a message is sent to in the first hop, and all that it reaches.
func broadcast(from string, fleet []Router) (first []string, reached map[string]bool) {
	reached = map[string]bool{from: true}
	heads := []string{from}
	plan := PlanFor(from, fleet)
	if plan.Relay != "" {
		first = []string{plan.Relay}
		heads = first
	}
	for _, head := range heads {
		p := PlanFor(head, fleet)
		if plan.Relay == "" {
			first = slices.Concat(p.Relays, p.Serves)
		}
		for _, name := range append(p.Relays, head) {
			reached[name] = true
			for _, served := range PlanFor(name, fleet).Serves {
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
		if _, got := broadcast(from, fleet); len(got) != len(fleet) {
			t.Fatalf("%d of %d routers are reached", len(got), len(fleet))
		}
	})
}

// TestMessagesGrowWithSquareRoot bounds the messages of an exchange: an ordinary router sends one,
// a relay sends one to each other relay and to each router that it serves.
func TestMessagesGrowWithSquareRoot(t *testing.T) {
	is := is.New(t)
	for _, routers := range []int{17, 59, 85, 295, 520, 1434} {
		fleet := fleetOf(routers, 5)
		root := math.Ceil(math.Sqrt(float64(routers)))
		relays, messages := 0, 0
		for _, r := range fleet {
			p := PlanFor(r.Name, fleet)
			if p.Relay != "" {
				is.Equal(len(p.Serves), 0)
				messages++
				continue
			}
			relays++
			messages += len(p.Relays) + len(p.Serves)
			is.True(float64(len(p.Serves)) <= 2.5*root) // rendezvous hashing doesn't balance exactly
		}
		is.True(float64(relays) <= root+5) // rounded up in each data hall
		is.True(messages <= 2*routers+relays*relays)
	}
}

func TestSmallFleetsSendDirectly(t *testing.T) {
	is := is.New(t)
	p := PlanFor("router-000", fleetOf(16, 3))
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
	relays := PlanFor("router-000", fleet).Relays
	for _, i := range []int{3, 17, 40} {
		is.True(slices.Contains(relays, fleet[i].Name))
	}
}

// TestDeathReassignsOnlyServedRouters removes a router: only the routers whose relay it was, and those that become
// relays, change their relay.
func TestDeathReassignsOnlyServedRouters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := fleetOf(rapid.IntRange(60, 120).Draw(t, "routers"), 3)
		dead := rapid.IntRange(0, len(fleet)-1).Draw(t, "dead")
		remaining := slices.Delete(slices.Clone(fleet), dead, dead+1)
		if groupSize(len(fleet)) != groupSize(len(remaining)) {
			return // the number of relays changes, so that many routers change theirs
		}
		for _, r := range remaining {
			before, after := PlanFor(r.Name, fleet), PlanFor(r.Name, remaining)
			isRelay := before.Relay == "" || after.Relay == ""
			newRelay := slices.Contains(after.Relays, after.Relay) && !slices.Contains(before.Relays, after.Relay)
			if !isRelay && !newRelay && before.Relay != after.Relay && before.Relay != fleet[dead].Name &&
				len(before.Relays) == len(after.Relays) {
				t.Fatalf("%s sends to %s, not %s", r.Name, after.Relay, before.Relay)
			}
		}
	})
}

func TestUnknownRouterHasEmptyPlan(t *testing.T) {
	is := is.New(t)
	p := PlanFor("stranger", fleetOf(20, 2))
	is.Equal(p.Relay, "")
	is.Equal(len(p.Relays)+len(p.Serves), 0)
}
