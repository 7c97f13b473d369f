// Package ts2011 reports routes that don't match the kind of their pool.
package ts2011

import (
	"fmt"
	"strings"

	"github.com/tamarindstep/tamarindstep/config"
	"github.com/tamarindstep/tamarindstep/config/check"
	"github.com/tamarindstep/tamarindstep/finding"
)

// Check is the check TS2011.
var Check = &check.Check{
	Code: "TS2011",
	Doc: check.Doc{
		Title:    "a route and its pool don't fit",
		Text:     "Models are served by pools of kind engine, services by pools of kind service; claims and paths belong to services or to routes that may not be repeated.",
		Since:    "0.1",
		Severity: finding.Error,
	},
	Run: run,
}

func run(p *check.Pass) {
	kinds := map[string]string{}
	for _, pool := range p.File.Pools {
		kinds[pool.Name] = pool.Kind
	}
	for i, r := range p.File.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		kind, known := kinds[r.Pool]
		if known && r.Model != "" && kind != config.KindEngine {
			p.Report(path+".pool", "model %q needs a pool of kind %s", r.Model, config.KindEngine)
		}
		if known && r.Service != "" && kind != config.KindService {
			p.Report(path+".pool", "service %q needs a pool of kind %s", r.Service, config.KindService)
		}
		if r.Path != "" && (r.Service == "" && r.Host == "" || !strings.HasPrefix(r.Path, "/")) {
			p.Report(path+".path", "a path begins with / and belongs to a service or host")
		}
		if r.Host == "" && (len(r.Split) > 0 || r.Through != (config.HostOptions{})) {
			p.Report(path, "only a route of a host is split or passed through")
		}
		if r.Claims != "" && r.Repeatable {
			p.Report(path+".claims", "a repeatable route claims nothing")
		}
	}
}
