package emulator

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/internal/eventqueue"
	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/policy/policies"
)

func shortExperiment(policy string) Experiment {
	e := Default(policies.Find(policy))
	e.WarmUp, e.Length = 2*time.Second, 8*time.Second
	return e
}

func TestRunIsDeterministic(t *testing.T) {
	is := is.New(t)
	a, b := Run(shortExperiment("prompt-affinity")), Run(shortExperiment("prompt-affinity"))
	is.Equal(a, b)
	other := shortExperiment("prompt-affinity")
	other.Seed = 2
	is.True(Run(other).Requests != a.Requests || Run(other).Median != a.Median)
}

// TestAffinityReducesPrefill compares policies under the same load, starting with empty prefix caches: routing
// prompts to engines that have them cached must save at least a third of the prefill.
func TestAffinityReducesPrefill(t *testing.T) {
	is := is.New(t)
	affinity, leastLoaded := Run(shortExperiment("prompt-affinity")), Run(shortExperiment("least-loaded"))
	is.True(affinity.PrefillTokens*3 < leastLoaded.PrefillTokens*2)
	is.True(affinity.InTime > 2*leastLoaded.InTime)
}

// TestFairnessUnderOverload raises the load of some accounts far above normal, for long enough to fill the prefix
// caches: the small accounts, which request less than an equal share, are served nearly as under normal load.
func TestFairnessUnderOverload(t *testing.T) {
	is := is.New(t)
	e := Default(policies.Find("prompt-affinity"))
	e.Load.HotAccounts, e.Load.Factor = 4, 1.5
	r := Run(e)
	is.True(r.WorstAccount > 0.7)
	is.True(r.WorstAccount > 1.4*r.InTime)
	is.True(r.InTime > 0.4)
	is.True(r.Late < r.InTime) // most requests that can't meet their objective are refused
}

func TestEngineCachesPrompts(t *testing.T) {
	is := is.New(t)
	var clock eventqueue.Queue
	settings := DefaultEngine
	settings.MemoryTokens = 10_000
	e := newEngine(settings, &clock)
	var started []model.Time
	submit := func(own uint64) {
		r := &execution{prompt: &model.Prompt{Tokens: 5000, Parts: []model.Part{{ID: 1, Tokens: 4000}, {ID: own, Tokens: 1000}}}, output: 2}
		r.onFirst = func() { started = append(started, clock.Now()) }
		r.onProgress, r.onDone = func() {}, func() {}
		is.True(e.accept(r))
		clock.Run(clock.Now() + 1_000_000_000)
	}
	submit(2)
	is.Equal(e.prefillTokens, 5000)
	submit(3)
	is.Equal(e.prefillTokens, 6000) // the shared part is cached
	is.True(started[1]-1_000_000_000 < started[0])
	for own := uint64(10); own < 20; own++ {
		e.cachePrompt(&model.Prompt{Parts: []model.Part{{ID: own, Tokens: 1000}}})
	}
	submit(4) // by now the shared part has been evicted
	is.Equal(e.prefillTokens, 11_000)
	is.Equal(e.recomputedTokens, 4000)
}

func TestCommand(t *testing.T) {
	is := is.New(t)
	plot := filepath.Join(t.TempDir(), "out.svg")
	c := NewCommand()
	var out bytes.Buffer
	c.SetOut(&out)
	c.SetErr(&out)
	c.SetArgs([]string{"--seconds", "6", "--policies", "prompt-affinity,least-loaded", "--plot", plot})
	is.NoErr(c.Execute())
	is.True(strings.Contains(out.String(), "prompt-affinity"))
	svg, err := os.ReadFile(plot)
	is.NoErr(err)
	is.True(bytes.Contains(svg, []byte("<svg")))
	c.SetArgs([]string{"--policies", "fastest"})
	is.True(c.Execute() != nil)
}
