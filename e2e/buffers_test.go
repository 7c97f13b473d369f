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

// bufferName matches the names of constants that are buffer sizes.
var bufferName = regexp.MustCompile(`(?i)(buffer|buffersize|held|inlinebody|headerbytes)$`)

// bufferSizes returns answer sizes in bytes: each buffer size of the packages that forward answers, one byte less and
// one byte more, as well as 0 and the largest answer. The buffers are found by the names of their constants.
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
	is.True(len(out) > 4+3*4) // the packages have such constants
	slices.Sort(out)
	return slices.Compact(out)
}

// buffersInFile returns the buffer sizes, in bytes, of the constants in a file.
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
			return true // not a constant expression on its own
		}
		size, err := strconv.Atoi(value.Value.ExactString())
		is.NoErr(err)
		out = append(out, size)
		return true
	})
	return out
}
