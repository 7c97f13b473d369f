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

// unequalFleet returns a fleet of 40 routers, one of which in each data hall has more processor.
func unequalFleet() *fleet {
	f := loadedFleet(40, 100_000)
	for i, n := range f.nodes {
		n.processor = 0.192
		if i < 3 {
			n.processor = 0.8
		}
		f.kill(n)
	}
	for _, n := range f.nodes {
		f.start(n)
	}
	return f
}

// unheard returns the routers and others that they haven't heard since some time.
func (f *fleet) unheard(since model.Time) map[[2]string]bool {
	out := map[[2]string]bool{}
	for _, n := range f.nodes {
		for _, o := range f.nodes {
			if n != o && !n.down && !o.down && n.core.prompt.HeardOf(o.name).At < since {
				out[[2]string{n.name, o.name}] = true
			}
		}
	}
	return out
}

// allSend lets each router send a request.
func (f *fleet) allSend() {
	for _, n := range f.nodes {
		f.sendLong(n)
	}
}

// heardWithin is how long a report takes at the most to reach every router: its exchange, and the
// turns of two relays, each with a datagram's way.
const heardWithin = loadsEvery + 2*passOnEvery + 10*time.Millisecond

// TestRoutersOnceSuspectAreHeard guards against routers that never heard some others: those that had
// been suspect ranked higher among the relays, at whoever had heard so, than at the others.
func TestRoutersOnceSuspectAreHeard(t *testing.T) {
	is := is.New(t)
	f := unequalFleet()
	f.runUntil(f.time.Now() + time.Second)
	for i := 10; i < 20; i++ {
		f.strike(f.nodes[i], "freeze", 1500*time.Millisecond)
	}
	f.runUntil(f.time.Now() + 15*time.Second)
	for _, n := range f.nodes {
		is.Equal(n.core.Live(), len(f.nodes))
	}
	before := f.time.Now()
	f.allSend()
	f.runUntil(before + heardWithin)
	is.Equal(len(f.unheard(before)), 0)
}

// nextRelay returns a router that is a relay of a data hall without some others.
func (f *fleet) nextRelay(hall string, without []string) *node {
	var left []relay.Router
	for _, n := range f.nodes {
		if !slices.Contains(without, n.name) {
			left = append(left, relay.Router{Name: n.name, DataHall: n.hall, Processor: float32(n.processor)})
		}
	}
	at := slices.IndexFunc(f.nodes, func(n *node) bool {
		return n.hall == hall && !slices.Contains(without, n.name) && relay.Of(n.name, left).Relay == ""
	})
	return f.nodes[at]
}

// TestRelayThatIsOneToItselfAloneIsHeard guards against routers that go unheard while views of the
// fleet differ: a relay that the other relays don't take for one, and those that it serves, must hear
// and be heard all the same.
func TestRelayThatIsOneToItselfAloneIsHeard(t *testing.T) {
	is := is.New(t)
	f := unequalFleet()
	f.runUntil(f.time.Now() + 3*time.Second)
	relays := f.nodes[20].core.loads.plan.Relays[:2] // of its data hall
	self := f.nextRelay(f.nodes[20].hall, relays)
	for _, name := range relays {
		self.core.members.Get(name).Processor = 0.01
	}
	self.core.loads.planned = false
	f.runUntil(f.time.Now() + 300*time.Millisecond)
	f.allSend()
	f.runUntil(f.time.Now() + 300*time.Millisecond)
	before := f.time.Now()
	f.allSend()
	f.runUntil(before + heardWithin)
	is.Equal(self.core.loads.link.relay, "")
	is.Equal(len(f.unheard(before)), 0)
}

// oldest returns how old the oldest knowledge of another router is, at each router.
func (f *fleet) oldest() []time.Duration {
	var out []time.Duration
	for _, n := range f.nodes {
		age := time.Duration(0)
		for _, o := range f.nodes {
			if n != o {
				age = max(age, f.time.Now()-n.core.prompt.HeardOf(o.name).At)
			}
		}
		out = append(out, age)
	}
	return out
}

