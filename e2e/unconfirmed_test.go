package e2e

import (
	"testing"
	"time"

	"github.com/tamarindstep/tamarindstep/internal/standin/users"
)

// TestPlatformUnconfirmedRoutersDenyNothing guards against a router that answers 404 or 401 by an outdated configuration.
// A small router overloaded with six times an account's usual requests lost datagrams from other routers, its store call
// wasn't answered within half a second, and its fetch from another router failed after a second. It answered 404 for a
// route that had been in force elsewhere for three seconds, and applied the change eight seconds after it was made. While a
// router can't confirm the configuration, it must answer 503 instead. The test cuts the router off from the store.
func TestPlatformUnconfirmedRoutersDenyNothing(t *testing.T) {
	p := newPlatform(t, 1)
	to := p.routers[0].callers
	callWithNewKey := func(path string) users.Answer {
		r := p.request("GET", path)
		r.Key = "key-of-a-newcomer"
		return users.Call(to, r)
	}
	p.is.Equal(callWithNewKey("/look/1").Status, 401)
	p.is.Equal(users.Call(to, p.request("GET", "/new/1")).Status, 404)
	p.storeProxies[0].Disable()
	time.Sleep(3 * time.Second)
	p.accounts["key-of-a-newcomer"] = "newcomer"
	p.configure()
	for _, got := range []users.Answer{callWithNewKey("/look/1"), users.Call(to, p.request("GET", "/new/1"))} {
		p.is.Equal(got.Status, 503)
		p.is.True(got.RetryAfter != "")
	}
	p.is.Equal(users.Call(to, p.request("GET", "/look/1")).Status, 200) // known routes and keys are still served
	p.storeProxies[0].Enable()
	await(t, "the new key is served", func() bool { return callWithNewKey("/look/1").Status == 200 })
	await(t, "the unknown route is answered with 404", func() bool { return users.Call(to, p.request("GET", "/new/1")).Status == 404 })
}
