package config

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const plainFile = `version: 1 # of the form
accounts: []
pools: []
routes: []
`

// TestSetEvacuated sets evacuated data halls in files with and without the field, in flow and block style.
func TestSetEvacuated(t *testing.T) {
	for _, before := range []string{
		plainFile,
		strings.TrimRight(plainFile, "\n"),
		plainFile + "evacuated: [hall-x]\n",
		plainFile + "evacuated: []\n",
		"evacuated:\n  - hall-x # for now\n  - hall-y\n" + plainFile,
	} {
		for _, halls := range [][]string{{"hall-a"}, {"hall-a", "hall-b"}, {}} {
			is := is.New(t)
			text, err := SetEvacuated([]byte(before), halls)
			is.NoErr(err)
			f, _, findings := Read("", text)
			is.True(!findings.Failed())
			is.Equal(len(f.Evacuated), len(halls))
			for i := range halls {
				is.Equal(f.Evacuated[i], halls[i])
			}
			is.True(strings.Contains(string(text), "# of the form")) // comments are preserved
			is.Equal(strings.Count(string(text), evacuatedField+":"), 1)
		}
	}
	is := is.New(t)
	_, err := SetEvacuated([]byte("a: [1,\nb"), []string{"hall-a"})
	is.True(err != nil)
}
