// Package ts2012 reports evacuated data halls that don't exist, and evacuations of all data halls.
package ts2012

import (
	"fmt"

	"github.com/tamarindstep/tamarindstep/config/check"
	"github.com/tamarindstep/tamarindstep/finding"
)

// Check is the check TS2012.
var Check = &check.Check{
	Code: "TS2012",
	Doc: check.Doc{
		Title:    "an evacuation that may not be meant",
		Text:     "An evacuated data hall without a backend server may be a mistaken name. Where every data hall is evacuated all requests are refused.",
		Since:    "0.2",
		Severity: finding.Warning,
	},
	Run: run,
}

func run(p *check.Pass) {
	backendsInHall := map[string]int{}
	for _, pool := range p.File.Pools {
		if pool.Discovered {
			return // the data halls of discovered backend servers are unknown here
		}
		for _, b := range pool.Backends {
			backendsInHall[b.DataHall]++
		}
	}
	remaining := len(backendsInHall)
	for i, hall := range p.File.Evacuated {
		path := fmt.Sprintf("evacuated[%d]", i)
		if backendsInHall[hall] == 0 {
			p.Report(path, "no backend server is in data hall %q", hall)
			continue
		}
		remaining--
		if remaining == 0 {
			p.Report(path, "every data hall is evacuated")
		}
	}
}
