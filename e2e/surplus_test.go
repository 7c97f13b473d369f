package e2e

import (
	"testing"

	"github.com/tamarindstep/tamarindstep/internal/standin/users"
)

// TestPlatformSurplusBytesAreNoAnswer guards against bytes after the answer to an earlier request, which arrive as the next
// request begins on their connection, being taken for its answer: its caller would be told that it wasn't run, or get
// another request's failure.
func TestPlatformSurplusBytesAreNoAnswer(t *testing.T) {
	t.Parallel()
	p := newPlatform(t, 1)
	for name, surplus := range users.SurplusBytes {
		p.behave(p.services, users.Behaviour{})
		await(t, "the servers are used again", func() bool { return users.Call(p.routers[0].callers, p.request("GET", "/look/1")).Status == 200 })
		p.behave(p.services, users.Behaviour{Surplus: surplus})
		ran := 0
		for range 5 {
			r := p.request("POST", "/claim/1")
			got := users.Call(p.routers[0].callers, r)
			whole := got.Status == 200 && got.ID == r.ID && got.Body == "the whole answer"
			refused := got.Status == 503 && len(p.runsOf(r.ID)) == 0
			ran += len(p.runsOf(r.ID))
			if got.Err != nil || !whole && !refused && got.Status != 502 || len(p.runsOf(r.ID)) > 1 {
				t.Errorf("%s: %d %q of %q, %d runs, %v", name, got.Status, got.Body, got.ID, len(p.runsOf(r.ID)), got.Err)
			}
		}
		if ran == 0 {
			t.Errorf("%s: no request ran", name)
		}
	}
}
