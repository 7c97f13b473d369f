package e2e

import (
	"testing"
	"time"

	"github.com/tamarindstep/tamarindstep/internal/standin/users"
)

// undelimitedStreams is the number of streams of each case.
const undelimitedStreams = 12

// wholeUndelimited is the behaviour of a backend server that marks the ends of its streams only by closing their
// connections.
var wholeUndelimited = users.Behaviour{Events: wholeStream, NoLength: true}

// truncated returns a behaviour whose streams are cut after eventsRead events.
func truncated(x users.Behaviour, change func(*users.Behaviour)) users.Behaviour {
	x.AbortAfter = eventsRead
	change(&x)
	return x
}

// streamAll requests streams on a path, one after the other.
func (p *platform) streamAll(path string) []users.Answer {
	var out []users.Answer
	for range undelimitedStreams {
		out = append(out, users.Call(p.routers[0].callers, p.request("POST", path)))
	}
	return out
}

// checkNoneCompletedFalsely checks that no answer with less than a whole stream looks complete.
func checkNoneCompletedFalsely(t *testing.T, answers []users.Answer) {
	t.Helper()
	for _, got := range answers {
		if got.Status == 200 && got.Err == nil && !got.Unframed && got.Body != completeStream(wholeStream) {
			t.Errorf("framed as complete: %q", got.Body)
		}
	}
}

// checkAllWhole checks that every answer is a whole stream.
func checkAllWhole(t *testing.T, answers []users.Answer) {
	t.Helper()
	for _, got := range answers {
		if got.Status != 200 || got.Err != nil || got.Body != completeStream(wholeStream) {
			t.Errorf("not a whole stream: %d %q %v", got.Status, got.Body, got.Err)
		}
	}
}

// checkAllBrokenOff checks that some streams began, and that all of these were broken off.
func checkAllBrokenOff(t *testing.T, answers []users.Answer) {
	t.Helper()
	brokenOff := 0
	for _, got := range answers {
		switch {
		case got.Status != 200:
		case got.Err == nil:
			t.Errorf("not broken off: %q", got.Body)
		default:
			brokenOff++
		}
	}
	if brokenOff == 0 {
		t.Error("no stream began")
	}
}

// TestPlatformTruncatedStreamsAreNotCompleted guards against a stream that its backend server broke off reaching its
// caller with a proper end: one that ends within an event, however its end is marked.
func TestPlatformTruncatedStreamsAreNotCompleted(t *testing.T) {
	t.Parallel()
	p := newPlatform(t, 1)
	for name, x := range map[string]users.Behaviour{
		"closed within an event": truncated(wholeUndelimited, func(x *users.Behaviour) { x.AbortWithinEvent = true }),
		"closed within an event of CRLF lines": truncated(wholeUndelimited, func(x *users.Behaviour) {
			x.AbortWithinEvent, x.LineEnd = true, "\r\n"
		}),
		"last chunk within an event": truncated(users.Behaviour{Events: wholeStream}, func(x *users.Behaviour) {
			x.AbortWithinEvent, x.FalseEnd = true, true
		}),
	} {
		p.behave(p.engines, x)
		for _, path := range []string{"/chat/1", "/review/1"} {
			t.Run(name+path, func(t *testing.T) {
				checkAllBrokenOff(t, p.streamAll(path))
			})
		}
	}
}

// TestPlatformAmbiguousEndIsNotCompleted guards against a stream that ended with its connection, between two events,
// being framed as complete: its router can't know that it is.
func TestPlatformAmbiguousEndIsNotCompleted(t *testing.T) {
	t.Parallel()
	p := newPlatform(t, 1)
	p.behave(p.engines, truncated(wholeUndelimited, func(*users.Behaviour) {}))
	checkNoneCompletedFalsely(t, p.streamAll("/chat/1"))
	checkNoneCompletedFalsely(t, p.streamAll("/review/1"))
	p.behave(p.engines, wholeUndelimited)
	checkAllWhole(t, p.streamAll("/chat/1"))
	checkAllWhole(t, p.streamAll("/review/1"))
}

// TestPlatformCrashBetweenEventsIsResumed guards against a stream being taken for whole because its backend server
// crashed between two events and its connection was closed in order.
func TestPlatformCrashBetweenEventsIsResumed(t *testing.T) {
	t.Parallel()
	p := newPlatform(t, 1)
	p.behave(p.engines, wholeUndelimited)
	p.engines[0].SetBehaviour(truncated(wholeUndelimited, func(x *users.Behaviour) { x.CrashOnAbort = true }))
	answers := p.streamAll("/review/1")
	checkAllWhole(t, answers)
	select {
	case <-p.engines[0].Closed():
	default:
		t.Fatal("no stream reached the backend server that crashes")
	}
}

// TestPlatformKilledRouterCompletesNoAnswer guards against an answer that is relayed with its end unmarked looking whole
// because its router was killed: the kernel closes the connections of a process that ends in order.
func TestPlatformKilledRouterCompletesNoAnswer(t *testing.T) {
	t.Parallel()
	p := newPlatform(t, 1)
	p.behave(p.engines, users.Behaviour{Events: wholeStream, NoLength: true, Gap: 100 * time.Millisecond})
	answers := make(chan users.Answer, undelimitedStreams)
	for range undelimitedStreams {
		r := p.request("POST", "/chat/1")
		go func() { answers <- users.Call(p.routers[0].callers, r) }()
		await(t, "the run", func() bool { return len(p.runsOf(r.ID)) == 1 })
	}
	time.Sleep(250 * time.Millisecond) // some events are relayed
	p.kill(p.routers[0])
	for range undelimitedStreams {
		if got := <-answers; got.Status == 200 && got.Err == nil && got.Body != completeStream(wholeStream) {
			t.Errorf("looks whole: %q", got.Body)
		}
	}
}
