package core

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/tamarindstep/tamarindstep/core/member"
	"github.com/tamarindstep/tamarindstep/core/relay"
	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/wire"
)

// unequalFleet returns a fleet of 40 routers, one of which in each data hall has a larger share of a processor.
func unequalFleet() *fleet {
	f := loadedFleet(40, 100_000)
	for i, n := range f.routers {
		n.processor = 0.192
		if i < 3 {
			n.processor = 0.8
		}
		f.kill(n)
	}
	for _, n := range f.routers {
		f.start(n)
	}
	return f
}

// stalePairs returns the pairs of a live router and another one whose last report it received before the given time.
func (f *fleet) stalePairs(since model.Time) map[[2]string]bool {
	out := map[[2]string]bool{}
	for _, n := range f.routers {
		for _, o := range f.routers {
			if n != o && !n.down && !o.down && n.core.prompt.LastContact(o.name).At < since {
				out[[2]string{n.name, o.name}] = true
			}
		}
	}
	return out
}

// sendFromAll makes each router send a request.
func (f *fleet) sendFromAll() {
	for _, n := range f.routers {
		f.sendLong(n)
	}
}

// deliveryBound is the maximum time until a report has reached every router: the report interval, the forward intervals
// of two relays, and the network delays.
const deliveryBound = loadReportInterval + 2*forwardInterval + 10*time.Millisecond

// TestReportsOfOnceSuspectRoutersArrive guards against routers that never receive the reports of some others: routers
// that had been suspect ranked higher among the relays at the routers that had received the suspicion than at the
// others.
func TestReportsOfOnceSuspectRoutersArrive(t *testing.T) {
	is := is.New(t)
	f := unequalFleet()
	f.runUntil(f.time.Now() + time.Second)
	for i := 10; i < 20; i++ {
		f.injectFault(f.routers[i], "freeze", 1500*time.Millisecond)
	}
	f.runUntil(f.time.Now() + 15*time.Second)
	for _, n := range f.routers {
		is.Equal(n.core.Live(), len(f.routers))
	}
	before := f.time.Now()
	f.sendFromAll()
	f.runUntil(before + deliveryBound)
	is.Equal(len(f.stalePairs(before)), 0)
}

// nextRelay returns a router that would be a relay of the data hall if some others were missing.
func (f *fleet) nextRelay(hall string, without []string) *testRouter {
	var left []relay.Router
	for _, n := range f.routers {
		if !slices.Contains(without, n.name) {
			left = append(left, relay.Router{Name: n.name, DataHall: n.hall, Processor: float32(n.processor)})
		}
	}
	at := slices.IndexFunc(f.routers, func(n *testRouter) bool {
		return n.hall == hall && !slices.Contains(without, n.name) && relay.PlanFor(n.name, left).Relay == ""
	})
	return f.routers[at]
}

// TestReportsArriveWhenRelayPlansDiffer guards against missing reports while the views of the members differ: a router
// that is a relay by its own plan only, and those that it serves, must send and receive all reports.
func TestReportsArriveWhenRelayPlansDiffer(t *testing.T) {
	is := is.New(t)
	f := unequalFleet()
	f.runUntil(f.time.Now() + 3*time.Second)
	relays := f.routers[20].core.loads.plan.Relays[:2] // of its data hall
	self := f.nextRelay(f.routers[20].hall, relays)
	for _, name := range relays {
		self.core.members.Get(name).Processor = 0.01
	}
	self.core.loads.planCurrent = false
	f.runUntil(f.time.Now() + 300*time.Millisecond)
	f.sendFromAll()
	f.runUntil(f.time.Now() + 300*time.Millisecond)
	before := f.time.Now()
	f.sendFromAll()
	f.runUntil(before + deliveryBound)
	is.Equal(self.core.loads.link.relay, "")
	is.Equal(len(f.stalePairs(before)), 0)
}

// oldestReports returns, for each router, the age of the oldest of the last reports received from the others.
func (f *fleet) oldestReports() []time.Duration {
	var out []time.Duration
	for _, n := range f.routers {
		age := time.Duration(0)
		for _, o := range f.routers {
			if n != o {
				age = max(age, f.time.Now()-n.core.prompt.LastContact(o.name).At)
			}
		}
		out = append(out, age)
	}
	return out
}

