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
	// firstPort is from where on routers are given ports, and firstOfSystem from where on the system gives them: a router's
	// socket for sending is bound to all addresses at one of those.
	firstPort          = 10000
	firstEphemeralPort = 32768
)

// givenPorts is how many ports freePort has looked at.
var assignedPorts atomic.Int64

// freePort returns an address whose port is free. Its IP is this process's own: a
// port of 127.0.0.1 may be taken, before the router listens, by any connection of
// the machine or by the tests of another process. No port is given twice.
func freePort(t testing.TB) string {
	t.Helper()
	pid := os.Getpid()
	for {
		port := firstPort + assignedPorts.Add(1)
		if port >= firstEphemeralPort {
			t.Fatal("no free port is left")
		}
		address := fmt.Sprintf("127.%d.%d.%d:%d", 1+(pid>>16)&0x7f, (pid>>8)&0xff, pid&0xff, port)
		if isFree(address) {
			return address
		}
	}
}

// isFree tells whether an address can be listened at, by both protocols.
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

// TestFreePortsAreGivenOnce asks for so many ports that the system, which offers a
// port again once it is closed, would repeat itself.
func TestFreePortsAreUnique(t *testing.T) {
	is := is.New(t)
	seen := map[string]bool{}
	for range 1500 {
		address := freePort(t)
		is.True(!seen[address])
		seen[address] = true
	}
}
