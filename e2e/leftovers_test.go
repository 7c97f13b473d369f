package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// cleanupTime is the time in which a router must release everything that belongs to callers, after the last of them.
	cleanupTime = 10 * time.Second
	// extraGoroutines is how many more goroutines a router may have than one that has served no request: those of
	// connections to backend servers, and of calls by other routers.
	extraGoroutines = 24
)

// checkLeftovers checks that within ten seconds after the last caller the routers have no connection, no unsent byte and
// no goroutine that belongs to a caller.
func (s *soak) checkLeftovers(baseline int) {
	gone := time.Now().Add(cleanupTime)
	for _, r := range s.routers {
		if !s.faultLog.wasReached(r) {
			continue // no caller has reached it
		}
		left := leftovers(s.t, r, baseline)
		for left != "" && time.Now().Before(gone) {
			time.Sleep(50 * time.Millisecond)
			left = leftovers(s.t, r, baseline)
		}
		if left != "" {
			s.t.Errorf("%s still has %s after its last caller", r.name, left)
		}
	}
}

// leftovers describes what a router still has of callers, "" for nothing. The baseline is its number of goroutines
// before the first caller.
func leftovers(t testing.TB, r *router, baseline int) string {
	t.Helper()
	if n := connections(t, r.callers); n > 0 {
		return fmt.Sprintf("%d connections", n)
	}
	if n := goroutines(t, r); n > baseline+extraGoroutines {
		return fmt.Sprintf("%d goroutines, initially %d", n, baseline)
	}
	return ""
}

var goroutinesLine = regexp.MustCompile(`(?m)^go_goroutines (\d+)$`)

func goroutines(t testing.TB, r *router) int {
	t.Helper()
	is := is.New(t)
	found := goroutinesLine.FindStringSubmatch(metricsOf(t, r))
	is.True(found != nil)
	n, err := strconv.Atoi(found[1])
	is.NoErr(err)
	return n
}

// metricsOf returns a router's metrics in the text format.
func metricsOf(t testing.TB, r *router) string {
	t.Helper()
	is := is.New(t)
	resp, err := http.Get("http://" + r.admin + "/metrics")
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	return string(text)
}

// The states in /proc/net/tcp of sockets that aren't connections of a process.
const (
	stateTimeWait = "06"
	stateListen   = "0A"
)

// connections returns how many connections the system has at a local IP and port, without sockets that are listening or
// in TIME_WAIT. A closed connection counts until the peer has acknowledged all of its bytes.
func connections(t testing.TB, address string) int {
	t.Helper()
	is := is.New(t)
	file, err := os.Open("/proc/net/tcp")
	is.NoErr(err)
	defer func() { _ = file.Close() }()
	local := procAddress(netip.MustParseAddrPort(address))
	n := 0
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		const localField, stateField = 1, 3
		if len(fields) > stateField && fields[localField] == local && fields[stateField] != stateTimeWait && fields[stateField] != stateListen {
			n++
		}
	}
	return n
}

// procAddress returns an IP and port in the format of /proc/net/tcp on little-endian machines.
func procAddress(a netip.AddrPort) string {
	ip := net.IP(a.Addr().AsSlice()).To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port())
}
