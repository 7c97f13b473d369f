// Package ts2001 reports names used by two objects of the same kind.
package ts2001

import (
	"github.com/tamarindstep/tamarindstep/config/check"
	"github.com/tamarindstep/tamarindstep/finding"
)

// Check is the check TS2001.
var Check = &check.Check{
	Code: "TS2001",
	Doc: check.Doc{
		Title:    "two things of a kind have one name",
		Text:     "Client accounts, pools, backend servers and routes each have names of their own.",
		Since:    "0.1",
		Severity: finding.Error,
	},
	Run: run,
}

func run(p *check.Pass) {
	type key struct{ kind, name string }
	seen := map[key]bool{}
	for _, n := range p.Names() {
		k := key{n.Kind, n.Name}
		if seen[k] {
			p.Report(n.Path, "a %s named %q is given already", n.Kind, n.Name)
		}
		seen[k] = true
	}
}
