// Package ts2002 reports names of the same kind whose hashes collide.
package ts2002

import (
	"github.com/tamarindstep/tamarindstep/config/check"
	"github.com/tamarindstep/tamarindstep/finding"
	"github.com/tamarindstep/tamarindstep/model"
)

// Check is the check TS2002.
var Check = &check.Check{
	Code: "TS2002",
	Doc: check.Doc{
		Title:    "two names have one hash",
		Text:     "Routers tell each other of names by a 32-bit hash. Two names of a kind with the same hash can't both be used; choose another for one.",
		Since:    "0.1",
		Severity: finding.Error,
	},
	Run: run,
}

func run(p *check.Pass) {
	type key struct {
		kind string
		hash uint32
	}
	seen := map[key]string{}
	for _, n := range p.Names() {
		k := key{n.Kind, model.NameHash(n.Name)}
		if other, ok := seen[k]; ok && other != n.Name {
			p.Report(n.Path, "%q has the same hash as the %s %q", n.Name, n.Kind, other)
		}
		seen[k] = n.Name
	}
}
