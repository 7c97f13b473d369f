package e2e

import (
	"testing"

	"github.com/tamarindstep/tamarindstep/internal/standin/users"
)

// brokenPaths are paths of one route of each kind.
var brokenPaths = []string{"/look/1", "/claim/1", "/chat/1", "/review/1"}

// relayedOnce are the broken answers that reached callers as a success.
var relayedOnce = []string{"status 000", "status 000, in chunks", "status 000, until its end", "status 000, after an interim one"}

// TestPlatformBrokenAnswersReachNoCaller guards against an answer that breaks the grammar of HTTP/1.1 reaching a caller as
// a success: one of status 000 did as 200.
func TestPlatformBrokenAnswersReachNoCaller(t *testing.T) {
	t.Parallel()
	p := newPlatform(t, 1)
	servers := append(p.engines, p.services...)
	for _, name := range relayedOnce {
		p.behave(servers, users.Behaviour{})
		await(t, "the servers are used again", func() bool { return p.allServed(brokenPaths) })
		p.behave(servers, users.Behaviour{Broken: users.BrokenAnswers[name]})
		for _, path := range brokenPaths {
			r := p.request("POST", path)
			got := users.Call(p.routers[0].callers, r)
			runs := len(p.runsOf(r.ID))
			if got.Err != nil || got.Seal != "" || got.Status != 502 && (got.Status != 503 || runs > 0) {
				t.Errorf("%s, %s: %d %q, seal %q, %d runs, %v", name, path, got.Status, got.Body, got.Seal, runs, got.Err)
			}
		}
	}
}

// allServed reports whether a request on each path is answered.
func (p *platform) allServed(paths []string) bool {
	for _, path := range paths {
		if got := users.Call(p.routers[0].callers, p.request("POST", path)); got.Err != nil || got.Status != 200 {
			return false
		}
	}
	return true
}