// TestStateOfIdleRoutersIsRecent guards against decisions based on state of which it is unknown whether it is out of
// date or unchanged: four of five routers get no requests, and each router's state must be confirmed at each other
// within the target bounds.
func TestStateOfIdleRoutersIsRecent(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := loadedFleet(82, 100_000)
	begin := f.time.Now()
	var ages []time.Duration
	for i := range 500 {
		f.runUntil(begin + time.Duration(i)*20*time.Millisecond)
		f.submitPrompt(f.routers[i%16], model.Account(accountNames(1)[0]), 1000, 20)
		ages = append(ages, f.oldestReports()...)
	}
	slices.Sort(ages)
	t.Logf("median %v, 99 in 100 %v, most %v", ages[len(ages)/2], ages[len(ages)*99/100], ages[len(ages)-1])
	is.True(ages[len(ages)/2] < 200*time.Millisecond)
	is.True(ages[len(ages)*99/100] < 500*time.Millisecond)
}

// TestLateReportOfEarlierProcessDoesNotBlockLaterOnes guards against a restarted router whose reports are dropped for
// good by a router that received a late report of the earlier process after the first one of the new process.
func TestLateReportOfEarlierProcessDoesNotBlockLaterOnes(t *testing.T) {
	is := is.New(t)
	f := loadedFleet(9, 100_000)
	f.sendLong(f.routers[2])
	f.runUntil(f.time.Now() + 200*time.Millisecond)
	late := &wire.Loads{Router: model.NameHash(f.routers[2].name), Process: 77, Sequence: 1000}
	is.True(f.routers[5].core.applyLoadReport(late))
	f.runUntil(f.time.Now() + 3*time.Second)
	is.Equal(f.routers[5].core.prompt.LastContact(f.routers[2].name).Process, uint32(f.routers[2].boot))
}

// recoveryBound is the maximum time, once datagrams arrive again, until each router receives the reports of each other:
// two seconds in which an earlier suspicion may still end in a death, the half second between two probes of a dead
// router, the time to replace a relay and to receive the list of senders of the next one, and the delivery of a report.
const recoveryBound = 2*time.Second + member.Period + relayIdleTimeout + confirmTimeout + sendersRepeatInterval + deliveryBound

// TestReportsArriveAgainAfterFaults loses datagrams, cuts off a data hall, and pauses and restarts routers at random,
// relays included, while some routers are idle. After the faults, each router must receive the state of each other
// within the bound, and keep receiving it.
func TestReportsArriveAgainAfterFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		f := loadedFleet(rapid.SampledFrom([]int{9, 24, 40}).Draw(t, "routers"), 100_000)
		f.loss = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss")
		for range rapid.IntRange(1, 6).Draw(t, "faults") {
			f.injectDrawnFault(t)
			f.sendLong(f.routers[rapid.IntRange(0, len(f.routers)-1).Draw(t, "sender")])
			f.runUntil(f.time.Now() + time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause"))*time.Millisecond)
		}
		f.runUntil(f.time.Now() + 2500*time.Millisecond) // the longest fault is over
		f.loss = 0
		f.runUntil(f.time.Now() + recoveryBound)
		for range 8 {
			// The state of a router is discarded on the notice of its restart, and reported again soon after.
			before := f.stalePairs(f.time.Now() - 500*time.Millisecond)
			f.runUntil(f.time.Now() + deliveryBound)
			for pair := range f.stalePairs(f.time.Now() - 500*time.Millisecond) {
				if before[pair] {
					t.Fatalf("%s hasn't received a report of %s for half a second, of %d routers", pair[0], pair[1], len(f.routers))
				}
			}
		}
	})
}

// TestReportsOfIdleLeavingRouterArrive guards against endless report requests to a router that is leaving and has
// nothing to report.
func TestReportsOfIdleLeavingRouterArrive(t *testing.T) {
	is := is.New(t)
	f := loadedFleet(24, 100_000)
	f.step(f.routers[8], Drain{})
	f.runUntil(f.time.Now() + 2*time.Second)
	is.Equal(len(f.stalePairs(f.time.Now()-500*time.Millisecond)), 0)
}
