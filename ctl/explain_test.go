package ctl

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const logText = `0.4 vm-1 {"router":"vm-1","request":"a1","account":"league","route":"chat","outcome":"refused","reason":"no-room","share_had":0.25,"delay_ms":700}
0.5 vm-1 {"router":"vm-1","request":"a2","account":"league","route":"chat","outcome":"dispatched","age_ms":1,"delay_ms":100,"backlog":10}
0.6 vm-1 {"router":"vm-1","request":"a2","account":"league","route":"chat","outcome":"done","age_ms":900,"begun_ms":151}
`

func TestExplain(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "log")
	is.NoErr(os.WriteFile(file, []byte(logText), 0o600))
	run := func(args ...string) (int, string, string) {
		var out, errs bytes.Buffer
		code := Run(append([]string{"explain"}, args...), &out, &errs)
		return code, out.String(), errs.String()
	}
	code, out, _ := run(file)
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "1        chat   league   no-room  false       0.25       700 700 700"))
	is.True(strings.Contains(out, "chat   < 500    1        100          50 50 50"))
	is.True(strings.Contains(out, "age of the loads at 1 decisions: 0 ms in the median, 0 at the 99th percentile"))
	picture := filepath.Join(t.TempDir(), "plot.svg")
	code, _, _ = run(file, "--plot", picture)
	is.Equal(code, ExitOK)
	_, err := os.Stat(picture)
	is.NoErr(err)
	code, out, _ = run(file, "--request", "a2")
	is.Equal(code, ExitOK)
	is.Equal(strings.Count(out, "\n"), 2)
	for _, wrong := range [][]string{
		{}, {file, "--request", "a3"}, {file, "--top", "-1"}, {file + "-not"}, {filepath.Dir(file)},
		{file, "--plot", file + ".unknown"},
	} {
		code, _, errs := run(wrong...)
		is.Equal(code, ExitUsage)
		is.True(strings.HasPrefix(errs, "tamarindctl: "))
	}
}
