package e2e

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/tamarindstep/tamarindstep/internal/standin/users"
)

// counterOf reads a router's counter.
func counterOf(r *router, name string) string {
	resp, err := http.Get("http://" + r.admin + "/metrics")
	if err != nil {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	text, _ := io.ReadAll(resp.Body)
	_, rest, _ := strings.Cut(string(text), "\n"+name+" ")
	value, _, _ := strings.Cut(rest, "\n")
	return value
}

// TestPlatformServersThatStartAgainUnderTheirNames lets both plain services start again where they were, first both at once and
// then one twice in a row, under a clock that was set back: each router takes each of them for a new run once, and sends
// to it.
func TestPlatformServersRestartUnderTheirNames(t *testing.T) {
	p := newPlatform(t, 2)
	restart := func(b *users.Backend, born int64) *users.Backend {
		next, err := b.Reborn(born)
		p.is.NoErr(err)
		t.Cleanup(next.Close)
		return next
	}
	counted := func(restarts string) {
		for _, r := range p.routers {
			await(t, r.name+" has heard of the restart", func() bool { return counterOf(r, "tamarindstep_backend_server_restarts_total") == restarts })
		}
	}
	used := func(b *users.Backend) {
		for _, r := range p.routers {
			await(t, "the new run is used by "+r.name, func() bool {
				before := len(b.Runs())
				p.is.Equal(users.Call(r.callers, p.request("POST", "/claim/1")).Status, 200)
				return len(b.Runs()) > before
			})
		}
	}
	for i, b := range p.services {
		p.services[i] = restart(b, 1796294000000+int64(i))
	}
	counted("2")
	used(p.services[0])
	used(p.services[1])
	p.services[0] = restart(p.services[0], 1796294000500)
	counted("3")
	p.services[0] = restart(p.services[0], 1796293000000)
	counted("4")
	used(p.services[0])
}
