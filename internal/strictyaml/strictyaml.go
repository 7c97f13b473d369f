// Package strictyaml decodes YAML strictly into structs, and reports all errors with
// their positions.
package strictyaml

import (
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"github.com/tamarindstep/tamarindstep/finding"
)

// The codes of the findings.
const (
	CodeSyntax    = "TS1000"
	CodeUnknown   = "TS1001"
	CodeType      = "TS1002"
	CodeDuplicate = "TS1003"
	CodeMissing   = "TS1004"
)

// Positions maps the path of each value, such as "accounts[2].weight", to its position.
type Positions map[string]finding.Position

// At returns the position of the value with a path, or of the innermost value that contains it.
func (p Positions) At(path string) finding.Position {
	for path != "" {
		if position, ok := p[path]; ok {
			return position
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			break
		}
		path = path[:cut]
	}
	return p[""]
}

type reader struct {
	file      string
	positions Positions
	findings  finding.List
}

// Read decodes a document into the struct that out points to. Each field needs a yaml tag with
// its name, followed by ",required" if it is required.
func Read(file string, data []byte, out any) (Positions, finding.List) {
	r := &reader{file: file, positions: Positions{"": {File: file, Line: 1, Column: 1}}}
	parsed, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		r.syntax(err)
		return r.positions, r.findings
	}
	if len(parsed.Docs) != 1 || parsed.Docs[0].Body == nil {
		r.add(CodeSyntax, r.positions[""], "the file must hold exactly one document")
		return r.positions, r.findings
	}
	r.value("", parsed.Docs[0].Body, reflect.ValueOf(out).Elem())
	return r.positions, r.findings
}

func (r *reader) add(code string, at finding.Position, format string, args ...any) {
	r.findings = append(r.findings, finding.Finding{
		Code: code, Severity: finding.Error, Position: at, Message: fmt.Sprintf(format, args...),
	})
}

// syntax reports an error of the parser, whose message begins with [LINE:COLUMN].
func (r *reader) syntax(err error) {
	at := finding.Position{File: r.file, Line: 1, Column: 1}
	message, _, _ := strings.Cut(err.Error(), "\n")
	if n, _ := fmt.Sscanf(message, "[%d:%d]", &at.Line, &at.Column); n == 2 {
		_, message, _ = strings.Cut(message, "] ")
	}
	r.add(CodeSyntax, at, "not YAML: %s", message)
}

func (r *reader) position(n ast.Node) finding.Position {
	token := n.GetToken()
	if m, ok := n.(*ast.MappingNode); ok && len(m.Values) > 0 {
		token = m.Values[0].Key.GetToken()
	}
	if token == nil || token.Position == nil {
		return r.positions[""]
	}
	return finding.Position{File: r.file, Line: token.Position.Line, Column: token.Position.Column}
}

func (r *reader) value(path string, n ast.Node, v reflect.Value) {
	at := r.position(n)
	if path != "" {
		r.positions[path] = at
	}
	switch {
	case v.Type() == reflect.TypeFor[time.Duration]():
		r.duration(path, n, v)
	case v.Kind() == reflect.Struct:
		r.mapping(path, n, v)
	case v.Kind() == reflect.Slice:
		r.sequence(path, n, v)
	default:
		r.scalar(path, n, v)
	}
}

func (r *reader) mapping(path string, n ast.Node, v reflect.Value) {
	var values []*ast.MappingValueNode
	switch n := n.(type) {
	case *ast.MappingNode:
		values = n.Values
	case *ast.MappingValueNode:
		values = []*ast.MappingValueNode{n}
	default:
		r.add(CodeType, r.position(n), "%s must be a mapping", displayName(path))
		return
	}
	given := map[string]bool{}
	for _, entry := range values {
		r.entry(path, entry, v, given)
	}
	for i := range v.NumField() {
		field, required := fieldName(v.Type().Field(i))
		if required && !given[field] {
			r.add(CodeMissing, r.position(n), "%s lacks %q", displayName(path), field)
		}
	}
}

func (r *reader) entry(path string, entry *ast.MappingValueNode, v reflect.Value, given map[string]bool) {
	key := entry.Key.GetToken().Value
	at := r.position(entry.Key)
	if given[key] {
		r.add(CodeDuplicate, at, "%q is given twice", key)
		return
	}
	given[key] = true
	for i := range v.NumField() {
		if field, _ := fieldName(v.Type().Field(i)); field == key {
			r.value(join(path, key), entry.Value, v.Field(i))
			return
		}
	}
	r.add(CodeUnknown, at, "%s has no field %q", displayName(path), key)
}

func (r *reader) sequence(path string, n ast.Node, v reflect.Value) {
	if n.Type() == ast.NullType {
		return
	}
	s, ok := n.(*ast.SequenceNode)
	if !ok {
		r.add(CodeType, r.position(n), "%s must be a list", displayName(path))
		return
	}
	out := reflect.MakeSlice(v.Type(), len(s.Values), len(s.Values))
	for i, item := range s.Values {
		r.value(fmt.Sprintf("%s[%d]", path, i), item, out.Index(i))
	}
	v.Set(out)
}

func (r *reader) duration(path string, n ast.Node, v reflect.Value) {
	text, ok := n.(*ast.StringNode)
	if !ok {
		r.add(CodeType, r.position(n), "%s must be a duration, such as 30s", displayName(path))
		return
	}
	d, err := time.ParseDuration(text.Value)
	if err != nil {
		r.add(CodeType, r.position(n), "%s must be a duration, such as 30s, not %q", displayName(path), text.Value)
		return
	}
	v.SetInt(int64(d))
}

func (r *reader) scalar(path string, n ast.Node, v reflect.Value) {
	if !setScalar(n, v) {
		r.add(CodeType, r.position(n), "%s must be a %s", displayName(path), kindName(v.Kind()))
	}
}

func setScalar(n ast.Node, v reflect.Value) bool {
	switch n := n.(type) {
	case *ast.StringNode:
		if v.Kind() == reflect.String {
			v.SetString(n.Value)
			return true
		}
	case *ast.BoolNode:
		if v.Kind() == reflect.Bool {
			v.SetBool(n.Value)
			return true
		}
	case *ast.IntegerNode:
		return setInteger(n, v)
	case *ast.FloatNode:
		if v.Kind() == reflect.Float64 {
			v.SetFloat(n.Value)
			return true
		}
	}
	return false
}

func setInteger(n *ast.IntegerNode, v reflect.Value) bool {
	var i int64
	switch value := n.Value.(type) {
	case int64:
		i = value
	case uint64:
		i = int64(min(value, 1<<62))
	default:
		return false
	}
	switch v.Kind() {
	case reflect.Int:
		v.SetInt(i)
	case reflect.Float64:
		v.SetFloat(float64(i))
	default:
		return false
	}
	return true
}

func fieldName(f reflect.StructField) (field string, required bool) {
	field, options, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return field, options == "required"
}

func kindName(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "string"
	case reflect.Bool:
		return "boolean"
	case reflect.Int:
		return "whole number"
	}
	return "number"
}

func displayName(path string) string {
	if path == "" {
		return "the document"
	}
	return path
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
