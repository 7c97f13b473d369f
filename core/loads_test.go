package core

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/tamarindstep/tamarindstep/core/prompt"
	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/policy/promptaffinity"
	"github.com/tamarindstep/tamarindstep/wire"
)

// loadedFleet returns a fleet of the given number of routers that decide by prompt and have found each other.
func loadedFleet(routers int, bytesPerSecond float64) *fleet {
	var halls []string
	for i := range routers {
		halls = append(halls, fmt.Sprintf("hall-%d", i%3))
	}
	f := newFleet(1, nineRouterConfig(promptaffinity.Policy), halls)
	for _, n := range f.routers {
		n.core.LimitLoads(bytesPerSecond)
	}
	f.runUntil(10 * time.Second)
	return f
}

// routersWithLoad returns the number of routers at which a request is recorded as running at a backend server.
func (f *fleet) routersWithLoad(id model.BackendID) int {
	out := 0
	for _, n := range f.routers {
		if n.core.prompt.Running(id) > 0 {
			out++
		}
	}
	return out
}

// sendOne makes a router send a request, and returns the backend server that it was sent to.
func (f *fleet) sendOne(n *testRouter) model.BackendID {
	var to model.BackendID
	f.dispatched = func(j *job) { to = j.backend }
	f.submitPrompt(n, model.Account(accountNames(1)[0]), 1000, 1000)
	return to
}

// TestLoadsReachEveryRouterByRelays makes one router of 59 send a request: it must be recorded at all others within two
// exchanges. The router must report it to its relay alone, and nearly every other router must receive it once.
func TestLoadsReachEveryRouterByRelays(t *testing.T) {
	is := is.New(t)
	f := loadedFleet(59, 60_000)
	datagrams, first := 0, 0
	f.modify = func(d *wire.Datagram) *wire.Datagram {
		if slices.ContainsFunc(d.Loads, func(l *wire.Loads) bool { return len(l.Backends) > 0 }) {
			datagrams++
			if d.From == f.routers[20].name {
				first++
			}
		}
		return d
	}
	to := f.sendOne(f.routers[20])
	f.runUntil(f.time.Now() + 2*loadReportInterval + 20*time.Millisecond)
	is.Equal(f.routersWithLoad(to), 59)
	is.Equal(first, 1)
	is.True(datagrams < 59+8) // each of eight relays sends it back to its sender as well
}

// TestAmountsArriveDespiteDeadRouters guards against accounts that exceed their share for seconds after routers have
// failed: it kills the routers through which the ledger's tree leads, and requires that what an account requests right
// after is recorded at the others within two exchanges.
func TestAmountsArriveDespiteDeadRouters(t *testing.T) {
	is := is.New(t)
	f := loadedFleet(59, 60_000)
	account := model.Account(accountNames(1)[0])
	f.sendOne(f.routers[20])
	f.runUntil(f.time.Now() + time.Second)
	for _, m := range f.routers[20].core.members.Running()[:3] {
		if m.Name != f.routers[20].name {
			f.kill(f.byName[m.Name])
		}
	}
	before := f.routers[20].core.prompt.Usage(account).Requested
	for range 20 {
		f.sendOne(f.routers[20])
	}
	asked := f.routers[20].core.prompt.Usage(account).Requested
	is.True(asked > before)
	f.runUntil(f.time.Now() + 2*loadReportInterval + 20*time.Millisecond)
	current := 0
	for _, n := range f.routers {
		if !n.down && n.core.prompt.Usage(account).Requested > 0.9*asked {
			current++
		}
	}
	is.True(current > 40) // all but those to which the failed routers should have forwarded it
}

// TestRefusedUnreadCountsAsRequested refuses requests before the core receives them. They must count as asked at the other
// routers as well: the account would otherwise appear to need no more than it gets, and the shares of the others would
// be computed without it.
func TestRefusedUnreadCountsAsRequested(t *testing.T) {
	is := is.New(t)
	f := loadedFleet(9, 60_000)
	account := model.Account(accountNames(1)[0])
	refused := RefusedUnread{Requests: []UnreadRequest{{Account: account, Pool: model.Pool(assistant), Prompt: model.Prompt{Tokens: 1000, Hint: 100}}}}
	for range 50 {
		f.step(f.routers[3], refused)
	}
	f.runUntil(f.time.Now() + 2*loadReportInterval + 20*time.Millisecond)
	for _, n := range f.routers {
		is.Equal(n.core.prompt.Usage(account), prompt.Usage{Requested: 50 * 1200})
		is.True(n.core.prompt.Idle())
	}
}

