// Package ts2009 finds where two routes take the same requests.
package ts2009

import (
	"fmt"

	"github.com/tamarindstep/tamarindstep/config/check"
	"github.com/tamarindstep/tamarindstep/finding"
)

// Check is the documented check.
var Check = &check.Check{
	Code: "TS2009",
	Doc: check.Doc{
		Title:    "two routes take the same requests",
		Text:     "A model has one route, and so has each path of a service.",
		Since:    "0.1",
		Severity: finding.Error,
	},
	Run: run,
}

func run(p *check.Pass) {
	type key struct{ model, service, path string }
	seen := map[key]string{}
	for i, r := range p.File.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		if (r.Model == "") == (r.Service == "") {
			p.Report(path, "a route names either a model or a service")
			continue
		}
		k := key{r.Model, r.Service, r.Path}
		if other, ok := seen[k]; ok {
			p.Report(path, "route %q takes these requests already", other)
		}
		seen[k] = r.Name
	}
}
