package e2e

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/tamarindstep/tamarindstep/internal/standin/users"
)

func TestPlatformServesEveryKind(t *testing.T) {
	w := newWorld(t, 1)
	is := w.is
	w.behave(w.engines, users.Behaviour{Events: 5, Gap: time.Millisecond})
	to := w.routers[0].callers

	stream := w.request("POST", "/chat/7?x=1")
	got := users.Call(to, stream)
	is.NoErr(got.Err)
	is.Equal(got.Status, 200)
	is.Equal(got.ID, stream.ID)
	is.Equal(got.Body, whole(5))
	run := w.runsOf(stream.ID)[0]
	is.Equal(run.Path, "/chat/7?x=1")
	is.Equal(run.Body, "the body")
	is.Equal(run.Account, "league") // not the forged one
	is.Equal(run.Key, "")
	is.True(run.TimeLeft > 0 && run.TimeLeft <= 10000)

	for _, r := range []users.Request{w.request("POST", "/claim/1"), w.request("GET", "/look/1")} {
		r.Chunked = r.Method == "POST"
		got := users.Call(to, r)
		is.NoErr(got.Err)
		is.Equal(got.Status, 200)
		is.Equal(got.Body, "the whole answer")
		is.True(strings.HasPrefix(got.Seal, "seal-service-run-"))
		is.Equal(len(w.runsOf(r.ID)), 1)
	}
	unknown := w.request("GET", "/nowhere/")
	is.Equal(users.Call(to, unknown).Status, 404)
	stranger := w.request("GET", "/look/1")
	stranger.Key = "no-such-key"
	is.Equal(users.Call(to, stranger).Status, 401)
}

func TestPlatformAnswersAreWholeOrBroken(t *testing.T) {
	w := newWorld(t, 1)
	is := w.is
	to := w.routers[0].callers
	unframed := w.request("POST", "/claim/1")
	w.behave(w.services, users.Behaviour{Unframed: true})
	got := users.Call(to, unframed)
	is.Equal(got.Status, 200)
	is.Equal(got.Body, "the whole answer")

	w.behave(w.services, users.Behaviour{Unframed: true, Reset: true})
	is.Equal(users.Call(to, w.request("POST", "/claim/2")).Status, 502)

	w.behave(w.services, users.Behaviour{Nameless: true})
	is.Equal(users.Call(to, w.request("POST", "/claim/3")).Status, 502)

	w.behave(w.services, users.Behaviour{Status: 503}) // a status that would say: not run
	is.Equal(users.Call(to, w.request("POST", "/claim/4")).Status, 502)

	w.behave(w.engines, users.Behaviour{Events: 5, CutAfter: 3, CutInside: true})
	broken := users.Call(to, w.request("POST", "/chat/1"))
	is.Equal(broken.Status, 200)
	is.True(broken.Err != nil) // visibly broken
}

func TestPlatformSurplusAnswersReachNobody(t *testing.T) {
	w := newWorld(t, 1)
	w.behave(w.services, users.Behaviour{Surplus: true})
	for range 20 {
		r := w.request("POST", "/claim/1")
		got := users.Call(w.routers[0].callers, r)
		w.is.Equal(got.Status, 200)
		w.is.Equal(got.ID, r.ID)
		w.is.Equal(got.Body, "the whole answer")
	}
}

func TestPlatformAtMostOnce(t *testing.T) {
	w := newWorld(t, 1)
	is := w.is
	to := w.routers[0].callers
	w.behave(w.services, users.Behaviour{Drop: true})
	once := w.request("POST", "/claim/1")
	is.Equal(users.Call(to, once).Status, 502) // never 503: it has run
	is.Equal(len(w.runsOf(once.ID)), 1)
	again := w.request("GET", "/look/1")
	is.Equal(users.Call(to, again).Status, 502)
	is.Equal(len(w.runsOf(again.ID)), 2) // as often as its route allows

	w.behave(w.services, users.Behaviour{Reject: true})
	refused := w.request("POST", "/claim/2")
	got := users.Call(to, refused)
	is.Equal(got.Status, 503)
	is.True(got.RetryAfter != "")
	is.Equal(len(w.runsOf(refused.ID)), 0)

	w.services[0].Behave(users.Behaviour{})
	await(t, "a request that may go elsewhere is served", func() bool {
		return users.Call(to, w.request("GET", "/look/2")).Status == 200
	})
}