// TestLostLoadReportIsRepeated loses all load messages for a while: the repeated report must make up for them.
func TestLostLoadReportIsRepeated(t *testing.T) {
	is := is.New(t)
	f := loadedFleet(9, 60_000)
	f.modify = func(d *wire.Datagram) *wire.Datagram {
		d.Loads = nil
		return d
	}
	to := f.sendOne(f.routers[4])
	f.runUntil(f.time.Now() + 300*time.Millisecond)
	is.Equal(f.routersWithLoad(to), 1)
	f.modify = nil
	f.runUntil(f.time.Now() + loadReportRepeat)
	is.Equal(f.routersWithLoad(to), 9)
}

// TestLoadReportsStayWithinByteRate makes each of 40 routers send often: what a router receives from its relay must
// stay within the byte rate allowed, and make use of it.
func TestLoadReportsStayWithinByteRate(t *testing.T) {
	const allowed = 9000
	is := is.New(t)
	f := loadedFleet(40, allowed)
	received := map[string]float64{}
	f.modify = func(d *wire.Datagram) *wire.Datagram {
		if len(d.Loads) > 0 && f.byName[d.To].core.loads.link.relay == d.From {
			received[d.To] += datagramOverhead + float64(sizeOf(d.Loads))
		}
		return d
	}
	const seconds = 10
	begin := f.time.Now()
	for i := range seconds * 200 {
		f.runUntil(begin + time.Duration(i)*5*time.Millisecond)
		f.submitPrompt(f.routers[i%len(f.routers)], model.Account(accountNames(1)[0]), 1000, 20)
	}
	is.Equal(len(received), 40-6) // all but the relays
	for _, bytes := range received {
		is.True(bytes > allowed*seconds/3)
		is.True(bytes < allowed*seconds*1.5) // one exchange may exceed the limit
	}
}

// TestDeadRelayIsReplacedWithinFewExchanges kills the relay of a router, which then sends a request. It must be
// recorded at all live routers, and their requests at this one, long before failure detection reports the death.
func TestDeadRelayIsReplacedWithinFewExchanges(t *testing.T) {
	is := is.New(t)
	f := loadedFleet(59, 60_000)
	served := f.routers[20]
	f.sendOne(served)
	f.runUntil(f.time.Now() + time.Second)
	dead := f.byName[served.core.loads.link.relay]
	f.kill(dead)
	to := f.sendOne(served)
	f.runUntil(f.time.Now() + confirmTimeout + 2*loadReportInterval)
	is.Equal(f.routersWithLoad(to), 59)
	is.True(served.core.loads.link.relay != dead.name)
	other := f.sendOne(f.routers[40])
	f.runUntil(f.time.Now() + 3*loadReportInterval)
	is.True(served.core.prompt.Running(other) > 0)
}

// TestIdleRouterDetectsDeadRelay kills a relay while a router that it serves has nothing to report: this router must
// receive the others' loads again soon.
func TestIdleRouterDetectsDeadRelay(t *testing.T) {
	is := is.New(t)
	f := loadedFleet(59, 60_000)
	served := f.routers[20]
	dead := f.byName[served.core.loads.link.relay]
	f.kill(dead)
	f.runUntil(f.time.Now() + relayIdleTimeout + confirmTimeout + loadReportInterval)
	other := f.sendOne(f.routers[40])
	f.runUntil(f.time.Now() + 3*loadReportInterval)
	is.True(served.core.prompt.Running(other) > 0)
}

