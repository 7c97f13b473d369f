package model

import (
	"testing"

	"github.com/matryer/is"
)

// TestRunsOfOneNameAreToldApart guards against what is known of a backend server being taken for true of its next run.
func TestRunsOfOneNameAreToldApart(t *testing.T) {
	is := is.New(t)
	silent := Incarnation{Name: "i-1"}
	first, second := Incarnation{Name: "i-1", Born: 1_700_000_000_000}, Incarnation{Name: "i-1", Born: 1_600_000_000_000}
	is.Equal(silent.Backend(), Backend("i-1")) // as before, where nobody says when it started
	is.True(first.Backend() != second.Backend() && first.Backend() != silent.Backend())
	is.True(second.Follows(first) && first.Follows(second) && first.Follows(silent)) // a clock that jumps changes nothing
	is.True(!first.Follows(first) && !first.Follows(Incarnation{Name: "i-2", Born: 1}))
}
