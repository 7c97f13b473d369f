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
	// leftoversGone is how long after its last caller a router may keep something of callers.
	cleanupTime = 10 * time.Second
	// spareGoroutines is how many more goroutines a router may have than one that served nobody: those
	// of connections to backend servers, and of others' calls.
	extraGoroutines = 24
)

// checkLeftovers checks that the routers have no connection, no unsent byte and no goroutine of callers, ten
// seconds after the last of them at the latest.
func (s *soak) checkLeftovers(baseline int) {
	gone := time.Now().Add(cleanupTime)
	for _, r := range s.routers {
		if !s.faultLog.wasReached(r) {
			continue // it has had no callers
		}
		left := leftovers(s.t, r, baseline)
		for left != "" && time.Now().Before(gone) {
			time.Sleep(50 * time.Millisecond)
			left = leftovers(s.t, r, baseline)
		}
		if left != "" {
			s.t.Errorf("%s: %s left", r.name, left)
		}
	}
}

// leftovers returns what a router has of callers, "" for nothing.
func leftovers(t testing.TB, r *router, baseline int) string {
	t.Helper()
	if n := connections(t, r.callers); n > 0 {
		return fmt.Sprintf("%d connections", n)
	}
	if n := goroutines(t, r); n > baseline+extraGoroutines {
		return fmt.Sprintf("%d goroutines, %d at first", n, baseline)
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

// metricsOf returns a router's counters as it writes them.
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

// The states of connections in /proc/net/tcp that hold nothing of a process.
const (
	stateTimeWait = "06"
	stateListen   = "0A"
)

// connections returns how many connections to an IP and port the system has, those that are listening
// or remembered left out. One that was closed stays there until all of its bytes have been taken.
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

// procAddress returns an IP and port as /proc/net/tcp writes it, on machines whose least byte comes first.
func procAddress(a netip.AddrPort) string {
	ip := net.IP(a.Addr().AsSlice()).To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port())
}