// TestLoadsConvergeAfterFaults loses datagrams, cuts off a data hall, and pauses and restarts routers at random, relays
// included. After the faults, the load recorded at each router for each backend server must equal the true one: nothing
// may be lost for good or counted twice.
func TestLoadsConvergeAfterFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		f := loadedFleet(rapid.SampledFrom([]int{9, 24, 40}).Draw(t, "routers"), 100_000)
		f.loss = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss")
		for range rapid.IntRange(1, 6).Draw(t, "faults") {
			f.injectDrawnFault(t)
			for range 20 {
				f.sendLong(f.routers[rapid.IntRange(0, len(f.routers)-1).Draw(t, "sender")])
				f.runUntil(f.time.Now() + 25*time.Millisecond)
			}
			f.runUntil(f.time.Now() + time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause"))*time.Millisecond)
		}
		f.runUntil(f.time.Now() + 3*time.Second)
		f.loss = 0
		f.runUntil(f.time.Now() + 30*time.Second)
		for _, n := range f.routers {
			for id, e := range f.engines {
				if got := n.core.prompt.Running(id); got != e.running {
					t.Fatalf("%s records %d requests running at %d, want %d", n.name, got, id, e.running)
				}
			}
		}
	})
}

// injectDrawnFault injects a random fault at a random router.
func (f *fleet) injectDrawnFault(t *rapid.T) {
	n := f.routers[rapid.IntRange(0, len(f.routers)-1).Draw(t, "router")]
	duration := time.Duration(rapid.IntRange(50, 2500).Draw(t, "ms")) * time.Millisecond
	f.injectFault(n, rapid.SampledFrom([]string{"freeze", "restart", "cut"}).Draw(t, "fault"), duration)
}

// injectFault pauses or restarts a router, or cuts off its data hall, for some time.
func (f *fleet) injectFault(n *testRouter, fault string, duration time.Duration) {
	if n.down || n.paused {
		return
	}
	switch fault {
	case "freeze":
		n.paused = true
		f.after(duration, func() { f.resume(n) })
	case "restart":
		f.kill(n)
		f.after(duration, func() { f.start(n) })
	case "cut":
		f.cut = func(a, b *testRouter) bool { return (a.hall == n.hall) != (b.hall == n.hall) }
		f.after(duration, func() { f.cut = nil })
	}
}

// sendLong makes a router send a request that runs until the end of the test.
func (f *fleet) sendLong(n *testRouter) {
	if !n.down && !n.paused {
		f.submitPrompt(n, model.Account(accountNames(1)[0]), 1000, 100_000)
	}
}

// TestSlowRelayIsKept makes confirmations take longer than the interval of load reports: a relay that forwards
// everything, but late, must not count as unresponsive.
func TestSlowRelayIsKept(t *testing.T) {
	is := is.New(t)
	f := loadedFleet(59, 100_000)
	f.delay = 70 * time.Millisecond // to twice as much, each way
	changes := 0
	served := f.routers[20]
	relay := served.core.loads.link.relay
	for range 100 {
		f.sendOne(served)
		f.runUntil(f.time.Now() + 50*time.Millisecond)
		if served.core.loads.link.relay != relay {
			changes++
			relay = served.core.loads.link.relay
		}
	}
	is.Equal(changes, 0)
}

// TestAmountsStayCurrentWithinByteRate guards against recorded amounts that lag seconds behind when far more requests a
// second are reported than the byte rate of a receiver allows. A relay that forwarded each message separately and in
// order built up a growing queue, so that reports were seconds old or lost: accounts with requests at all 295 routers
// got twice the amount recorded for them and weren't limited by their shares, while an account with requests at one
// router fell behind. The routers had recorded 19 M tokens of an account that had begun 37 M in six seconds, and 8 M
// more were recorded within half a second once there were fewer requests.
//
// Here all of 59 routers send often at a low byte rate: two seconds later, nearly all of the account's begun amount
// must be recorded.
func TestAmountsStayCurrentWithinByteRate(t *testing.T) {
	is := is.New(t)
	f := loadedFleet(59, 9000)
	account := model.Account(accountNames(1)[0])
	const tokens, output = 1000, 20
	begun := 0.0
	f.dispatched = func(*job) { begun += tokens + 2*output }
	begin := f.time.Now()
	const requests = 3000
	for i := range requests {
		f.runUntil(begin + time.Duration(i)*2*time.Millisecond)
		f.submitPrompt(f.routers[i%len(f.routers)], account, tokens, output)
	}
	f.runUntil(f.time.Now() + 2*time.Second)
	least := math.Inf(1)
	for _, n := range f.routers {
		least = min(least, n.core.prompt.TotalStarted(account))
	}
	t.Logf("%.0f tokens begun, %.0f recorded at the worst router", begun, least)
	is.True(least > 0.9*begun)
}
