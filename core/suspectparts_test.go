package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/policy"
	"github.com/tamarindstep/tamarindstep/policy/fleetfair"
	"github.com/tamarindstep/tamarindstep/policy/promptaffinity"
	"github.com/tamarindstep/tamarindstep/wire"
)

const (
	suspectPart = 0xbad
	hotPart     = 0xa0
)

// partsPool is the pool of the requests with the part.
var partsPool = model.Pool(assistant)

// promptWith returns a prompt with shared parts, and a last part that no other prompt has.
func promptWith(shared ...uint64) model.Prompt {
	out := model.Prompt{Tokens: 100, MaxOutput: 10}
	for _, id := range append(shared, 0xffff) {
		out.Parts = append(out.Parts, model.Part{ID: id, Tokens: 50})
	}
	return out
}

// endUnderPart is an end of a backend server under one of many requests with the suspect part.
func endUnderPart(n int) ServerEnded {
	return ServerEnded{
		Fingerprint: model.Fingerprint(1000 + n), Account: 7, Pool: partsPool, Shared: promptWith(suspectPart).Shared(),
		Backend: model.Backend(fmt.Sprint("run-", n)), RunTime: 80 * time.Millisecond,
	}
}

// arriveWith is a request for the pool, with shared parts of its prompt.
func arriveWith(id RequestID, shared ...uint64) Arrive {
	return Arrive{ID: id, Account: 7, Pool: partsPool, Prompt: promptWith(shared...), Wait: time.Minute}
}

// holdsPart reports whether a router holds the suspect part back.
func holdsPart(c *Core) bool {
	return c.suspicions.held[model.PromptPart{Pool: partsPool, ID: suspectPart}.Fingerprint()]
}

// TestPartEndsSeenAtSeveralRoutersAddUp makes three routers see one end each, under requests of which no two are alike: all
// others must hold the part back in time.
func TestPartEndsSeenAtSeveralRoutersAddUp(t *testing.T) {
	t.Parallel()
	for _, routers := range []int{3, 9, 59, 295} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			is := is.New(t)
			f := loadedFleet(routers, 60_000)
			for n, seenBy := range []int{0, routers / 2, routers - 1} {
				f.step(f.routers[seenBy], endUnderPart(n))
				f.runUntil(f.time.Now() + time.Second)
			}
			for _, n := range f.routers {
				is.True(holdsPart(n.core))
			}
		})
	}
}

// TestRestartedRoutersRestoreHeldPart guards against the loss of a held-back part when all routers restart.
func TestRestartedRoutersRestoreHeldPart(t *testing.T) {
	is := is.New(t)
	before := newStoringRouter()
	for n := range 3 {
		before.step(time.Duration(n+1)*time.Second, endUnderPart(n))
	}
	is.Equal(before.stored.Part, uint64(suspectPart))
	after := newStoringRouter()
	after.step(time.Second, HeldRequestsLoaded{Suspicions: []*wire.Suspicion{before.stored}})
	refused, _ := after.step(2*time.Second, arriveWith(1, hotPart, suspectPart))
	is.True(refused != nil && refused.Reason == HeldPart && refused.RetryAfter > time.Second)
	refused, _ = after.step(2*time.Second, Arrive{ID: 2, Account: 7, Pool: partsPool + 1, Prompt: promptWith(suspectPart)})
	is.True(refused == nil || refused.Reason != HeldPart) // another pool
}

// TestOldRoutersIgnoreParts checks that what is told of a part names no request that a router could hold back.
func TestOldRoutersIgnoreParts(t *testing.T) {
	is := is.New(t)
	_, ok := decodeSuspicion(time.Minute, &wire.Suspicion{Fingerprint: uint64(suspectRequest), Pool: uint32(partsPool), Part: suspectPart})
	is.True(!ok) // the fingerprint of a part is derived from it
}

// TestPartHeldWhileRequestsWait guards against sending requests that waited in a queue while a part of their prompts came to
// be held back.
func TestPartHeldWhileRequestsWait(t *testing.T) {
	for _, p := range []*policy.Policy{fleetfair.Policy, promptaffinity.Policy} {
		t.Run(p.Name, func(t *testing.T) {
			is := is.New(t)
			config := oneServerConfig(p)
			if p.ByPrompt != nil {
				config.Pools[partsPool] = Pool{Name: assistant, FollowLoad: true} // an engine would get them all, and let them wait
			}
			f := newFleet(1, config, []string{"a"})
			f.runUntil(5 * time.Second)
			sent := 0
			f.dispatched = func(*job) { sent++ }
			jobs := f.submitSuspects(f.routers[0], 40)
			is.True(sent > 0 && sent < len(jobs)) // some wait
			for n := range 3 {
				f.step(f.routers[0], endUnderPart(n))
				f.runUntil(f.time.Now() + 130*time.Millisecond)
			}
			is.True(holdsPart(f.routers[0].core))
			before := sent
			for _, j := range jobs {
				if j.running {
					f.step(f.routers[0], Finish{ID: j.id, Ending: Broken}) // makes room
				}
			}
			f.runUntil(f.time.Now() + 30*time.Second)
			is.Equal(sent, before)
			is.True(refusals(jobs)[HeldPart] > 0)
		})
	}
}

// endless is an output that takes longer than the test.
const endless = 1_000_000

// submitSuspects submits requests with the suspect part.
func (f *fleet) submitSuspects(n *testRouter, requests int) []*job {
	var out []*job
	for range requests {
		f.nextID++
		e := arriveWith(f.nextID, hotPart, suspectPart)
		e.Account, e.Objective, e.Prompt.Tokens = model.Account(accountNames(1)[0]), 4*time.Second, 10_000
		j := &job{id: e.ID, account: e.Account, pool: e.Pool, output: endless, node: n, arrived: f.time.Now()}
		f.jobs[j.id] = j
		out = append(out, j)
		f.step(n, e)
	}
	return out
}

// oneServerConfig is a configuration with one backend server.
func oneServerConfig(p *policy.Policy) *Config {
	config := nineRouterConfig(p)
	clear(config.Backends)
	config.Backends[model.Backend("runner-1")] = Backend{Name: "runner-1", Pool: partsPool, DataHall: "a", Slots: 2}
	return config
}

// TestErrorsExonerateNoPart guards against letting go a part of prompts because a backend server failed before it began to
// answer one.
func TestErrorsExonerateNoPart(t *testing.T) {
	is := is.New(t)
	r := newStoringRouter()
	for n := range 3 {
		r.step(time.Duration(n+1)*time.Second, endUnderPart(n))
	}
	identity := suspectIdentityOf(arriveWith(1, suspectPart))
	r.core.recordProof(Finish{ID: 1, Ending: Inconclusive}, identity)
	r.core.recordProof(Finish{ID: 1, Ending: Failed}, identity)
	is.True(r.core.suspicions.tracker.HoldsAny())
	r.core.recordProof(Finish{ID: 1, Ending: Done}, identity)
	is.True(!r.core.suspicions.tracker.HoldsAny())
}

// refusals counts the reasons for which requests were refused, "" for none.
func refusals(jobs []*job) map[Refusal]int {
	out := map[Refusal]int{}
	for _, j := range jobs {
		out[j.refused]++
	}
	return out
}
