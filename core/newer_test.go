package core

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/policy/promptaffinity"
)

// TestNewerComesFromNearby brings a newer configuration to one router. The others of
// its data hall must be told to fetch it at once; those elsewhere only once nobody
// near them has had it for a while, and then from nearby where it is there.
func TestNewerComesFromNearby(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, todaysConfig(promptaffinity.Policy), todaysHalls)
	first := map[string]time.Duration{}
	next := *f.config
	next.Generation++
	f.newer = func(n *node, a GenerationSeen) {
		if _, seen := first[n.name]; seen {
			return
		}
		first[n.name] = f.now
		if f.byName[a.From].hall != n.hall {
			is.True(f.now >= 10*time.Second+nearWait)
		}
		f.after(20*time.Millisecond, func() { f.step(n, Configure{Config: &next}) }) // fetched
	}
	f.runUntil(10 * time.Second)
	f.step(f.nodes[0], Configure{Config: &next})
	f.runUntil(12 * time.Second)
	is.Equal(len(first), len(f.nodes)-1) // all heard of it
	for _, n := range f.nodes[1:] {
		if n.hall != f.nodes[0].hall {
			is.True(first[n.name] >= 10*time.Second+nearWait)
		}
	}
}
