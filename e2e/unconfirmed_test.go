package e2e

import (
	"testing"
	"time"

	"github.com/tamarindstep/tamarindstep/internal/standin/users"
)

// What was seen: a small router with the callers of an account that asked for six times its usual answered 404 for a route that
// had been in force everywhere else for three seconds. It had the change in force eight seconds after it was made.
//
// How it came about: so much pressed on its link and its processor that datagrams of other routers were lost, its call of
// the store wasn't answered in half a second, and a fetch from another router ended after a second with no connection.
//
// Cause: a router that hears of nobody who reaches the store can't know what is in force, and spoke as if it did.
//
// Proof: its log has the store unreached and the fetch failed before the answer, and the change in force after it; the test below
// keeps a router from the store in the same way.

func TestPlatformUnconfirmedRoutersDenyNothing(t *testing.T) {
	p := newPlatform(t, 1)
	to := p.routers[0].callers
	stranger := func(path string) users.Answer {
		r := p.request("GET", path)
		r.Key = "key-of-a-newcomer"
		return users.Call(to, r)
	}
	p.is.Equal(stranger("/look/1").Status, 401)
	p.is.Equal(users.Call(to, p.request("GET", "/new/1")).Status, 404)
	p.storeProxies[0].Shut()
	time.Sleep(3 * time.Second)
	p.accounts["key-of-a-newcomer"] = "newcomer"
	p.configure()
	for _, got := range []users.Answer{stranger("/look/1"), users.Call(to, p.request("GET", "/new/1"))} {
		p.is.Equal(got.Status, 503)
		p.is.True(got.RetryAfter != "")
	}
	p.is.Equal(users.Call(to, p.request("GET", "/look/1")).Status, 200) // it serves on by what it has
	p.storeProxies[0].Open()
	await(t, "the newcomer is served", func() bool { return stranger("/look/1").Status == 200 })
	await(t, "what isn't there is denied", func() bool { return users.Call(to, p.request("GET", "/new/1")).Status == 404 })
}
