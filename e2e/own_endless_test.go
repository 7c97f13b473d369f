package e2e

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/internal/standin/users"
)

const (
	// ownEndlessCalls is the number of requests at once to a server that sends without end.
	ownEndlessCalls = 12
	// endlessGroup is the number of kinds at once.
	endlessGroup = 5
	// ownEndlessTime is how long a caller waits for their answers.
	ownEndlessTime = 700 * time.Millisecond
	// ownEndlessMemory is the memory that a router may take meanwhile, in kB.
	ownEndlessMemory = 150 << 10
)

// endlessKinds are the forms of bytes without end for the product's own interface.
var endlessKinds = []users.Endless{
	users.EndlessRubbish, users.EndlessHeadLine, users.EndlessHeadLines, users.EndlessContinue, users.EndlessHints,
	users.EndlessChunkSize, users.EndlessExtension, users.EndlessExtensions, users.EndlessTrailerLine,
	users.EndlessTrailer, users.EndlessChunks, users.EndlessBody, users.EndlessAfterAnswer, users.EndlessEvent,
	users.EndlessEventLines, users.EndlessComments, users.EndlessEmptyLines, users.EndlessRepeats, users.EndlessChunkedEvent,
}

// serveEndless answers each request on a loopback address with bytes without end.
func serveEndless(t *testing.T, kind users.Endless) (address string) {
	t.Helper()
	address, stop, err := users.Serve(func(c *net.TCPConn, _ *http.Request) { users.WriteEndless(c, kind, "id", "seal", 0) })
	is.New(t).NoErr(err)
	t.Cleanup(stop)
	return address
}

// endlessConfiguration returns a configuration with a pool and a route for each kind, and the usual ones.
func (f *fleet) endlessConfiguration(t *testing.T) string {
	var pools, routes strings.Builder
	for i, kind := range endlessKinds {
		_, _ = fmt.Fprintf(&pools, "  - name: endless-%d\n    kind: service\n    backends:\n      - {name: endless-%d, address: %q, data-hall: hall-a, slots: 50}\n", i, i, serveEndless(t, kind))
		_, _ = fmt.Fprintf(&routes, "  - {name: endless-%d, service: endless-%d, path: /, pool: endless-%d, wait: 30s}\n", i, i, i)
	}
	usual := f.configuration("")
	at := strings.Index(usual, "routes:\n")
	return usual[:at] + pools.String() + usual[at:] + routes.String()
}

// callEndless sends requests to a server that sends without end, whose callers leave after ownEndlessTime.
func (f *fleet) callEndless(t *testing.T, kind int) {
	ctx, cancel := context.WithTimeout(t.Context(), ownEndlessTime)
	defer cancel()
	concurrently(ownEndlessCalls, func(int) {
		url := fmt.Sprintf("http://%s/services/endless-%d/x", f.routers[0].callers, kind)
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("{}"))
		if err != nil {
			t.Error(err)
			return
		}
		req.Header.Set("Authorization", "Bearer "+leagueKey)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return
		}
		defer func() { _ = resp.Body.Close() }()
		_, _ = io.Copy(io.Discard, resp.Body)
	})
}

// TestEndlessBytesStayWithinMemory guards against a router with the product's own interface that outgrows its memory by
// what a backend server sends without end.
func TestEndlessBytesStayWithinMemory(t *testing.T) {
	t.Parallel()
	is := check(t)
	f := newFleet(t, 1)
	code, out := f.ctl(f.routers[0], "apply", f.write("endless.yaml", f.endlessConfiguration(t)))
	is.Equal(code, 0)
	if code != 0 {
		t.Fatal(out)
	}
	time.Sleep(time.Second) // until the owners of the new servers grant
	for group := range slices.Chunk(endlessKinds, endlessGroup) {
		concurrently(len(group), func(i int) { f.callEndless(t, slices.Index(endlessKinds, group[i])) })
		t.Logf("%v: peak memory %d kB", group, peakMemory(t, f.routers[0]))
	}
	is.True(peakMemory(t, f.routers[0]) < ownEndlessMemory)
	sound := f.call(f.routers[0], "/services/entries/waivers", "{}", "X-Request-Id", "sound")
	is.NoErr(sound.err)
	is.Equal(sound.status, 200)
}
