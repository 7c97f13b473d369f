package e2e

import (
	"testing"

	"github.com/matryer/is"
)

// TestFreePortsAreGivenOnce asks for so many ports that the system, which offers a
// port again once it is closed, repeats itself.
func TestFreePortsAreGivenOnce(t *testing.T) {
	is := is.New(t)
	seen := map[string]bool{}
	for range 1500 {
		address := freePort(t)
		is.True(!seen[address])
		seen[address] = true
	}
}
