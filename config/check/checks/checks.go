// Package checks lists every check of an operators' file.
package checks

import (
	"github.com/tamarindstep/tamarindstep/config"
	"github.com/tamarindstep/tamarindstep/config/check"
	"github.com/tamarindstep/tamarindstep/config/check/ts2000"
	"github.com/tamarindstep/tamarindstep/config/check/ts2001"
	"github.com/tamarindstep/tamarindstep/config/check/ts2002"
	"github.com/tamarindstep/tamarindstep/config/check/ts2003"
	"github.com/tamarindstep/tamarindstep/config/check/ts2004"
	"github.com/tamarindstep/tamarindstep/config/check/ts2005"
	"github.com/tamarindstep/tamarindstep/config/check/ts2006"
	"github.com/tamarindstep/tamarindstep/config/check/ts2007"
	"github.com/tamarindstep/tamarindstep/config/check/ts2008"
	"github.com/tamarindstep/tamarindstep/config/check/ts2009"
	"github.com/tamarindstep/tamarindstep/config/check/ts2010"
	"github.com/tamarindstep/tamarindstep/config/check/ts2011"
	"github.com/tamarindstep/tamarindstep/config/check/ts2012"
	"github.com/tamarindstep/tamarindstep/finding"
)

// All lists the checks in the order of their codes.
var All = []*check.Check{
	ts2000.Check,
	ts2001.Check,
	ts2002.Check,
	ts2003.Check,
	ts2004.Check,
	ts2005.Check,
	ts2006.Check,
	ts2007.Check,
	ts2008.Check,
	ts2009.Check,
	ts2010.Check,
	ts2011.Check,
	ts2012.Check,
}

// File reads and checks an operators' file and returns all findings, sorted by position.
// The returned file is valid only if no finding is an error.
func File(name string, data []byte) (*config.File, finding.List) {
	f, positions, findings := config.Read(name, data)
	if !findings.Failed() {
		for _, c := range All {
			findings = append(findings, check.Run(c, f, positions)...)
		}
	}
	findings.Sort()
	return f, findings
}
