// Package ts2000 reports names with characters that aren't allowed or with a wrong length.
package ts2000

import (
	"regexp"

	"github.com/tamarindstep/tamarindstep/config/check"
	"github.com/tamarindstep/tamarindstep/finding"
)

// Check is the check TS2000.
var Check = &check.Check{
	Code: "TS2000",
	Doc: check.Doc{
		Title:    "names are words of letters, digits, dots, dashes and underscores",
		Text:     "Names appear in URLs, metrics and logs. A name has 1 to 64 of the letters a to z and A to Z, digits, and '.', '-' or '_', and begins with a letter or digit.",
		Since:    "0.1",
		Severity: finding.Error,
	},
	Run: run,
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

func run(p *check.Pass) {
	for _, n := range p.Names() {
		if !namePattern.MatchString(n.Name) {
			p.Report(n.Path, "%q can't be the name of a %s", n.Name, n.Kind)
		}
	}
}
