// Package finding defines findings on operators' input, each with its position, so that
// all of them can be reported together.
package finding

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
)

// Severity is the severity of a finding.
type Severity string

// The severities. An error prevents the requested operation; a warning doesn't.
const (
	Error   Severity = "error"
	Warning Severity = "warning"
)

// Position is a position in a file, or the name of a setting.
type Position struct {
	File   string `json:"file"` // or the setting's name
	Line   int    `json:"line,omitempty"`
	Column int    `json:"column,omitempty"`
}

// String returns the position as FILE:LINE:COLUMN, or only the name if there is no line.
func (p Position) String() string {
	if p.Line == 0 {
		return p.File
	}
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
}

// Finding is a problem found in a file or setting.
type Finding struct {
	Code     string   `json:"code"` // stable; see the table in docs/OPERATORS.md
	Severity Severity `json:"severity"`
	Position Position `json:"position"`
	Message  string   `json:"message"`
}

// List is a list of findings. It implements error; see Err.
type List []Finding

// Sort sorts the findings by position, then code.
func (l List) Sort() {
	slices.SortStableFunc(l, func(a, b Finding) int {
		return cmp.Or(
			cmp.Compare(a.Position.File, b.Position.File),
			cmp.Compare(a.Position.Line, b.Position.Line),
			cmp.Compare(a.Position.Column, b.Position.Column),
			cmp.Compare(a.Code, b.Code),
		)
	})
}

// Failed reports whether any finding is an error.
func (l List) Failed() bool {
	return slices.ContainsFunc(l, func(f Finding) bool { return f.Severity == Error })
}

// Error returns all findings, one per line.
func (l List) Error() string {
	var b strings.Builder
	_ = Text(&b, l)
	return strings.TrimSuffix(b.String(), "\n")
}

// Err returns the list if any finding is an error, and nil otherwise.
func (l List) Err() error {
	if l.Failed() {
		return l
	}
	return nil
}

// Formatter writes a list of findings.
type Formatter func(io.Writer, List) error

// Formatters contains the formatters by name.
var Formatters = map[string]Formatter{"text": Text, "json": JSON}

// Text writes the findings as text, one per line.
func Text(w io.Writer, l List) error {
	for _, f := range l {
		if _, err := fmt.Fprintf(w, "%s: %s: %s (%s)\n", f.Position, f.Severity, f.Message, f.Code); err != nil {
			return err
		}
	}
	return nil
}

// JSON writes the findings as one JSON object.
func JSON(w io.Writer, l List) error {
	if l == nil {
		l = List{}
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(struct {
		Findings List `json:"findings"`
	}{l})
}
