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
	p := newPlatform(t, 1)
	is := p.is
	p.behave(p.engines, users.Behaviour{Events: 5, Gap: time.Millisecond})
	to := p.routers[0].callers

	stream := p.request("POST", "/chat/7?x=1")
	got := users.Call(to, stream)
	is.NoErr(got.Err)
	is.Equal(got.Status, 200)
	is.Equal(got.ID, stream.ID)
	is.Equal(got.Body, completeStream(5))
	run := p.runsOf(stream.ID)[0]
	is.Equal(run.Path, "/chat/7?x=1")
	is.Equal(run.Body, "the body")
	is.Equal(run.Account, "league") // not the forged account
	is.Equal(run.Key, "")
	is.True(run.TimeLeft > 0 && run.TimeLeft <= 10000)

	for _, r := range []users.Request{p.request("POST", "/claim/1"), p.request("GET", "/look/1")} {
		r.Chunked = r.Method == "POST"
		got := users.Call(to, r)
		is.NoErr(got.Err)
		is.Equal(got.Status, 200)
		is.Equal(got.Body, "the whole answer")
		is.True(strings.HasPrefix(got.Seal, "seal-service-run-"))
		is.Equal(len(p.runsOf(r.ID)), 1)
	}
	unknown := p.request("GET", "/nowhere/")
	is.Equal(users.Call(to, unknown).Status, 404)
	stranger := p.request("GET", "/look/1")
	stranger.Key = "no-such-key"
	is.Equal(users.Call(to, stranger).Status, 401)
}

func TestPlatformAnswersAreWholeOrBroken(t *testing.T) {
	p := newPlatform(t, 1)
	is := p.is
	to := p.routers[0].callers
	unframed := p.request("POST", "/claim/1")
	p.behave(p.services, users.Behaviour{NoLength: true})
	got := users.Call(to, unframed)
	is.Equal(got.Status, 200)
	is.Equal(got.Body, "the whole answer")

	p.behave(p.services, users.Behaviour{NoLength: true, Reset: true})
	is.Equal(users.Call(to, p.request("POST", "/claim/2")).Status, 502)

	p.behave(p.services, users.Behaviour{OmitRequestID: true})
	is.Equal(users.Call(to, p.request("POST", "/claim/3")).Status, 502)

	p.behave(p.services, users.Behaviour{Status: 503}) // from a router this status means: not run
	is.Equal(users.Call(to, p.request("POST", "/claim/4")).Status, 502)

	p.behave(p.engines, users.Behaviour{Events: 5, AbortAfter: 3, AbortWithinEvent: true})
	broken := users.Call(to, p.request("POST", "/chat/1"))
	is.Equal(broken.Status, 200)
	is.True(broken.Err != nil) // visibly broken
}

func TestPlatformSurplusAnswersReachNobody(t *testing.T) {
	p := newPlatform(t, 1)
	p.behave(p.services, users.Behaviour{ExtraAnswer: true})
	for range 20 {
		r := p.request("POST", "/claim/1")
		got := users.Call(p.routers[0].callers, r)
		p.is.Equal(got.Status, 200)
		p.is.Equal(got.ID, r.ID)
		p.is.Equal(got.Body, "the whole answer")
	}
}

func TestPlatformAtMostOnce(t *testing.T) {
	p := newPlatform(t, 1)
	is := p.is
	to := p.routers[0].callers
	p.behave(p.services, users.Behaviour{Drop: true})
	once := p.request("POST", "/claim/1")
	is.Equal(users.Call(to, once).Status, 502) // not 503, as it has run
	is.Equal(len(p.runsOf(once.ID)), 1)
	again := p.request("GET", "/look/1")
	is.Equal(users.Call(to, again).Status, 502)
	is.Equal(len(p.runsOf(again.ID)), 2) // as many attempts as its route allows

	p.behave(p.services, users.Behaviour{Reject: true})
	refused := p.request("POST", "/claim/2")
	got := users.Call(to, refused)
	is.Equal(got.Status, 503)
	is.True(got.RetryAfter != "")
	is.Equal(len(p.runsOf(refused.ID)), 0)

	p.services[0].SetBehaviour(users.Behaviour{})
	await(t, "a request that may be retried is served", func() bool {
		return users.Call(to, p.request("GET", "/look/2")).Status == 200
	})
}

