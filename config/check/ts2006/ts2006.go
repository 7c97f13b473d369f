// Package ts2006 reports keys used by two client accounts.
package ts2006

import (
	"fmt"

	"github.com/tamarindstep/tamarindstep/config/check"
	"github.com/tamarindstep/tamarindstep/finding"
)

// Check is the check TS2006.
var Check = &check.Check{
	Code: "TS2006",
	Doc: check.Doc{
		Title:    "two accounts have one key",
		Text:     "A key tells which client account a request belongs to, so it belongs to one.",
		Since:    "0.1",
		Severity: finding.Error,
	},
	Run: run,
}

func run(p *check.Pass) {
	owners := map[string]string{}
	for i, a := range p.File.Accounts {
		for j, k := range a.Keys {
			if other, ok := owners[k]; ok {
				p.Report(fmt.Sprintf("accounts[%d].keys[%d]", i, j), "the key is given already, to %q", other)
			}
			owners[k] = a.Name
		}
	}
}