func TestPlatformStreamIsContinued(t *testing.T) {
	w := newWorld(t, 1)
	w.engines[0].Behave(users.Behaviour{Events: 6, CutAfter: 3, CutInside: true})
	w.engines[1].Behave(users.Behaviour{Events: 6, CutAfter: 3, CutInside: true})
	r := w.request("POST", "/review/1")
	c, err := users.Dial(w.routers[0].callers)
	w.is.NoErr(err)
	defer c.Close()
	w.is.NoErr(c.Send(r))
	await(t, "the first run", func() bool { return len(w.runsOf(r.ID)) > 0 })
	got := c.Read()
	runs := w.runsOf(r.ID)
	w.is.Equal(len(runs), 2)
	w.is.Equal(runs[0].LastEvent+runs[1].LastEvent, "3") // the second goes on after the third event
	w.is.True(got.Err != nil)                            // and breaks off as well: cut after event 3 of its own
	w.is.True(strings.HasPrefix(whole(6), got.Body))
}

func TestPlatformEarlyAnswersSpoilNoOther(t *testing.T) {
	w := newWorld(t, 1)
	w.behave(w.services, users.Behaviour{Early: true})
	long := w.request("POST", "/claim/1")
	long.Body = strings.Repeat("long", 50_000)
	got := users.Call(w.routers[0].callers, long)
	w.is.Equal(got.Status, 503)
	w.behave(w.services, users.Behaviour{})
	for range 5 {
		r := w.request("POST", "/claim/2")
		w.is.Equal(users.Call(w.routers[0].callers, r).Status, 200)
		w.is.Equal(w.runsOf(r.ID)[0].Body, "the body")
	}
}

func TestPlatformHiddenRequestsAreRefused(t *testing.T) {
	w := newWorld(t, 1)
	hidden := "POST /claim/1 HTTP/1.1\r\nHost: " + users.Host + "\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /look/1 HTTP/1.1\r\n\r\n"
	c, err := users.Dial(w.routers[0].callers)
	w.is.NoErr(err)
	defer c.Close()
	w.is.NoErr(c.Write(hidden))
	w.is.Equal(c.Read().Status, 400)
	w.is.True(c.Read().Err != nil) // the connection is closed
	for _, b := range w.services {
		w.is.Equal(len(b.Runs()), 0)
	}
}

func TestPlatformCallerLeaves(t *testing.T) {
	w := newWorld(t, 1)
	w.behave(w.engines, users.Behaviour{Events: 100000, Gap: 5 * time.Millisecond})
	r := w.request("POST", "/chat/1")
	c, err := users.Dial(w.routers[0].callers)
	w.is.NoErr(err)
	w.is.NoErr(c.Send(r))
	await(t, "the run", func() bool { return len(w.runsOf(r.ID)) == 1 })
	c.Close()
	await(t, "the backend server is told", func() bool { return w.runsOf(r.ID)[0].Left })
}

// TestPlatformSilentServerIsLeft lets one of two backend servers fall silent: a
// request that may be repeated is answered by the other, in good time.
func TestPlatformSilentServerIsLeft(t *testing.T) {
	w := newWorld(t, 1)
	w.services[0].Behave(users.Behaviour{Gap: time.Minute})
	for range 6 {
		r := w.request("GET", "/look/1")
		began := time.Now()
		got := users.Call(w.routers[0].callers, r)
		w.is.Equal(got.Status, 200)
		w.is.True(time.Since(began) < 10*time.Second) // the caller's own time
	}
}