// TestKnowledgeOfIdleRoutersIsYoung guards against decisions by knowledge of which nobody can tell
// whether it is old or nothing has changed: four of five routers get no requests, and each hears of
// each other's state within the bounds aimed at.
func TestKnowledgeOfIdleRoutersIsYoung(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := loadedFleet(82, 100_000)
	begin := f.time.Now()
	var ages []time.Duration
	for i := range 500 {
		f.runUntil(begin + time.Duration(i)*20*time.Millisecond)
		f.submitPrompt(f.nodes[i%16], model.Account(accountNames(1)[0]), 1000, 20)
		ages = append(ages, f.oldest()...)
	}
	slices.Sort(ages)
	t.Logf("median %v, 99 in 100 %v, most %v", ages[len(ages)/2], ages[len(ages)*99/100], ages[len(ages)-1])
	is.True(ages[len(ages)/2] < 200*time.Millisecond)
	is.True(ages[len(ages)*99/100] < 500*time.Millisecond)
}

// TestLateReportOfAnEarlierProcessShutsNobodyOut guards against a restarted router that is never heard
// again by one that got a late report of its process before after the first of the new one.
func TestLateReportOfAnEarlierProcessShutsNobodyOut(t *testing.T) {
	is := is.New(t)
	f := loadedFleet(9, 100_000)
	f.sendLong(f.nodes[2])
	f.runUntil(f.time.Now() + 200*time.Millisecond)
	late := &wire.Loads{Router: model.HashName(f.nodes[2].name), Process: 77, Sequence: 1000}
	is.True(f.nodes[5].core.takeLoadReport(late))
	f.runUntil(f.time.Now() + 3*time.Second)
	is.Equal(f.nodes[5].core.prompt.HeardOf(f.nodes[2].name).Process, uint32(f.nodes[2].boot))
}

// heardAgainWithin is how long it takes at the most, once datagrams arrive, until each router is heard
// by each other: two seconds in which a suspicion of before still ends in a death, the half second
// between two questions to one that is dead, what it takes to leave a relay and to be told whom the next
// one hears, and a report's way.
const heardAgainWithin = 2*time.Second + member.Period + quietFor + confirmWithin + hearsRepeated + heardWithin

// TestEachRouterIsHeardAgain loses datagrams, cuts a data hall off, freezes routers and restarts them,
// as drawn, relays among them, while some send and some have nothing to tell. Whatever was lost,
// each router hears of each other's state within the bound, and goes on doing so.
func TestEachRouterIsHeardAgain(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		f := loadedFleet(rapid.SampledFrom([]int{9, 24, 40}).Draw(t, "routers"), 100_000)
		f.loss = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss")
		for range rapid.IntRange(1, 6).Draw(t, "faults") {
			f.strikeDrawn(t)
			f.sendLong(f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(t, "sender")])
			f.runUntil(f.time.Now() + time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause"))*time.Millisecond)
		}
		f.runUntil(f.time.Now() + 2500*time.Millisecond) // the longest fault is over
		f.loss = 0
		f.runUntil(f.time.Now() + heardAgainWithin)
		for range 8 {
			// What is known of a router is forgotten as news comes of its restart, and told again soon.
			before := f.unheard(f.time.Now() - 500*time.Millisecond)
			f.runUntil(f.time.Now() + heardWithin)
			for pair := range f.unheard(f.time.Now() - 500*time.Millisecond) {
				if before[pair] {
					t.Fatalf("%s hasn't heard %s of %d routers for half a second", pair[0], pair[1], len(f.nodes))
				}
			}
		}
	})
}

// TestLeavingRouterWithoutNewsIsHeard guards against asking for a router again and again that leaves and
// has nothing to tell.
func TestLeavingRouterWithoutNewsIsHeard(t *testing.T) {
	is := is.New(t)
	f := loadedFleet(24, 100_000)
	f.step(f.nodes[8], Drain{})
	f.runUntil(f.time.Now() + 2*time.Second)
	is.Equal(len(f.unheard(f.time.Now()-500*time.Millisecond)), 0)
}
