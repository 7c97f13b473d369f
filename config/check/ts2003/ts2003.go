// Package ts2003 finds where a route names a pool that isn't there.
package ts2003

import (
	"fmt"
	"slices"

	"github.com/tamarindstep/tamarindstep/config"
	"github.com/tamarindstep/tamarindstep/config/check"
	"github.com/tamarindstep/tamarindstep/finding"
)

// Check is the documented check.
var Check = &check.Check{
	Code: "TS2003",
	Doc: check.Doc{
		Title:    "a route names a pool that isn't there",
		Text:     "The pool of a route must be one of the file's pools.",
		Since:    "0.1",
		Severity: finding.Error,
	},
	Run: run,
}

func run(p *check.Pass) {
	for i, r := range p.File.Routes {
		known := slices.ContainsFunc(p.File.Pools, func(pool config.Pool) bool { return pool.Name == r.Pool })
		if !known {
			p.Report(fmt.Sprintf("routes[%d].pool", i), "there is no pool %q", r.Pool)
		}
	}
}
