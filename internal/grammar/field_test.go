package grammar

import (
	"testing"

	"github.com/matryer/is"
)

// TestField guards against a field's name with a blank or a control byte being accepted: a caller reads its line, or that of
// a length, in another way.
func TestField(t *testing.T) {
	for line, field := range map[string]Field{
		"X: a": {"X", "a"}, "x-a:b": {"x-a", "b"}, "X:": {"X", ""}, "X: \t a\tb \t": {"X", "a\tb"}, "X: a:b": {"X", "a:b"},
		"!#$%&'*+-.^_`|~09azAZ: \xe9": {"!#$%&'*+-.^_`|~09azAZ", "\xe9"},
	} {
		is := is.New(t)
		got, err := ParseField(line)
		is.NoErr(err)
		is.Equal(got, field)
	}
	lines := []string{
		"X", "X A: b", "X A B: b", "X-A : b", "X-A\t: b", " X: a", "\tX: a", ": a", " : a", "(X): a", "X\"A: b", "X/A: b",
		"X\x80: a", "é: a", "X: a\r", "X: \x7f", "Content Length: 2", "Content-Length : 2", "Transfer-Encoding : chunked",
	}
	for b := range byte(' ') {
		lines = append(lines, "X"+string(rune(b))+": a", "X"+string(rune(b))+"A: b")
		if b != '\t' {
			lines = append(lines, "X: a"+string(rune(b))+"b")
		}
	}
	for _, line := range lines {
		_, err := ParseField(line)
		if !isOf(err, PartField) {
			t.Errorf("%q: %v", line, err)
		}
	}
}
