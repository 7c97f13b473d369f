package e2e

import (
	"strings"
	"testing"
	"time"

	"github.com/tamarindstep/tamarindstep/internal/standin/users"
)

// brokenPaths are paths of one route of each kind.
var brokenPaths = []string{"/look/1", "/claim/1", "/chat/1", "/review/1"}

// toleratedAnswers are the broken answers that lenient parsers take for a success.
var toleratedAnswers = []string{
	"status 000", "status 000, in chunks", "status 000, until its end", "status 000, after an interim one",
	"a blank in a name", "a blank after a name", "a blank after Content-Length", "a blank in Content-Length",
	"a blank after Transfer-Encoding", "a blank in Transfer-Encoding", "a folded Content-Length",
	"chunks beside a length", "chunks of HTTP/1.0", "a type given twice", "a blank after the size of a chunk",
}

// TestPlatformBrokenAnswersReachNoCaller guards against an answer that breaks the grammar of HTTP/1.1 reaching a caller as
// a success: one of status 000 did as 200, and one with a blank in the name of a field did with that line, or with a body
// that its backend server hadn't sent, as one of HTTP/1.0 in chunks did.
func TestPlatformBrokenAnswersReachNoCaller(t *testing.T) {
	t.Parallel()
	p := newPlatform(t, 1)
	for _, name := range toleratedAnswers {
		p.checkNotRelayed(t, name, users.BrokenAnswers[name])
	}
}

// TestPlatformCutHeadsReachNoCaller guards against an answer whose connection is closed within its head reaching a caller
// as a success.
func TestPlatformCutHeadsReachNoCaller(t *testing.T) {
	t.Parallel()
	p := newPlatform(t, 1)
	for _, name := range []string{"a head without its last line", "a head that ends within a line", "a head that ends within a length", "a head that ends within its status"} {
		p.checkNotRelayed(t, name, users.BrokenAnswers[name])
	}
}

// TestPlatformAmbiguousAnswersReachNoCaller guards against a success that names a second request, or has two seals or none,
// reaching a caller.
func TestPlatformAmbiguousAnswersReachNoCaller(t *testing.T) {
	t.Parallel()
	p := newPlatform(t, 1)
	for name, text := range users.AmbiguousAnswers {
		p.checkNotRelayed(t, name, text)
	}
}

// checkNotRelayed checks that an answer of all servers isn't relayed, and that no request that ran is refused as not run.
func (p *platform) checkNotRelayed(t *testing.T, name, text string) {
	t.Helper()
	servers := append(p.engines, p.services...)
	p.behave(servers, users.Behaviour{})
	await(t, "the servers are used again", func() bool { return p.allServed(brokenPaths) })
	p.behave(servers, users.Behaviour{Broken: text})
	ran := 0
	for _, path := range brokenPaths {
		r := p.request("POST", path)
		got := users.Call(p.routers[0].callers, r)
		runs := len(p.runsOf(r.ID))
		ran += runs
		if got.Err != nil || got.Seal != "" || got.Status != 502 && (got.Status != 503 || runs > 0) {
			t.Errorf("%s, %s: %d %q, seal %q, %d runs, %v", name, path, got.Status, got.Body, got.Seal, runs, got.Err)
		}
	}
	if ran == 0 {
		t.Errorf("%s: no request ran", name)
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

const (
	// longUploadParts is the number of parts of an upload that a connection's buffers can't hold.
	longUploadParts = 12 << 20 / uploadPart
	// earlyTries is the number of uploads of each form, one of them in chunks.
	earlyTries = 2
)

// TestPlatformPartBeforeUploadEndsIsNotComplete guards against a part of an answer without a marked end being taken for a
// whole one because its connection was reset, or closed with bytes unread, while the request was still being written: the
// kernel reported the reset to the write only, and an end in order to the read.
func TestPlatformPartBeforeUploadEndsIsNotComplete(t *testing.T) {
	t.Parallel()
	p := newPlatform(t, 1)
	p.limits.BodyBytes = longUploadParts * uploadPart
	p.configure()
	await(t, "long uploads are allowed", func() bool { return p.uploadLong(p.request("POST", "/claim/1")).Status == 200 })
	parts := map[string]string{"/claim/1": "part", "/look/1": "part", "/chat/1": users.Event(1), "/review/1": users.Event(1)}
	for _, early := range []users.EarlyAnswer{
		{Reset: true}, {Reset: true, Delay: 30 * time.Millisecond}, {}, {Delay: 30 * time.Millisecond},
	} {
		for path, part := range parts {
			p.behave(append(p.engines, p.services...), users.Behaviour{})
			await(t, "the servers are used again", func() bool { return p.allServed(brokenPaths) })
			early.Part = part
			p.behave(append(p.engines, p.services...), users.Behaviour{Early: &early})
			ran := 0
			for try := range earlyTries {
				r := p.request("POST", path)
				r.Chunked = try > 0
				got := p.uploadLong(r)
				ran += len(p.runsOf(r.ID))
				if got.Err == nil && got.Status == 200 {
					t.Errorf("%s, %+v: %q looks whole", path, early, got.Body)
				}
			}
			if ran == 0 {
				t.Errorf("%s, %+v: no request ran", path, early)
			}
		}
	}
}

// uploadLong sends a request with a long body and a new connection.
func (p *platform) uploadLong(r users.Request) users.Answer {
	c, err := users.Dial(p.routers[0].callers)
	if err != nil {
		return users.Answer{Err: err}
	}
	return c.Upload(r, strings.Repeat("x", uploadPart), longUploadParts)
}
