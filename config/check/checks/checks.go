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

// All holds the checks in the order of their codes.
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

// File reads and checks an operators' file and returns all findings in one
// report, ordered by place. The file is of use only where none is an error.
func File(name string, data []byte) (*config.File, finding.List) {
	f, places, findings := config.Read(name, data)
	if !findings.Failed() {
		for _, c := range All {
			findings = append(findings, check.Run(c, f, places)...)
		}
	}
	findings.Sort()
	return f, findings
}
