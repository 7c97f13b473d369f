// Package ts2006 finds where two accounts have one key.
package ts2006

import (
	"fmt"

	"github.com/tamarindstep/tamarindstep/config/check"
	"github.com/tamarindstep/tamarindstep/finding"
)

// Check is the documented check.
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
	owner := map[string]string{}
	for i, a := range p.File.Accounts {
		for j, k := range a.Keys {
			if other, ok := owner[k]; ok {
				p.Report(fmt.Sprintf("accounts[%d].keys[%d]", i, j), "the key is given already, to %q", other)
			}
			owner[k] = a.Name
		}
	}
}
