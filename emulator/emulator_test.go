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

func short(policy string) Experiment {
	e := Default(policies.Find(policy))
	e.WarmUp, e.Length = 2*time.Second, 8*time.Second
	return e
}

func TestTheSameExperimentGivesTheSameFigures(t *testing.T) {
	is := is.New(t)
	a, b := Run(short("prompt-affinity")), Run(short("prompt-affinity"))
	is.Equal(a, b)
	other := short("prompt-affinity")
	other.Seed = 2
	is.True(Run(other).Requests != a.Requests || Run(other).Median != a.Median)
}

// TestAffinityKeepsPrompts compares policies on the same load, from engines that
// have read nothing yet: sending prompts where they have been read must save at
// least a third of the reading.
func TestAffinityKeepsPrompts(t *testing.T) {
	is := is.New(t)
	affinity, least := Run(short("prompt-affinity")), Run(short("least-loaded"))
	is.True(affinity.Read*3 < least.Read*2)
	is.True(affinity.InTime > 2*least.InTime)
}

// TestOverloadStaysFair lets some accounts send many times their usual, long enough
// for the engines to have read what is shared: the small ones, which ask for less
// than an even part, are served nearly as on a calm day.
func TestOverloadStaysFair(t *testing.T) {
	is := is.New(t)
	e := Default(policies.Find("prompt-affinity"))
	e.Load.Hot, e.Load.Factor = 4, 1.5
	r := Run(e)
	is.True(r.WorstAccount > 0.7)
	is.True(r.WorstAccount > 1.4*r.InTime)
	is.True(r.InTime > 0.4)
	is.True(r.Late < r.InTime) // most of what can't be in time is refused
}

func TestEngineReadsPromptsOnce(t *testing.T) {
	is := is.New(t)
	var time eventqueue.Queue
	shape := DefaultEngine
	shape.Memory = 10_000
	e := newEngine(shape, &time)
	var begun []model.Time
	ask := func(own uint64) {
		r := &run{prompt: &model.Prompt{Tokens: 5000, Parts: []model.Part{{ID: 1, Tokens: 4000}, {ID: own, Tokens: 1000}}}, output: 2}
		r.first = func() { begun = append(begun, time.Now()) }
		r.each, r.done = func() {}, func() {}
		is.True(e.accept(r))
		time.Run(time.Now() + 1_000_000_000)
	}
	ask(2)
	is.Equal(e.read, 5000)
	ask(3)
	is.Equal(e.read, 6000) // the shared part is kept
	is.True(begun[1]-1_000_000_000 < begun[0])
	for own := uint64(10); own < 20; own++ {
		e.keep(&model.Prompt{Parts: []model.Part{{ID: own, Tokens: 1000}}})
	}
	ask(4) // by then other parts have taken its place
	is.Equal(e.read, 11_000)
	is.Equal(e.reread, 4000)
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