func TestPlatformStreamIsContinued(t *testing.T) {
	p := newPlatform(t, 1)
	p.engines[0].SetBehaviour(users.Behaviour{Events: 6, AbortAfter: 3, AbortWithinEvent: true})
	p.engines[1].SetBehaviour(users.Behaviour{Events: 6, AbortAfter: 3, AbortWithinEvent: true})
	r := p.request("POST", "/review/1")
	c, err := users.Dial(p.routers[0].callers)
	p.is.NoErr(err)
	defer c.Close()
	p.is.NoErr(c.Send(r))
	await(t, "the first run", func() bool { return len(p.runsOf(r.ID)) > 0 })
	got := c.Read()
	runs := p.runsOf(r.ID)
	p.is.Equal(len(runs), 2)
	p.is.Equal(runs[0].LastEvent+runs[1].LastEvent, "3") // the second run continues after the third event
	p.is.True(got.Err != nil)                            // it breaks off as well, after event 3 of its own
	p.is.True(strings.HasPrefix(completeStream(6), got.Body))
}

func TestPlatformEarlyAnswersDoNotAffectOthers(t *testing.T) {
	p := newPlatform(t, 1)
	p.behave(p.services, users.Behaviour{AnswerBeforeBody: true})
	long := p.request("POST", "/claim/1")
	long.Body = strings.Repeat("long", 50_000)
	got := users.Call(p.routers[0].callers, long)
	p.is.Equal(got.Status, 503)
	p.behave(p.services, users.Behaviour{})
	for range 5 {
		r := p.request("POST", "/claim/2")
		p.is.Equal(users.Call(p.routers[0].callers, r).Status, 200)
		p.is.Equal(p.runsOf(r.ID)[0].Body, "the body")
	}
}

func TestPlatformSmuggledRequestsAreRefused(t *testing.T) {
	p := newPlatform(t, 1)
	smuggled := "POST /claim/1 HTTP/1.1\r\nHost: " + users.Host + "\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /look/1 HTTP/1.1\r\n\r\n"
	c, err := users.Dial(p.routers[0].callers)
	p.is.NoErr(err)
	defer c.Close()
	p.is.NoErr(c.Write(smuggled))
	p.is.Equal(c.Read().Status, 400)
	p.is.True(c.Read().Err != nil) // the connection is closed
	for _, b := range p.services {
		p.is.Equal(len(b.Runs()), 0)
	}
}

func TestPlatformCallerDisconnects(t *testing.T) {
	p := newPlatform(t, 1)
	p.behave(p.engines, users.Behaviour{Events: 100000, Gap: 5 * time.Millisecond})
	r := p.request("POST", "/chat/1")
	c, err := users.Dial(p.routers[0].callers)
	p.is.NoErr(err)
	p.is.NoErr(c.Send(r))
	await(t, "the run", func() bool { return len(p.runsOf(r.ID)) == 1 })
	c.Close()
	await(t, "the backend server notices the cancellation", func() bool { return p.runsOf(r.ID)[0].Disconnected })
}

// TestPlatformSilentServerIsReplaced guards against requests that wait for an unresponsive backend server until their time
// limit: one of two servers doesn't answer, and a request that may be repeated is answered by the other in time.
func TestPlatformSilentServerIsReplaced(t *testing.T) {
	p := newPlatform(t, 1)
	p.services[0].SetBehaviour(users.Behaviour{Gap: time.Minute})
	for range 6 {
		r := p.request("GET", "/look/1")
		began := time.Now()
		got := users.Call(p.routers[0].callers, r)
		p.is.Equal(got.Status, 200)
		p.is.True(time.Since(began) < 10*time.Second) // the caller's time limit
	}
}

