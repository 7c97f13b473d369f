// Package ts2009 reports routes that match the same requests.
package ts2009

import (
	"fmt"

	"github.com/tamarindstep/tamarindstep/config/check"
	"github.com/tamarindstep/tamarindstep/finding"
)

// Check is the check TS2009.
var Check = &check.Check{
	Code: "TS2009",
	Doc: check.Doc{
		Title:    "two routes take the same requests",
		Text:     "A model has one route, and so has each path of a service or host.",
		Since:    "0.1",
		Severity: finding.Error,
	},
	Run: run,
}

func run(p *check.Pass) {
	type key struct{ model, service, host, path string }
	seen := map[key]string{}
	for i, r := range p.File.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		if oneIfSet(r.Model)+oneIfSet(r.Service)+oneIfSet(r.Host) != 1 {
			p.Report(path, "a route names either a model, a service or a host")
			continue
		}
		k := key{r.Model, r.Service, r.Host, r.Path}
		if other, ok := seen[k]; ok {
			p.Report(path, "route %q takes these requests already", other)
		}
		seen[k] = r.Name
	}
}

// oneIfSet returns 1 if s is not empty, and 0 otherwise.
func oneIfSet(s string) int {
	if s == "" {
		return 0
	}
	return 1
}
