package retryafter

import (
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
)

func TestParse(t *testing.T) {
	for _, c := range []struct {
		value string
		want  time.Duration
		err   *errorx.Type
	}{
		{"3", 3 * time.Second, nil},
		{" 0.25 ", 250 * time.Millisecond, nil},
		{"1e9", Max, nil},
		{"+Inf", Max, nil},
		{"31536000", Max, nil},
		{"0", 0, NotPositive},
		{"-2", 0, NotPositive},
		{"-Inf", 0, NotPositive},
		{"NaN", 0, Unreadable},
		{"", 0, Unreadable},
		{"soon", 0, Unreadable},
		{"3, 4", 0, Unreadable},
		{"Wed, 21 Oct 2026 07:28:00 GMT", 0, Unreadable},
	} {
		t.Run(c.value, func(t *testing.T) {
			is := is.New(t)
			got, err := Parse(c.value)
			is.Equal(got, c.want)
			is.Equal(err != nil, c.err != nil)
			if c.err != nil {
				is.True(errorx.IsOfType(err, c.err))
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	for _, seed := range []string{"3", "0.001", "-1", "NaN", "1e400", "0x1p-2", "1_000"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, value string) {
		got, err := Parse(value)
		if got < 0 || got > Max || err != nil && got != 0 {
			t.Fatalf("%q: %v, %v", value, got, err)
		}
	})
}
