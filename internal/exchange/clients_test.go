package exchange

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestARunGetsNoConnectionOfTheOneBefore guards against requests to a backend server that started again behind a cut being
// written to connections of the run before, which say nothing.
func TestARunGetsNoConnectionOfTheOneBefore(t *testing.T) {
	is := is.New(t)
	clients := NewClients(time.Second)
	silent := clients.Of("10.0.0.1:1")
	is.Equal(clients.OfRun("10.0.0.1:1", 0), silent) // where nobody says when it started
	first := clients.OfRun("10.0.0.1:1", 50)
	is.True(first != silent)
	is.True(silent.closed)
	is.Equal(clients.OfRun("10.0.0.1:1", 50), first)
	is.True(clients.OfRun("10.0.0.1:1", 40) != first)
	is.True(first.closed)
}