func TestPlatformTimeIsKept(t *testing.T) {
	w := newWorld(t, 1)
	w.behave(w.services, users.Behaviour{Gap: time.Minute})
	began := time.Now()
	got := users.Call(w.routers[0].callers, w.request("GET", "/look/short/1"))
	w.is.Equal(got.Status, 504)
	w.is.True(time.Since(began) >= time.Second) // its route's timeout, not sooner
	var calls sync.WaitGroup
	statuses := make([]int, 200)
	for i := range statuses {
		r := w.request("GET", "/look/short/1")
		calls.Go(func() { statuses[i] = users.Call(w.routers[0].callers, r).Status })
	}
	calls.Wait()
	for _, status := range statuses {
		w.is.True(status == 504 || status == 503) // never 502: nothing broke off
	}
}

// TestPlatformShunnedRouterFollows turns one router away from the store. What the
// operators change and which backend servers leave still reach it, through the
// other routers.
func TestPlatformShunnedRouterFollows(t *testing.T) {
	w := newWorld(t, 3)
	is := w.is
	await(t, "all routers are listed", func() bool { return len(w.store.Keys("tamarindstep/routers/")) == 3 })
	time.Sleep(2 * time.Second) // until they have found each other
	w.doors[0].Shut()
	to := w.routers[0].callers

	w.accounts = map[string]string{"another-key": "utility"}
	w.configure()
	await(t, "the key taken away is unknown", func() bool { return users.Call(to, w.request("GET", "/look/1")).Status == 401 })
	next := w.request("GET", "/look/2")
	next.Key = "another-key"
	is.Equal(users.Call(to, next).Status, 200)

	w.services[0].Announce("draining")
	await(t, "the leaving backend server gets nothing", func() bool {
		before := len(w.services[0].Runs())
		for range 10 {
			r := w.request("GET", "/look/3")
			r.Key = "another-key"
			is.Equal(users.Call(to, r).Status, 200)
		}
		return len(w.services[0].Runs()) == before
	})
}

// TestPlatformForgottenHistory changes everything while watches see nothing, and
// then forgets the history.
func TestPlatformForgottenHistory(t *testing.T) {
	w := newWorld(t, 1)
	to := w.routers[0].callers
	w.store.Mute(true)
	w.accounts = map[string]string{"another-key": "utility"}
	w.configure()
	w.store.Remove("servers/" + w.services[0].Name)
	w.store.Mute(false)
	await(t, "the new key is known", func() bool {
		r := w.request("GET", "/look/1")
		r.Key = "another-key"
		return users.Call(to, r).Status == 200
	})
	await(t, "the backend server that is gone gets nothing", func() bool {
		before := len(w.services[0].Runs())
		for range 10 {
			r := w.request("GET", "/look/2")
			r.Key = "another-key"
			_ = users.Call(to, r)
		}
		return len(w.services[0].Runs()) == before
	})
}

// TestPlatformBadConfigurationChangesNothing puts bytes into the store that are
// no configuration.
func TestPlatformBadConfigurationChangesNothing(t *testing.T) {
	w := newWorld(t, 1)
	to := w.routers[0].callers
	w.store.Put(users.ConfigurationKey, []byte("{ no configuration"))
	w.store.Remove("servers/" + w.services[0].Name) // seen after it
	time.Sleep(time.Second)
	w.is.Equal(users.Call(to, w.request("GET", "/look/1")).Status, 200)
	w.accounts = map[string]string{"another-key": "utility"}
	w.configure()
	await(t, "the next one is in force", func() bool { return users.Call(to, w.request("GET", "/look/1")).Status == 401 })
}

