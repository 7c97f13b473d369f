// Package proptest makes property-based tests reproducible.
package proptest

import (
	"flag"
	"testing"
)

// defaults are the values of rapid's flags that are not given on the command line.
var defaults = map[string]string{
	"rapid.seed":       "1",
	"rapid.checks":     "8",
	"rapid.nofailfile": "true",
}

// Main runs the tests of a package and returns the exit code. It is called by TestMain.
// Flags given on the command line take precedence over defaults.
func Main(m *testing.M) int {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range defaults {
		if !given[name] && flag.Lookup(name) != nil {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	return m.Run()
}