func TestPlatformRouteTimeoutIsEnforced(t *testing.T) {
	p := newPlatform(t, 1)
	p.behave(p.services, users.Behaviour{Gap: time.Minute})
	began := time.Now()
	got := users.Call(p.routers[0].callers, p.request("GET", "/look/short/1"))
	p.is.Equal(got.Status, 504)
	p.is.True(time.Since(began) >= time.Second) // not before its route's timeout
	var calls sync.WaitGroup
	statuses := make([]int, 200)
	for i := range statuses {
		r := p.request("GET", "/look/short/1")
		calls.Go(func() { statuses[i] = users.Call(p.routers[0].callers, r).Status })
	}
	calls.Wait()
	for _, status := range statuses {
		p.is.True(status == 504 || status == 503) // not 502, as nothing broke off
	}
}

// TestPlatformRouterWithoutStoreFollows guards against an outdated router: one that can't reach the store must receive
// changes of the configuration and of backend servers through the other routers.
func TestPlatformRouterWithoutStoreFollows(t *testing.T) {
	p := newPlatform(t, 3)
	is := p.is
	await(t, "all routers are listed", func() bool { return len(p.store.Keys("tamarindstep/routers/")) == 3 })
	time.Sleep(2 * time.Second) // until the routers have discovered each other
	p.storeProxies[0].Disable()
	to := p.routers[0].callers

	p.accounts = map[string]string{"another-key": "utility"}
	p.configure()
	await(t, "the removed key is unknown", func() bool { return users.Call(to, p.request("GET", "/look/1")).Status == 401 })
	next := p.request("GET", "/look/2")
	next.Key = "another-key"
	is.Equal(users.Call(to, next).Status, 200)

	p.services[0].Announce("draining")
	await(t, "the draining backend server gets nothing", func() bool {
		before := len(p.services[0].Runs())
		for range 10 {
			r := p.request("GET", "/look/3")
			r.Key = "another-key"
			is.Equal(users.Call(to, r).Status, 200)
		}
		return len(p.services[0].Runs()) == before
	})
}

// TestPlatformCompactedHistory guards against changes that are missed because watches got no events and the store then
// compacted its history.
func TestPlatformCompactedHistory(t *testing.T) {
	p := newPlatform(t, 1)
	to := p.routers[0].callers
	p.store.SuspendWatches(true)
	p.accounts = map[string]string{"another-key": "utility"}
	p.configure()
	p.store.Remove("servers/" + p.services[0].Name)
	p.store.SuspendWatches(false)
	await(t, "the new key is known", func() bool {
		r := p.request("GET", "/look/1")
		r.Key = "another-key"
		return users.Call(to, r).Status == 200
	})
	await(t, "the removed backend server gets nothing", func() bool {
		before := len(p.services[0].Runs())
		for range 10 {
			r := p.request("GET", "/look/2")
			r.Key = "another-key"
			_ = users.Call(to, r)
		}
		return len(p.services[0].Runs()) == before
	})
}

// TestPlatformBadConfigurationChangesNothing guards against bytes in the store that can't be decoded as a configuration:
// the previous one stays in force, and the next valid one is applied.
func TestPlatformBadConfigurationChangesNothing(t *testing.T) {
	p := newPlatform(t, 1)
	to := p.routers[0].callers
	p.store.Put(users.ConfigurationKey, []byte("{ no configuration"))
	p.store.Remove("servers/" + p.services[0].Name) // is seen after the configuration
	time.Sleep(time.Second)
	p.is.Equal(users.Call(to, p.request("GET", "/look/1")).Status, 200)
	p.accounts = map[string]string{"another-key": "utility"}
	p.configure()
	await(t, "the next configuration is in force", func() bool { return users.Call(to, p.request("GET", "/look/1")).Status == 401 })
}

