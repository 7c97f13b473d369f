package model

import (
	"testing"

	"github.com/matryer/is"
)

// TestIncarnationsHaveDistinctIdentities guards against applying the state of a backend server to its next incarnation.
func TestIncarnationsHaveDistinctIdentities(t *testing.T) {
	is := is.New(t)
	unreported := Incarnation{Name: "i-1"}
	first, second := Incarnation{Name: "i-1", Born: 1_700_000_000_000}, Incarnation{Name: "i-1", Born: 1_600_000_000_000}
	is.Equal(unreported.Backend(), Backend("i-1")) // the hash of the name if the start time isn't reported
	is.True(first.Backend() != second.Backend() && first.Backend() != unreported.Backend())
	is.True(second.IsRestartOf(first) && first.IsRestartOf(second) && first.IsRestartOf(unreported)) // independent of jumps of the clock
	is.True(!first.IsRestartOf(first) && !first.IsRestartOf(Incarnation{Name: "i-2", Born: 1}))
}
