// Package proptest gives property-based tests the same verdict at every run.
package proptest

import (
	"flag"
	"testing"
)

// fixed holds the values of rapid's flags where the command line gives none.
var fixed = map[string]string{
	"rapid.seed":       "1",
	"rapid.checks":     "8",
	"rapid.nofailfile": "true",
}

// Main runs a package's tests; a TestMain calls it. Flags given on the command
// line go before the fixed ones.
func Main(m *testing.M) int {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range fixed {
		if !given[name] && flag.Lookup(name) != nil {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	return m.Run()
}
