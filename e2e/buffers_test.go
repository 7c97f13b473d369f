package e2e

import (
	"go/ast"
	"go/parser"
	tokens "go/token"
	"go/types"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"testing"

	"github.com/matryer/is"
)

// bufferName matches the names of constants that are sizes of buffers.
var bufferName = regexp.MustCompile(`(?i)(buffer|buffersize|held|inlinebody|headerbytes)$`)

// sizesAround returns sizes of answers around each buffer on their way, which are found by the names of their
// constants, and 0 and the largest.
func bufferSizes(t testing.TB) []int {
	t.Helper()
	is := is.New(t)
	out := []int{0, 1, maxAnswer - 1, maxAnswer}
	for _, dir := range []string{"gateway", "front", "internal/exchange"} {
		files, err := filepath.Glob(filepath.Join("..", dir, "*.go"))
		is.NoErr(err)
		for _, file := range files {
			for _, size := range buffersInFile(t, file) {
				out = append(out, size-1, size, size+1)
			}
		}
	}
	is.True(len(out) > 4+3*4) // some were found
	slices.Sort(out)
	return slices.Compact(out)
}

// buffersOf returns the sizes of buffers, in bytes, that a file names.
func buffersInFile(t testing.TB, path string) []int {
	t.Helper()
	is := is.New(t)
	files := tokens.NewFileSet()
	file, err := parser.ParseFile(files, path, nil, 0)
	is.NoErr(err)
	var out []int
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Names) != 1 || len(spec.Values) != 1 || !bufferName.MatchString(spec.Names[0].Name) {
			return true
		}
		value, err := types.Eval(files, nil, tokens.NoPos, types.ExprString(spec.Values[0]))
		if err != nil || value.Value == nil {
			return true // a variable, or a constant of others
		}
		size, err := strconv.Atoi(value.Value.ExactString())
		is.NoErr(err)
		out = append(out, size)
		return true
	})
	return out
}
