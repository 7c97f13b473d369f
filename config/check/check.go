// Package check defines the type of a check of an operators' file. Each check has
// its own directory below this one, named after its code; package checks
// lists them.
package check

import (
	"fmt"

	"github.com/tamarindstep/tamarindstep/config"
	"github.com/tamarindstep/tamarindstep/finding"
	"github.com/tamarindstep/tamarindstep/internal/strictyaml"
)

// Doc is the documentation of a check.
type Doc struct {
	Title    string
	Text     string
	Since    string
	Severity finding.Severity
}

// Check is a check of an operators' file.
type Check struct {
	Code string
	Doc  Doc
	Run  func(*Pass)
}

// Pass is one run of a check on a file.
type Pass struct {
	File      *config.File
	positions strictyaml.Positions
	check     *Check
	findings  finding.List
}

// Run runs a check and returns its findings.
func Run(c *Check, f *config.File, positions strictyaml.Positions) finding.List {
	p := &Pass{File: f, positions: positions, check: c}
	c.Run(p)
	return p.findings
}

// Report adds a finding at the value with the given path, such as "accounts[2].name".
func (p *Pass) Report(path, format string, args ...any) {
	p.findings = append(p.findings, finding.Finding{
		Code:     p.check.Code,
		Severity: p.check.Doc.Severity,
		Position: p.positions.At(path),
		Message:  fmt.Sprintf(format, args...),
	})
}

// Named is a name defined in the file, with its path.
type Named struct {
	Kind string
	Name string
	Path string
}

// Names returns all names that the file defines.
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