// TestPlatformAccountsOfOneHashKeepTheirNames guards against requests that reach their backend server with another client
// account's name: tenant-01316 and tenant-84576 have one hash. The second one is added by a later version.
func TestPlatformAccountsOfOneHashKeepTheirNames(t *testing.T) {
	p := newPlatform(t, 2)
	p.accounts = map[string]string{"first-key": "tenant-01316"}
	p.configure()
	get := func(to *router, key string) (status int, account string) {
		r := p.request("GET", "/look/1")
		r.Key = key
		status = users.Call(to.callers, r).Status
		if runs := p.runsOf(r.ID); len(runs) == 1 {
			account = runs[0].Account
		}
		return status, account
	}
	served := func(key string) func() bool {
		return func() bool {
			first, _ := get(p.routers[0], key)
			second, _ := get(p.routers[1], key)
			return first == 200 && second == 200
		}
	}
	await(t, "the first account is served", served("first-key"))
	p.accounts["second-key"] = "tenant-84576"
	p.configure()
	await(t, "the second account is served", served("second-key"))
	for i := range 20 {
		for key, name := range p.accounts {
			status, account := get(p.routers[i%2], key)
			p.is.Equal(status, 200)
			p.is.Equal(account, name)
		}
	}
}

// TestPlatformServersOfOneHashBothServe guards against a backend server that takes the place of another, of which requests for
// one service reach the other's, or an answer breaks off: tenant-01316 and tenant-84576 have one hash. The second one starts
// while the first one runs a request.
func TestPlatformServersOfOneHashBothServe(t *testing.T) {
	t.Parallel()
	p := newPlatform(t, 2)
	first := p.backend("tenant-01316", "engines")
	for _, b := range append(append([]*users.Backend{}, p.engines...), p.services...) {
		p.store.Remove("servers/" + b.Name)
	}
	first.SetBehaviour(users.Behaviour{Events: 200, Gap: 20 * time.Millisecond})
	runsOn := func(b *users.Backend, to *router, method, path string) func() bool {
		return func() bool {
			before := len(b.Runs())
			answer := users.Call(to.callers, p.request(method, path))
			return answer.Err == nil && answer.Status == 200 && len(b.Runs()) == before+1
		}
	}
	await(t, "the first one alone serves the engines' pool", runsOn(first, p.routers[0], "POST", "/chat/1"))
	c, err := users.Dial(p.routers[0].callers)
	p.is.NoErr(err)
	defer c.Close()
	running := len(first.Runs())
	p.is.NoErr(c.Send(p.request("POST", "/chat/1")))
	await(t, "the run", func() bool { return len(first.Runs()) > running })
	second := p.backend("tenant-84576", "entries")
	for _, r := range p.routers {
		await(t, "the second one serves its pool", runsOn(second, r, "GET", "/look/1"))
	}
	got := c.Read()
	p.is.NoErr(got.Err)
	p.is.Equal(got.Body, completeStream(200))
	first.SetBehaviour(users.Behaviour{Events: 2})
	for i := range 10 {
		p.is.True(runsOn(first, p.routers[i%2], "POST", "/chat/1")())
		p.is.True(runsOn(second, p.routers[i%2], "GET", "/look/1")())
	}
}

