// Package ts2007 reports addresses that aren't an IP and port.
package ts2007

import (
	"fmt"
	"net/netip"

	"github.com/tamarindstep/tamarindstep/config/check"
	"github.com/tamarindstep/tamarindstep/finding"
)

// Check is the check TS2007.
var Check = &check.Check{
	Code: "TS2007",
	Doc: check.Doc{
		Title:    "an address isn't an IP and port",
		Text:     "Backend servers are reached by IP number; names are not looked up.",
		Since:    "0.1",
		Severity: finding.Error,
	},
	Run: run,
}

func run(p *check.Pass) {
	for i, pool := range p.File.Pools {
		for j, b := range pool.Backends {
			if _, err := netip.ParseAddrPort(b.Address); err != nil {
				p.Report(fmt.Sprintf("pools[%d].backends[%d].address", i, j), "%q is not an IP and port", b.Address)
			}
		}
	}
}
