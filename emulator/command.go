package emulator

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"github.com/tamarindstep/tamarindstep/policy/policies"
)

// options holds the command's flags.
type options struct {
	policies string
	seeds    int
	plot     string
	hot      int
	factor   float64
	seconds  int
	routers  int
	engines  int
}

// NewCommand returns the command that runs experiments.
func NewCommand() *cobra.Command {
	var o options
	c := &cobra.Command{
		Use:   "tamarind-emulate",
		Short: "Compare routing policies on emulated engines under virtual time",
		Long: "tamarind-emulate runs the real decisions of a fleet of routers before emulated\n" +
			"engines and callers, and prints a table of policies side by side. The same\n" +
			"flags give the same figures.",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
	}
	f := c.Flags()
	f.StringVar(&o.policies, "policies", "prompt-affinity,fleet-fair,static-split,least-loaded", "names of the policies, with commas")
	f.IntVar(&o.seeds, "seeds", 1, "runs of each policy, with other seeds")
	f.StringVar(&o.plot, "plot", "", "file for a plot: .svg, .png or .pdf")
	f.IntVar(&o.hot, "hot", 0, "accounts that send seven times their usual in the middle third")
	f.Float64Var(&o.factor, "factor", 1, "how much more than on a calm day is sent")
	f.IntVar(&o.seconds, "seconds", 30, "length in virtual seconds")
	f.IntVar(&o.routers, "routers", 9, "routers")
	f.IntVar(&o.engines, "engines", 9, "engines")
	c.RunE = func(cmd *cobra.Command, _ []string) error { return o.run(cmd) }
	return c
}

func (o options) run(cmd *cobra.Command) error {
	experiments, err := o.experiments()
	if err != nil {
		return err
	}
	results := make([]Result, len(experiments))
	var wg sync.WaitGroup
	for i, e := range experiments {
		wg.Go(func() { results[i] = Run(e) })
	}
	wg.Wait()
	if err := WriteTable(cmd.OutOrStdout(), results); err != nil {
		return err
	}
	if o.plot == "" {
		return nil
	}
	return WritePlot(o.plot, results)
}

func (o options) experiments() ([]Experiment, error) {
	if o.seeds < 1 || o.seconds < 6 || o.routers < 1 || o.engines < 1 || o.factor <= 0 {
		return nil, fmt.Errorf("--seeds, --routers and --engines must be at least 1, --seconds at least 6, --factor above 0")
	}
	var out []Experiment
	for name := range strings.SplitSeq(o.policies, ",") {
		p := policies.Find(strings.TrimSpace(name))
		if p == nil {
			return nil, fmt.Errorf("--policies: unknown policy %q", name)
		}
		for seed := range o.seeds {
			e := Default(p)
			e.Seed = uint64(seed + 1)
			e.Load.HotAccounts, e.Load.Factor = o.hot, o.factor
			e.Length = time.Duration(o.seconds) * time.Second
			e.Routers, e.Engines = o.routers, o.engines
			out = append(out, e)
		}
	}
	return out, nil
}

// Main runs the command and returns the exit code.
func Main() int {
	if err := NewCommand().ExecuteContext(context.Background()); err != nil {
		return 1
	}
	return 0
}
