package checks

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/finding"
)

var codePattern = regexp.MustCompile(`TS\d{4}`)

// expected returns the findings listed in the comments of a data file, as
// LINE:CODE.
func expected(text string) []string {
	var out []string
	for i, line := range strings.Split(text, "\n") {
		if _, comment, ok := strings.Cut(line, "# want "); ok {
			for _, code := range codePattern.FindAllString(comment, -1) {
				out = append(out, fmt.Sprintf("%d:%s", i+1, code))
			}
		}
	}
	return out
}

func TestFiles(t *testing.T) {
	files, err := filepath.Glob("testdata/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatal("no data files", err)
	}
	for _, name := range files {
		t.Run(filepath.Base(name), func(t *testing.T) {
			is := is.New(t)
			text, err := os.ReadFile(name)
			is.NoErr(err)
			_, findings := File(name, text)
			var got []string
			for _, f := range findings {
				got = append(got, fmt.Sprintf("%d:%s", f.Position.Line, f.Code))
				is.True(f.Position.Column > 0)
				is.Equal(f.Position.File, name)
			}
			wanted := expected(string(text))
			slices.Sort(got)
			slices.Sort(wanted)
			is.Equal(got, wanted)
		})
	}
}

func TestEveryCheckIsDocumented(t *testing.T) {
	is := is.New(t)
	seen := map[string]bool{}
	for _, c := range All {
		is.True(c.Doc.Title != "" && c.Doc.Text != "" && c.Doc.Since != "" && c.Run != nil)
		is.True(!seen[c.Code]) // codes are unique
		seen[c.Code] = true
	}
	text, err := os.ReadFile("../../../docs/OPERATORS.md")
	is.NoErr(err)
	for code := range seen {
		is.True(strings.Contains(string(text), code)) // documented for operators
	}
}

func TestNotYAML(t *testing.T) {
	is := is.New(t)
	_, findings := File("bad", []byte("a: [1,\nb"))
	is.True(findings.Failed())
	is.Equal(findings[0].Code, "TS1000")
	_, findings = File("empty", nil)
	is.Equal(findings[0].Code, "TS1000")
}

func FuzzFile(f *testing.F) {
	files, _ := filepath.Glob("testdata/*.yaml")
	for _, name := range files {
		text, _ := os.ReadFile(name)
		f.Add(text)
	}
	f.Add([]byte("a: &x [*x]"))
	f.Add([]byte("accounts: [{keys: [1, 2]}]\n---\nb: 1"))
	f.Fuzz(func(t *testing.T, text []byte) {
		got, findings := File("fuzz", text)
		if got == nil && !findings.Failed() {
			t.Fatal("got neither a file nor an error")
		}
		for _, x := range findings {
			if x.Code == "" || x.Severity != finding.Error && x.Severity != finding.Warning {
				t.Fatalf("invalid finding: %+v", x)
			}
		}
	})
}