func TestPlatformPlannedStop(t *testing.T) {
	p := newPlatform(t, 2)
	is := p.is
	p.behave(p.engines, users.Behaviour{Events: 300, Gap: 10 * time.Millisecond})
	r := p.request("POST", "/chat/1")
	c, err := users.Dial(p.routers[0].callers)
	is.NoErr(err)
	defer c.Close()
	is.NoErr(c.Send(r))
	answer := make(chan users.Answer, 1)
	go func() { answer <- c.Read() }()
	await(t, "the run", func() bool {
		select {
		case early := <-answer:
			t.Fatalf("answer without a run: %+v", early)
		default:
		}
		return len(p.runsOf(r.ID)) == 1
	})
	is.NoErr(p.routers[0].cmd.Process.Signal(syscall.SIGHUP))
	is.NoErr(p.routers[0].cmd.Process.Signal(syscall.SIGTERM))
	await(t, "the router is no longer ready", func() bool { return !isReady(p.routers[0]) })
	late := users.Call(p.routers[0].callers, p.request("GET", "/look/1"))
	is.Equal(late.Status, 200) // a draining router still serves new requests for a while
	is.True(late.Close)
	got := <-answer
	is.NoErr(got.Err)
	is.Equal(got.Body, completeStream(300))
	is.NoErr(<-p.routers[0].exited)
	is.Equal(len(p.store.Keys("tamarindstep/routers/")), 1) // it has removed its entry
}

// TestPlatformPeerKeySurvivesLostAnswers guards against routers with different peer keys. The answers to the swap that
// creates the key and to the write of the first router's entry are lost, and that router is then cut off from the store
// before it has read the list of routers: both must still use one key, and the other router must find the first.
func TestPlatformPeerKeySurvivesLostAnswers(t *testing.T) {
	p := newPlatform(t, 0)
	p.store.LoseAnswers(2)
	p.routers = append(p.routers, p.start(0), p.start(1))
	for _, r := range p.routers {
		p.awaitReady(r)
	}
	p.storeProxies[0].Disable()
	time.Sleep(2 * time.Second)
	p.accounts = map[string]string{"another-key": "utility"}
	p.configure()
	await(t, "the router without the store gets the configuration from the other", func() bool {
		return users.Call(p.routers[0].callers, p.request("GET", "/look/1")).Status == 401
	})
}

// TestPlatformAnnouncementBurstsTakeFewStoreCalls guards against a store call for each change: many backend servers
// announce themselves in short succession, and the routers that watch the store must receive several with one call.
func TestPlatformAnnouncementBurstsTakeFewStoreCalls(t *testing.T) {
	const burst = 30
	p := newPlatform(t, 3)
	time.Sleep(3 * time.Second) // until the routers have discovered each other
	before := p.store.Watches()
	for i := range burst {
		p.services = append(p.services, p.backend(fmt.Sprintf("service-more-%d", i), "entries"))
		time.Sleep(5 * time.Millisecond)
	}
	last := p.services[len(p.services)-1]
	await(t, "the last server is used", func() bool {
		_ = users.Call(p.routers[0].callers, p.request("GET", "/look/1"))
		return len(last.Runs()) > 0
	})
	p.is.True(p.store.Watches()-before < burst*4/3) // two routers watch
}

// TestPlatformStaleReadsAtStart guards against a router that starts with outdated reads of the store: it must receive the
// newer configuration, and the state of a draining backend server, from the other routers.
func TestPlatformStaleReadsAtStart(t *testing.T) {
	p := newPlatform(t, 2)
	p.store.FreezeStaleReads()
	p.services[0].Announce("draining")
	routes := append(slices.Clone(routes), users.Route{
		Name: "new", Path: "/new/", Kind: "safe", Pool: "entries", Attempts: 1, Timeout: time.Second,
	})
	p.version++
	p.store.Put(users.ConfigurationKey, users.Configuration(p.version, routes, p.accounts, p.limits))
	await(t, "the change is in force", func() bool {
		return users.Call(p.routers[0].callers, p.request("GET", "/new/1")).Status == 200
	})
	late := p.start(2)
	p.awaitReady(late)
	await(t, "the change is in force at the new router", func() bool {
		return users.Call(late.callers, p.request("GET", "/new/1")).Status == 200
	})
	before := len(p.services[0].Runs())
	for range 20 {
		p.is.Equal(users.Call(late.callers, p.request("GET", "/look/1")).Status, 200)
	}
	p.is.Equal(len(p.services[0].Runs()), before)
}
