package admission

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/tamarindstep/tamarindstep/model"
)

const (
	hot   = model.AccountID(1)
	quiet = model.AccountID(2)
	route = 7
	// within is an eighth of an objective of 250 ms.
	within = 31 * time.Millisecond
)

func admit(g *Gate, now model.Time, account model.AccountID) (Verdict, Ticket) {
	return g.Admit(now, Request{Account: account, Route: route, DecisionBudget: within})
}

// TestIdleRouterAdmitsBurst checks that sixty simultaneous requests of one account are all admitted.
func TestIdleRouterAdmitsBurst(t *testing.T) {
	is := is.New(t)
	g := NewGate(0)
	for range 60 {
		v, _ := admit(g, 0, hot)
		is.Equal(v.Reason, Admitted)
	}
}

// narrowWindow reports late decisions to a gate until its window is small.
func narrowWindow(g *Gate) model.Time {
	now := model.Time(0)
	for g.window > 8 {
		_, ticket := admit(g, now, quiet)
		g.Decided(now, ticket, Decision{Took: 2 * within})
		now += 2 * within
	}
	return now
}

// simulatedRouter decides on admitted requests one after the other.
type simulatedRouter struct {
	gate         *Gate
	decisionTime time.Duration // duration of a decision
	queue        []struct {
		ticket Ticket
		at     model.Time
	}
	free model.Time // end of the current decision
}

// run sends perSecond requests a second of one account, and returns the number of decisions and how many of them were
// late.
func (r *simulatedRouter) run(perSecond int, from, until model.Time) (decided, late int) {
	for now := from; now < until; now += time.Second / time.Duration(perSecond) {
		for len(r.queue) > 0 && r.free <= now {
			first := r.queue[0]
			r.queue = r.queue[1:]
			took := r.free - first.at
			r.gate.Decided(r.free, first.ticket, Decision{Took: took})
			decided++
			if took > within {
				late++
			}
			r.free += r.decisionTime
		}
		if v, ticket := admit(r.gate, now, hot); v.Reason == Admitted {
			if len(r.queue) == 0 {
				r.free = max(r.free, now+r.decisionTime)
			}
			r.queue = append(r.queue, struct {
				ticket Ticket
				at     model.Time
			}{ticket, now})
		}
	}
	return decided, late
}

// TestWindowLimitsLateDecisions sends 2,000 requests a second of one account to a router that needs 5 ms for each
// decision. The router must make as many decisions as it can, nearly all in time, and still admit another account.
// When decisions become fast again, the window must be removed.
func TestWindowLimitsLateDecisions(t *testing.T) {
	is := is.New(t)
	r := &simulatedRouter{gate: NewGate(0.2), decisionTime: 5 * time.Millisecond}
	r.run(2000, 0, time.Second)
	decided, late := r.run(2000, time.Second, 5*time.Second)
	t.Logf("%d decided, %d late, window %.0f", decided, late, r.gate.window)
	is.True(decided >= 4*200*9/10)
	is.True(late <= decided/4)
	v, _ := admit(r.gate, 5*time.Second, quiet)
	is.Equal(v.Reason, Admitted)
	r.decisionTime = 100 * time.Microsecond
	decided, late = r.run(2000, 5*time.Second, 6*time.Second)
	is.True(decided >= 1900)
	is.True(late <= 20)
	r.run(2000, 6*time.Second, 8*time.Second)
	is.True(math.IsInf(r.gate.Window(), 1)) // bursts are admitted whole again
}

// TestRecentRefusalAppliesToAccountAndRoute checks that a refusal on a router under pressure applies to later requests
// of the same account and route until it expires, and not to those of another route or account; and that it applies to
// none on a router without pressure.
func TestRecentRefusalAppliesToAccountAndRoute(t *testing.T) {
	is := is.New(t)
	for _, underPressure := range []bool{true, false} {
		g := NewGate(0)
		now := model.Time(0)
		if underPressure {
			now = narrowWindow(g)
		}
		_, first := admit(g, now, hot)
		_, _ = admit(g, now, hot)
		_, _ = admit(g, now, quiet)
		_, _ = admit(g, now, quiet)
		g.Decided(now, first, Decision{Took: 4 * time.Millisecond, Refused: true, ValidFor: 20 * time.Millisecond})
		v, _ := admit(g, now+10*time.Millisecond, hot)
		is.Equal(v.Reason == RecentRefusal, underPressure)
		other, _ := g.Admit(now+10*time.Millisecond, Request{Account: hot, Route: route + 1, DecisionBudget: within})
		is.Equal(other.Reason, Admitted)
		v, _ = admit(g, now+10*time.Millisecond, quiet)
		is.Equal(v.Reason, Admitted)
		g.Abandoned(Ticket{request: Request{Account: hot}})
		v, _ = admit(g, now+21*time.Millisecond, hot)
		is.Equal(v.Reason, Admitted)
	}
}

