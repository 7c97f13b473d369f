// Package ts2005 reports keys that aren't given as a hash.
package ts2005

import (
	"fmt"
	"regexp"

	"github.com/tamarindstep/tamarindstep/config/check"
	"github.com/tamarindstep/tamarindstep/finding"
)

// Check is the check TS2005.
var Check = &check.Check{
	Code: "TS2005",
	Doc: check.Doc{
		Title:    "a key isn't given as its hash",
		Text:     "The file holds no keys, only their hashes, as sha256: and 64 hexadecimal digits.",
		Since:    "0.1",
		Severity: finding.Error,
	},
	Run: run,
}

var hashPattern = regexp.MustCompile(`^sha256:[0-9a-f]{64}$`)

func run(p *check.Pass) {
	for i, a := range p.File.Accounts {
		for j, k := range a.Keys {
			if !hashPattern.MatchString(k) {
				p.Report(fmt.Sprintf("accounts[%d].keys[%d]", i, j), "a key is given as sha256: and 64 hexadecimal digits")
			}
		}
	}
}