func TestPlatformPlannedStop(t *testing.T) {
	w := newWorld(t, 2)
	is := w.is
	w.behave(w.engines, users.Behaviour{Events: 300, Gap: 10 * time.Millisecond})
	r := w.request("POST", "/chat/1")
	c, err := users.Dial(w.routers[0].callers)
	is.NoErr(err)
	defer c.Close()
	is.NoErr(c.Send(r))
	answer := make(chan users.Answer, 1)
	go func() { answer <- c.Read() }()
	await(t, "the run", func() bool {
		select {
		case early := <-answer:
			t.Fatalf("answered without a run: %+v", early)
		default:
		}
		return len(w.runsOf(r.ID)) == 1
	})
	is.NoErr(w.routers[0].cmd.Process.Signal(syscall.SIGHUP))
	is.NoErr(w.routers[0].cmd.Process.Signal(syscall.SIGTERM))
	await(t, "it isn't ready any more", func() bool { return !ready(w.routers[0]) })
	late := users.Call(w.routers[0].callers, w.request("GET", "/look/1"))
	is.Equal(late.Status, 200) // callers still come for a while
	is.True(late.Close)
	got := <-answer
	is.NoErr(got.Err)
	is.Equal(got.Body, whole(300))
	is.NoErr(<-w.routers[0].exited)
	is.Equal(len(w.store.Keys("tamarindstep/routers/")), 1) // it has left the list
}

// TestPlatformPeerKeySurvivesLostAnswers loses the answers to the swap that makes
// the peer key and to the write that lists the first router, and then turns that
// router away from the store before it has seen the list: the routers must agree
// on the key all the same, and the other one find it.
func TestPlatformPeerKeySurvivesLostAnswers(t *testing.T) {
	w := newWorld(t, 0)
	w.store.LoseAnswers(2)
	w.routers = append(w.routers, w.start(0), w.start(1))
	for _, r := range w.routers {
		w.awaitReady(r)
	}
	w.doors[0].Shut()
	time.Sleep(2 * time.Second)
	w.accounts = map[string]string{"another-key": "utility"}
	w.configure()
	await(t, "one router tells the other", func() bool {
		return users.Call(w.routers[0].callers, w.request("GET", "/look/1")).Status == 401
	})
}

// TestPlatformBurstsTakeFewCalls lets many backend servers announce themselves one
// after the other: the routers that watch must not call the store for each.
func TestPlatformBurstsTakeFewCalls(t *testing.T) {
	const burst = 30
	w := newWorld(t, 3)
	time.Sleep(3 * time.Second) // until they have found each other
	before := w.store.Watches()
	for i := range burst {
		w.services = append(w.services, w.backend(fmt.Sprintf("service-more-%d", i), "entries"))
		time.Sleep(5 * time.Millisecond)
	}
	last := w.services[len(w.services)-1]
	await(t, "the last one is known", func() bool {
		_ = users.Call(w.routers[0].callers, w.request("GET", "/look/1"))
		return len(last.Runs()) > 0
	})
	w.is.True(w.store.Watches()-before < burst*4/3) // two routers watch
}

// TestPlatformStaleStartFollows starts a router while the store's stale reads are old: it
// must take the newer configuration, and the end of a backend server, from the others.
func TestPlatformStaleStartFollows(t *testing.T) {
	w := newWorld(t, 2)
	w.store.HoldStaleReads()
	w.services[0].Announce("draining")
	routes := append(slices.Clone(routes), users.Route{
		Name: "new", Path: "/new/", Kind: "safe", Pool: "entries", Attempts: 1, Timeout: time.Second,
	})
	w.version++
	w.store.Put(users.ConfigurationKey, users.Configuration(w.version, routes, w.accounts, w.idle))
	await(t, "the change is in force", func() bool {
		return users.Call(w.routers[0].callers, w.request("GET", "/new/1")).Status == 200
	})
	late := w.start(2)
	w.awaitReady(late)
	await(t, "it is in force at the router that started", func() bool {
		return users.Call(late.callers, w.request("GET", "/new/1")).Status == 200
	})
	before := len(w.services[0].Runs())
	for range 20 {
		w.is.Equal(users.Call(late.callers, w.request("GET", "/look/1")).Status, 200)
	}
	w.is.Equal(len(w.services[0].Runs()), before)
}
