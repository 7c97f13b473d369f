// Package ts2003 reports routes whose pool is not defined.
package ts2003

import (
	"fmt"
	"slices"

	"github.com/tamarindstep/tamarindstep/config"
	"github.com/tamarindstep/tamarindstep/config/check"
	"github.com/tamarindstep/tamarindstep/finding"
)

// Check is the check TS2003.
var Check = &check.Check{
	Code: "TS2003",
	Doc: check.Doc{
		Title:    "a route names a pool that isn't there",
		Text:     "The pools of a route must be one of the file's pools.",
		Since:    "0.1",
		Severity: finding.Error,
	},
	Run: run,
}

func run(p *check.Pass) {
	for i, r := range p.File.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		if len(r.Split) == 0 {
			checkPool(p, path+".pool", r.Pool)
		}
		for j, share := range r.Split {
			checkPool(p, fmt.Sprintf("%s.split[%d].pool", path, j), share.Pool)
		}
	}
}

func checkPool(p *check.Pass, path, name string) {
	if !slices.ContainsFunc(p.File.Pools, func(pool config.Pool) bool { return pool.Name == name }) {
		p.Report(path, "there is no pool %q", name)
	}
}
