package e2e

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/tamarindstep/tamarindstep/internal/standin/users"
)

const (
	nextVersion = "v2" // the version after users.DefaultVersion
	// wholeStream is the number of events of a whole stream, and eventsRead how many of them a caller has read when it
	// loses its stream.
	wholeStream = 8
	eventsRead  = 4
	// takeUpTries is how often a caller tries to take a stream up, coming back when it is told to.
	takeUpTries = 3
)

// engineOf starts an engine of a software version.
func (p *platform) engineOf(version string) *users.Backend {
	name := fmt.Sprintf("engine-%s-%d", version, len(p.engines))
	b, err := users.NewBackendOf(version, p.store, name, "engines", hallA)
	p.is.NoErr(err)
	p.t.Cleanup(b.Close)
	p.engines = append(p.engines, b)
	return b
}

// release starts a number of engines of the next version, waits until every router uses them, and then sets how all
// engines answer.
func (p *platform) release(engines int, x users.Behaviour) {
	p.t.Helper()
	var started []*users.Backend
	for range engines {
		started = append(started, p.engineOf(nextVersion))
	}
	p.behave(p.engines, steady)
	for _, r := range p.routers {
		p.awaitUsed(r, started...)
	}
	p.behave(p.engines, x)
}

// awaitUsed waits until a router has sent requests to each of some engines.
func (p *platform) awaitUsed(r *router, engines ...*users.Backend) {
	p.t.Helper()
	for _, b := range engines {
		before := len(b.Runs())
		await(p.t, r.name+" uses "+b.Name, func() bool {
			for range 8 {
				users.Call(r.callers, p.stream())
			}
			return len(b.Runs()) > before
		})
	}
}

// stream returns a request for a stream that may be resumed, with a subject of its own.
func (p *platform) stream() users.Request {
	r := p.request("POST", "/review/1")
	r.Subject = int(p.last.Load())
	return r
}

// takeUp returns the request with which the caller of a stream that it has lost after eventsRead events takes it up.
func (p *platform) takeUp(lost users.Request) users.Request {
	r := p.stream()
	r.Subject, r.Resumes, r.LastEvent = lost.Subject, lost.ID, strconv.Itoa(eventsRead)
	return r
}

// lostStream is a stream of which the caller has read the first events.
type lostStream struct {
	request users.Request
	conn    *users.Caller
	body    string
}

// begin requests a stream and reads its first events.
func (p *platform) begin(to *router) lostStream {
	p.t.Helper()
	out := lostStream{request: p.stream()}
	var err error
	out.conn, err = users.Dial(to.callers)
	p.is.NoErr(err)
	p.t.Cleanup(out.conn.Close)
	p.is.NoErr(out.conn.Send(out.request))
	out.body, _, err = out.conn.ReadEvents(eventsRead)
	p.is.NoErr(err)
	return out
}

// beginAll begins a number of streams at the same time.
func (p *platform) beginAll(to *router, streams int) []lostStream {
	p.t.Helper()
	out := make([]lostStream, streams)
	var begun sync.WaitGroup
	for i := range out {
		begun.Go(func() { out[i] = p.begin(to) })
	}
	begun.Wait()
	return out
}

// goOn takes a lost stream up at a router, and returns the answer to the last try.
func (p *platform) goOn(s lostStream, at *router) (users.Request, users.Answer) {
	var r users.Request
	var got users.Answer
	for range takeUpTries {
		r = p.takeUp(s.request)
		got = users.Call(at.callers, r)
		if got.Status == 200 || got.RetryAfter == "" {
			break
		}
		pause, _ := strconv.ParseFloat(got.RetryAfter, 64)
		time.Sleep(time.Duration(pause * float64(time.Second)))
	}
	return r, got
}

// checkGoesOn takes a lost stream up at a router, and checks that the whole stream is of one version.
func (p *platform) checkGoesOn(s lostStream, at *router) {
	p.t.Helper()
	s.conn.Close()
	r, got := p.goOn(s, at)
	if got.Status != 200 || got.Err != nil {
		p.t.Errorf("%s, which takes %s up, got %d %q, %v", r.ID, s.request.ID, got.Status, got.Body, got.Err)
		return
	}
	checkOneVersion(p.t, s.request.ID, s.body+got.Body)
}

