package config

import (
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/parser"
	"github.com/joomcode/errorx"
)

// Uneditable is the error for a file that can't be edited automatically.
var Uneditable = errorx.NewNamespace("config").NewType("uneditable")

// evacuatedField is the field of a file that lists the evacuated data halls.
const evacuatedField = "evacuated"

// SetEvacuated returns a file's text with its evacuated data halls replaced. The rest of the
// text, including comments, is unchanged.
func SetEvacuated(text []byte, halls []string) ([]byte, error) {
	value, err := yaml.MarshalWithOptions(halls, yaml.Flow(true))
	if err != nil {
		return nil, Uneditable.Wrap(err, "the data halls can't be written")
	}
	f, _, findings := Read("", text)
	if findings.Failed() {
		return nil, Uneditable.New("the file can't be read")
	}
	if f.Evacuated == nil {
		return append([]byte(strings.TrimRight(string(text), "\n")+"\n"+evacuatedField+": "), value...), nil
	}
	tree, err := parser.ParseBytes(text, parser.ParseComments)
	if err != nil {
		return nil, Uneditable.Wrap(err, "the file can't be read")
	}
	path, err := yaml.PathString("$." + evacuatedField)
	if err != nil {
		return nil, Uneditable.Wrap(err, "the field can't be found")
	}
	if err := path.ReplaceWithReader(tree, strings.NewReader(string(value))); err != nil {
		return nil, Uneditable.Wrap(err, "the field can't be changed")
	}
	return []byte(strings.TrimRight(tree.String(), "\n") + "\n"), nil
}
