package e2e

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/tamarindstep/tamarindstep/ctl"
	"github.com/tamarindstep/tamarindstep/internal/standin/users"
)

// The data halls. The routers are in hallA, and prefer backend servers there unless it is evacuated.
const (
	hallA = "hall-a"
	hallB = "hall-b"
)

// addSecondHall adds a plain service in another data hall, and returns once every router has sent a request there.
func (p *platform) addSecondHall() {
	b := p.backendIn("service-run-b", "entries", hallB)
	p.services = append(p.services, b)
	p.store.Evacuate(hallA, "{}")
	for _, r := range p.routers {
		await(p.t, "the service in the second hall is used by "+r.name, func() bool {
			before := len(b.Runs())
			_ = users.Call(r.callers, p.request("GET", "/look/1"))
			return len(b.Runs()) > before
		})
	}
	p.store.EndEvacuation(hallA)
	for _, r := range p.routers {
		await(p.t, "the hall is used by "+r.name, func() bool { return p.runsInHallA(r) > 0 })
	}
}

// runsInHallA sends requests for the plain service to a router, and returns how many of them were run by backend
// servers in hallA.
func (p *platform) runsInHallA(r *router) int {
	ran := func() int {
		n := 0
		for _, b := range p.services {
			if b.DataHall == hallA {
				n += len(b.Runs())
			}
		}
		return n
	}
	before := ran()
	for range 20 {
		p.is.Equal(users.Call(r.callers, p.request("GET", "/look/1")).Status, 200)
	}
	return ran() - before
}

// TestPlatformEvacuatedHallGetsNothing guards against requests to an evacuated data hall from a router that can't reach
// the store, or from one that starts with stale reads of it. The evacuation ends for both as well.
func TestPlatformEvacuatedHallGetsNothing(t *testing.T) {
	t.Parallel()
	p := newPlatform(t, 3)
	p.addSecondHall()
	await(t, "all routers are listed", func() bool { return len(p.store.Keys("tamarindstep/routers/")) == 3 })
	for _, r := range p.routers {
		p.is.True(p.runsInHallA(r) > 0)
	}
	time.Sleep(2 * time.Second) // until the routers have discovered each other
	p.storeProxies[0].Disable()
	p.store.FreezeStaleReads()
	p.store.Evacuate(hallA, "{}")
	for _, r := range p.routers {
		await(t, "the hall gets nothing from "+r.name, func() bool { return p.runsInHallA(r) == 0 })
	}
	late := p.start(3)
	p.awaitReady(late)
	await(t, "the hall gets nothing from a router that started", func() bool { return p.runsInHallA(late) == 0 })
	p.store.EndEvacuation(hallA)
	for _, r := range append(p.routers, late) {
		await(t, "the hall is used again by "+r.name, func() bool { return p.runsInHallA(r) > 0 })
	}
}

// TestPlatformEvacuationOfEveryHall guards against requests that wait in vain when all data halls are evacuated: they are
// refused at once. Evacuations of unknown halls have no effect, and values that can't be decoded don't matter.
func TestPlatformEvacuationOfEveryHall(t *testing.T) {
	p := newPlatform(t, 1)
	is := p.is
	to := p.routers[0].callers
	p.store.Evacuate("hall-x", "\x00no value")
	p.store.Evacuate("", "{}")
	is.True(p.runsInHallA(p.routers[0]) > 0) // the evacuations have no effect
	p.store.Evacuate(hallA, "\x00no value")
	await(t, "requests are refused", func() bool { return users.Call(to, p.request("GET", "/look/1")).Status == 503 })
	for _, r := range []users.Request{p.request("GET", "/look/2"), p.request("POST", "/claim/2"), p.request("POST", "/chat/2")} {
		began := time.Now()
		got := users.Call(to, r)
		is.Equal(got.Status, 503)
		is.True(time.Since(began) < time.Second) // at once, not when its time limit expires
		is.Equal(len(p.runsOf(r.ID)), 0)
	}
	p.store.EndEvacuation(hallA)
	await(t, "requests are served", func() bool { return users.Call(to, p.request("GET", "/look/1")).Status == 200 })
}

// TestPlatformEvacuationsInSeries guards against missed changes: a hall is evacuated repeatedly for short times, while
// watches get no events and the store compacts its history.
func TestPlatformEvacuationsInSeries(t *testing.T) {
	p := newPlatform(t, 2)
	p.addSecondHall()
	for range 3 {
		p.store.SuspendWatches(true)
		p.store.Evacuate(hallA, "{}")
		p.store.EndEvacuation(hallA)
		p.store.Evacuate(hallA, "{}")
		p.store.SuspendWatches(false)
		for _, r := range p.routers {
			await(t, "the hall gets nothing", func() bool { return p.runsInHallA(r) == 0 })
		}
		p.store.EndEvacuation(hallA)
		p.store.Evacuate(hallA, "{}")
		p.store.EndEvacuation(hallA)
		for _, r := range p.routers {
			await(t, "the hall is used again", func() bool { return p.runsInHallA(r) > 0 })
		}
	}
}

// TestEvacuateByCommandLine evacuates a data hall by the command line and takes it back, with the product's own
// interface; the engine there gets no new request, and no request fails.
func TestEvacuateByCommandLine(t *testing.T) {
	f := newFleet(t, 3)
	is := check(t)
	from := f.routers[1]
	code, out := f.ctl(f.routers[0], "evacuate", halls[0])
	is.Equal(code, 0)
	f.await("the evacuation is in force: "+out, func() bool {
		for _, r := range f.status(from).Routers {
			if r.Generation < 2 {
				return false
			}
		}
		return slices.Equal(f.status(from).Evacuated, []string{halls[0]})
	})
	before := len(f.engines[0].Runs())
	for i := range 20 {
		id := fmt.Sprintf("evacuated-%d", i)
		events, err := f.stream(f.routers[i%3], id, 5)
		is.NoErr(checkStream(id, 5, events, err))
	}
	is.Equal(len(f.engines[0].Runs()), before)
	code, _ = f.ctl(from, "evacuate", halls[0])
	is.Equal(code, ctl.ExitUsage) // it is evacuated already
	code, _ = f.ctl(from, "evacuate", "--back", halls[0])
	is.Equal(code, 0)
	f.await("the hall is taken back", func() bool { return len(f.status(from).Evacuated) == 0 })
}
