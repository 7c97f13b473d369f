// Package ts2010 reports pools without backend servers.
package ts2010

import (
	"fmt"

	"github.com/tamarindstep/tamarindstep/config/check"
	"github.com/tamarindstep/tamarindstep/finding"
)

// Check is the check TS2010.
var Check = &check.Check{
	Code: "TS2010",
	Doc: check.Doc{
		Title:    "a pool has no backend servers",
		Text:     "Requests for the pool wait, and are refused when they have waited as long as they may.",
		Since:    "0.1",
		Severity: finding.Warning,
	},
	Run: run,
}

func run(p *check.Pass) {
	for i, pool := range p.File.Pools {
		if len(pool.Backends) == 0 && !pool.Discovered {
			p.Report(fmt.Sprintf("pools[%d]", i), "pool %q has no backend servers", pool.Name)
		}
	}
}
