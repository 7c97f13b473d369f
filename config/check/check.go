// Package check defines a check of an operators' file. Each check has a
// directory of its own below this one, named after its code; package checks
// lists them.
package check

import (
	"fmt"

	"github.com/tamarindstep/tamarindstep/config"
	"github.com/tamarindstep/tamarindstep/finding"
	"github.com/tamarindstep/tamarindstep/internal/strictyaml"
)

// Doc is a check's documentation.
type Doc struct {
	Title    string
	Text     string
	Since    string
	Severity finding.Severity
}

// Check is one check.
type Check struct {
	Code string
	Doc  Doc
	Run  func(*Pass)
}

// Pass is one run of one check over one file.
type Pass struct {
	File     *config.File
	places   strictyaml.Places
	check    *Check
	findings finding.List
}

// Run runs a check and returns what it finds.
func Run(c *Check, f *config.File, places strictyaml.Places) finding.List {
	p := &Pass{File: f, places: places, check: c}
	c.Run(p)
	return p.findings
}

// Report adds a finding at the value with that path, such as "accounts[2].name".
func (p *Pass) Report(path, format string, args ...any) {
	p.findings = append(p.findings, finding.Finding{
		Code:     p.check.Code,
		Severity: p.check.Doc.Severity,
		Position: p.places.At(path),
		Message:  fmt.Sprintf(format, args...),
	})
}

// Named is a name in the file, with its path.
type Named struct {
	Kind string
	Name string
	Path string
}

// Names returns every name that the file gives to something.
func (p *Pass) Names() []Named {
	var out []Named
	for i, a := range p.File.Accounts {
		out = append(out, Named{"client account", a.Name, fmt.Sprintf("accounts[%d].name", i)})
	}
	for i, pool := range p.File.Pools {
		out = append(out, Named{"pool", pool.Name, fmt.Sprintf("pools[%d].name", i)})
		for j, b := range pool.Backends {
			out = append(out, Named{"backend server", b.Name, fmt.Sprintf("pools[%d].backends[%d].name", i, j)})
		}
	}
	for i, r := range p.File.Routes {
		out = append(out, Named{"route", r.Name, fmt.Sprintf("routes[%d].name", i)})
	}
	return out
}