// checkStream checks that a stream is whole and of one version.
func checkOneVersion(t testing.TB, id, body string) {
	t.Helper()
	for _, version := range []string{users.DefaultVersion, nextVersion} {
		var whole strings.Builder
		for n := 1; n <= wholeStream; n++ {
			whole.WriteString(users.EventOf(version, n))
		}
		if body == whole.String() {
			return
		}
	}
	t.Errorf("%s isn't the whole stream of one version: %q", id, body)
}

// steady is the behaviour of engines whose streams last until the caller has lost them.
var steady = users.Behaviour{Events: wholeStream, Gap: 5 * time.Millisecond}

// slow is the behaviour of engines whose streams are unfinished while a test does something else.
var slow = users.Behaviour{Events: wholeStream, Gap: 250 * time.Millisecond}

// TestPlatformBrokenStreamsGoOnAtTheirVersion guards against answers with events of two software versions: runs end
// after some events, and the router goes on with the answer at another engine.
func TestPlatformBrokenStreamsGoOnAtTheirVersion(t *testing.T) {
	t.Parallel()
	p := newPlatform(t, 3)
	x := steady
	x.AbortAfter, x.AbortWithinEvent, x.AbortEvery = eventsRead, true, 6
	p.release(2, x)
	for i := range 90 {
		r := p.stream()
		got := users.Call(p.routers[i%3].callers, r)
		if got.Status != 200 || got.Err != nil {
			t.Errorf("%s got %d, %v", r.ID, got.Status, got.Err)
		}
		checkOneVersion(t, r.ID, got.Body)
	}
}

// TestPlatformLostStreamsGoOnAtTheirVersion guards against streams of two software versions over a caller's tries: it
// loses its stream and takes it up at other routers, twice in a row. Half of each version's engines are leaving then.
func TestPlatformLostStreamsGoOnAtTheirVersion(t *testing.T) {
	t.Parallel()
	p := newPlatform(t, 3)
	p.release(2, slow)
	streams := p.beginAll(p.routers[0], 24)
	p.leave(p.routers, p.engines[0], p.engines[2])
	p.checkAllGoOn(streams, p.routers[1:])
	p.checkAllGoOn(streams, p.routers[:2])
}

// leave lets some engines leave and waits until some routers send nothing new to them.
func (p *platform) leave(routers []*router, engines ...*users.Backend) {
	p.t.Helper()
	p.behave(p.engines, steady)
	for _, b := range engines {
		b.Announce("draining")
	}
	for _, r := range routers {
		p.awaitNothingNew(r, engines)
	}
}

// TestPlatformStreamsOfAKilledRouterGoOnAtTheirVersion guards against streams that are refused, or go on at another
// software version, when the router that began them is gone.
func TestPlatformStreamsOfAKilledRouterGoOnAtTheirVersion(t *testing.T) {
	t.Parallel()
	p := newPlatform(t, 4)
	p.release(2, slow)
	streams := p.beginAll(p.routers[0], 24)
	p.kill(p.routers[0])
	p.leave(p.routers[1:], p.engines[0], p.engines[2])
	p.checkAllGoOn(streams, p.routers[1:])
}

// kill ends a router at once.
func (p *platform) kill(r *router) {
	_ = r.cmd.Process.Signal(syscall.SIGKILL)
	<-r.exited
}

// checkAllGoOn takes streams up at the same time at some routers.
func (p *platform) checkAllGoOn(streams []lostStream, at []*router) {
	p.t.Helper()
	var ended sync.WaitGroup
	for i, s := range streams {
		ended.Go(func() { p.checkGoesOn(s, at[i%len(at)]) })
	}
	ended.Wait()
}

