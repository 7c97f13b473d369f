package exchange

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRestartedServerGetsNewConnections guards against requests to a backend server that restarted during a network
// partition being written to connections of the previous process, which never respond.
func TestRestartedServerGetsNewConnections(t *testing.T) {
	is := is.New(t)
	clients := NewClients(time.Second)
	silent := clients.For("10.0.0.1:1")
	is.Equal(clients.ForProcess("10.0.0.1:1", 0), silent) // start time unknown
	first := clients.ForProcess("10.0.0.1:1", 50)
	is.True(first != silent)
	is.True(silent.closed)
	is.Equal(clients.ForProcess("10.0.0.1:1", 50), first)
	is.True(clients.ForProcess("10.0.0.1:1", 40) != first)
	is.True(first.closed)
}