// TestDispatchClearsRecentRefusal checks that a dispatch after a refusal clears the refusal, as its reason no longer
// applies.
func TestDispatchClearsRecentRefusal(t *testing.T) {
	is := is.New(t)
	g := NewGate(0)
	now := narrowWindow(g)
	_, a := admit(g, now, hot)
	_, b := admit(g, now, hot)
	_, _ = admit(g, now, hot)
	g.Decided(now, a, Decision{Took: 4 * time.Millisecond, Refused: true, ValidFor: maxRefusalTTL})
	g.Decided(now, b, Decision{Took: 4 * time.Millisecond})
	v, _ := admit(g, now+time.Millisecond, hot)
	is.Equal(v.Reason, Admitted)
}

// gateTest is a gate with randomly generated arrivals, decisions and cancellations, and the outstanding tickets.
type gateTest struct {
	*rapid.T
	gate    *Gate
	now     model.Time
	tickets []Ticket
}

// arrive lets a request arrive. A request of an account with none pending must not be refused.
func (d *gateTest) arrive() {
	account := model.AccountID(rapid.IntRange(1, 3).Draw(d.T, "account"))
	own := d.gate.accounts[account]
	v, ticket := admit(d.gate, d.now, account)
	if v.Reason == Admitted {
		d.tickets = append(d.tickets, ticket)
	} else if own == 0 {
		d.Fatalf("refused (%v) with no pending request of the account", v)
	}
}

// end returns one of the tickets.
func (d *gateTest) end() {
	which := rapid.IntRange(0, len(d.tickets)-1).Draw(d.T, "which")
	ticket := d.tickets[which]
	d.tickets = append(d.tickets[:which], d.tickets[which+1:]...)
	if rapid.Bool().Draw(d.T, "left") {
		d.gate.Abandoned(ticket)
		return
	}
	d.gate.Decided(d.now, ticket, Decision{
		Took:     time.Duration(rapid.IntRange(0, 100).Draw(d.T, "took")) * time.Millisecond,
		Refused:  rapid.Bool().Draw(d.T, "refused"),
		ValidFor: time.Duration(rapid.IntRange(-5, 500).Draw(d.T, "holds")) * time.Millisecond,
	})
}

// checkState checks the counts, the minimum window and the expiry of refusals.
func (d *gateTest) checkState() {
	if d.gate.Pending() != len(d.tickets) {
		d.Fatalf("%d pending, %d tickets", d.gate.Pending(), len(d.tickets))
	}
	if d.gate.window < minWindow {
		d.Fatalf("window is %f", d.gate.window)
	}
	for _, until := range d.gate.refusals {
		if until > d.now+maxRefusalTTL {
			d.Fatal("refusal expires too late")
		}
	}
}

// TestTicketsBalance checks the counts under random sequences of arrivals, decisions and cancellations.
func TestTicketsBalance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &gateTest{T: t, gate: NewGate(rapid.SampledFrom([]float64{0, 0.2, 1}).Draw(t, "processor"))}
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			d.now += time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond
			if rapid.Bool().Draw(t, "arrives") || len(d.tickets) == 0 {
				d.arrive()
			} else {
				d.end()
			}
			d.checkState()
		}
		for _, ticket := range d.tickets {
			d.gate.Abandoned(ticket)
		}
		if d.gate.Pending() != 0 || len(d.gate.accounts) != 0 {
			t.Fatal("requests still pending after all tickets were returned")
		}
	})
}

// BenchmarkArrive measures what the gate adds to each request, with many pending.
func BenchmarkArrive(b *testing.B) {
	g := NewGate(0)
	for range 1000 {
		_, _ = admit(g, 0, hot)
	}
	for b.Loop() {
		if v, ticket := admit(g, 0, quiet); v.Reason == Admitted {
			g.Abandoned(ticket)
		}
	}
}