// TestPlatformStreamsBegunBeforeAReleaseGoOnAtTheirVersion guards against streams that were begun while only one
// software version served, and that go on at the next one: one engine of the first version is left when they are taken
// up, at routers that didn't begin them.
func TestPlatformStreamsBegunBeforeAReleaseGoOnAtTheirVersion(t *testing.T) {
	t.Parallel()
	p := newPlatform(t, 3)
	p.behave(p.engines, slow)
	streams := p.beginAll(p.routers[0], 12)
	p.engines[0].Announce("draining")
	p.release(3, steady)
	p.checkAllGoOn(streams, p.routers)
}

// TestPlatformStreamsOfARetiredVersionAreRefused guards against streams that go on at another software version because
// theirs is served no more: they are refused, and nothing is run.
func TestPlatformStreamsOfARetiredVersionAreRefused(t *testing.T) {
	t.Parallel()
	p := newPlatform(t, 2)
	p.behave(p.engines, slow)
	streams := p.beginAll(p.routers[0], 6)
	first := p.engines
	p.release(2, steady)
	p.leave(p.routers, first...)
	for i, s := range streams {
		p.checkRefused(p.takeUp(s.request), p.routers[i%2])
	}
}

// awaitNothingNew waits until a router sends new streams to none of some engines.
func (p *platform) awaitNothingNew(r *router, engines []*users.Backend) {
	p.t.Helper()
	await(p.t, r.name+" sends nothing new to the first version", func() bool {
		before := runsAt(engines)
		for range 10 {
			users.Call(r.callers, p.stream())
		}
		return runsAt(engines) == before
	})
}

func runsAt(engines []*users.Backend) int {
	n := 0
	for _, b := range engines {
		n += len(b.Runs())
	}
	return n
}

// checkRefused checks that a request is refused as not run, and isn't run.
func (p *platform) checkRefused(r users.Request, at *router) {
	p.t.Helper()
	got := users.Call(at.callers, r)
	if got.Status != 503 || got.RetryAfter == "" || len(p.runsOf(r.ID)) > 0 {
		p.t.Errorf("%s, which takes %s up, got %d with Retry-After %q and ran %d times", r.ID, r.Resumes, got.Status, got.RetryAfter, len(p.runsOf(r.ID)))
	}
}

// TestPlatformUnknownStreamsAreRefused guards against guessing the software version of a stream that no router knows.
func TestPlatformUnknownStreamsAreRefused(t *testing.T) {
	t.Parallel()
	p := newPlatform(t, 2)
	p.release(2, steady)
	for i := range 6 {
		r := p.takeUp(users.Request{ID: fmt.Sprintf("unknown-%d", i)})
		p.checkRefused(r, p.routers[i%2])
		r = p.takeUp(users.Request{})
		p.checkRefused(r, p.routers[i%2])
	}
}

// TestPlatformStreamsStayAtTheirVersionWhenTheirServerChangesIt guards against software versions looked up by a server's
// name: the server of a stream starts again under its name at another version.
func TestPlatformStreamsStayAtTheirVersionWhenTheirServerChangesIt(t *testing.T) {
	t.Parallel()
	p := newPlatform(t, 2)
	p.behave(p.engines, slow)
	streams := p.beginAll(p.routers[0], 8)
	next, err := p.engines[0].RestartAt(nextVersion, 1796294000000)
	p.is.NoErr(err)
	t.Cleanup(next.Close)
	p.engines[0] = next
	p.behave(p.engines, steady)
	for _, r := range p.routers {
		p.awaitUsed(r, next)
	}
	p.checkAllGoOn(streams, p.routers)
}

// TestPlatformStreamsOfOneVersionGoOnAfterAllRoutersRestart guards against refusing streams whose routers are all gone
// though only one software version serves.
func TestPlatformStreamsOfOneVersionGoOnAfterAllRoutersRestart(t *testing.T) {
	t.Parallel()
	p := newPlatform(t, 3)
	p.behave(p.engines, slow)
	streams := p.beginAll(p.routers[0], 6)
	for _, r := range p.routers {
		p.kill(r)
	}
	for i := range p.routers {
		p.routers[i] = p.start(i)
	}
	for _, r := range p.routers {
		p.awaitReady(r)
	}
	p.behave(p.engines, steady)
	p.checkAllGoOn(streams, p.routers)
}
