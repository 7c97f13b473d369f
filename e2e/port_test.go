package e2e

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

const (
	// firstPort is the first port assigned to routers. firstEphemeralPort is the first port that the system assigns: the
	// socket that a router sends from is bound to such a port, at all addresses.
	firstPort          = 10000
	firstEphemeralPort = 32768
)

// assignedPorts is the number of ports that freePort has tried.
var assignedPorts atomic.Int64

// freePort returns an address whose port is free. The IP is specific to this process: a port of 127.0.0.1 may be taken by
// any connection of the machine, or by the tests of another process, before the router listens. No port is returned twice.
func freePort(t testing.TB) string {
	t.Helper()
	pid := os.Getpid()
	for {
		port := firstPort + assignedPorts.Add(1)
		if port >= firstEphemeralPort {
			t.Fatal("no free ports")
		}
		address := fmt.Sprintf("127.%d.%d.%d:%d", 1+(pid>>16)&0x7f, (pid>>8)&0xff, pid&0xff, port)
		if isFree(address) {
			return address
		}
	}
}

// isFree reports whether it is possible to listen at an address with both TCP and UDP.
func isFree(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	_ = l.Close()
	u, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	_ = u.Close()
	return true
}

// TestFreePortsAreUnique guards against ports that are returned twice: it requests more ports than the system would assign
// without reusing closed ones.
func TestFreePortsAreUnique(t *testing.T) {
	is := is.New(t)
	seen := map[string]bool{}
	for range 1500 {
		address := freePort(t)
		is.True(!seen[address])
		seen[address] = true
	}
}
