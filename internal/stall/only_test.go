package stall

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestOnlyStallSetsWriteDeadlines guards against a write deadline set outside this package, which would still apply to
// the next write.
func TestOnlyStallSetsWriteDeadlines(t *testing.T) {
	is := is.New(t)
	root := filepath.Join("..", "..")
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case d.IsDir() && (d.Name() == "stall" || d.Name() == "standin" || d.Name() == "target"):
			return filepath.SkipDir
		case d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go"):
			return nil
		}
		return checkDeadlines(t, path)
	})
	is.NoErr(err)
}

// checkDeadlines reports each use of a method that sets a write deadline.
func checkDeadlines(t *testing.T, path string) error {
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, nil, 0)
	if err != nil {
		return err
	}
	ast.Inspect(file, func(n ast.Node) bool {
		call, ok := n.(*ast.SelectorExpr)
		if ok && (call.Sel.Name == "SetWriteDeadline" || call.Sel.Name == "SetDeadline") {
			t.Errorf("%s: %s is for package stall alone", files.Position(call.Pos()), call.Sel.Name)
		}
		return true
	})
	return nil
}
