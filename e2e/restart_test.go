package e2e

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/tamarindstep/tamarindstep/internal/standin/users"
)

// counterOf returns the value of a router's metric, "" if it can't be read.
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

// TestPlatformServersRestartUnderTheirNames guards against restarts that aren't detected or are counted twice: plain
// services restart at the same address, first both at once and then one twice in a row with its clock set back. Each
// router counts each restart once, and uses the new process.
func TestPlatformServersRestartUnderTheirNames(t *testing.T) {
	p := newPlatform(t, 2)
	restart := func(b *users.Backend, born int64) *users.Backend {
		next, err := b.Restart(born)
		p.is.NoErr(err)
		t.Cleanup(next.Close)
		return next
	}
	counted := func(restarts string) {
		for _, r := range p.routers {
			await(t, r.name+" has counted the restarts", func() bool { return counterOf(r, "tamarindstep_backend_server_restarts_total") == restarts })
		}
	}
	used := func(b *users.Backend) {
		for _, r := range p.routers {
			await(t, "the restarted server is used by "+r.name, func() bool {
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
