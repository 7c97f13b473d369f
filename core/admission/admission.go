// Package admission decides, by the header of a request alone, whether the rest of it is
// read and put before the scheduler.
//
// # The load it answers
//
// All callers of one account reach the same router and ask for many times what the account
// may have. Reading a request and deciding on it costs more than refusing it by its header, and
// a small router that reads them all has no processor left to send those that would be served.
//
// # What is refused
//
// A request is refused only for a reason that holds as it comes:
//
//   - Busy: so many requests are let in and not decided on yet that another one wouldn't be in
//     time. A burst at a router that has time is let in whole. From the first decision that is late
//     on, a window holds, as for congestion of a network: it grows by one where as many as it
//     holds are decided on in time, and halves where one isn't. Accounts share it evenly.
//   - Laden: the router carries as many streams as it can pass on in time. Turns that come late make all
//     of them late; from then on a bound holds, which moves by how late turns come. Accounts share it evenly.
//   - Settled: the router is short of time, and the scheduler has just refused a request of
//     this account and route, for a reason that isn't over.
//
// Each refusal of the scheduler says until when its reason is expected to hold.
package admission

import (
	"math"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

const (
	// Part is the part of a request's objective in which it is to be decided on. A caller
	// who is refused within a quarter can still be served in time when it returns; the way to the
	// router and back takes some of that.
	Part = 1.0 / 8
	// quickTake is how long a decision takes a whole core at the least. The window never is
	// larger than what could be decided on in time at that rate.
	quickTake = 250 * time.Microsecond
	// enough is the part of its time within which a decision shows that there is time for more;
	// one in so many as the window holds widens it by one.
	enough = 0.75
	// cut is by what part a late decision narrows the window, once in the time that it took: a
	// router that is given its part of a core in slices decides on some at once, whatever waits.
	cut = 0.5
	// firstWindow is the widest that a window is after a late decision: one account's requests
	// and a router's other work.
	firstWindow = 12
	// openAfter is how long no decision must be late for there to be no window any more.
	openAfter = 2 * time.Second
	// leastWindow keeps decisions coming, as only they tell that there is time again.
	leastWindow = 2
	// pressedFrom is the part of the window that is taken up when a router counts as short
	// of time.
	pressedFrom = 0.25
	// crowdedFor is how long after a refusal a router counts as crowded: callers who are refused come again within some
	// hundreds of milliseconds.
	crowdedFor = time.Second
	// crowdedFrom is the part of new connections that must bring a request which is refused, and newWeight the weight of the newest
	// one: refusing a request before its connection is taken saves about as much as it costs more to take one afterwards.
	crowdedFrom = 0.5
	newWeight   = 1.0 / 32
	// longestHold bounds what one refusal settles: load reports of other routers are about as
	// old, and what they tell may change it.
	longestHold = 100 * time.Millisecond
)

// Reason is why a request is refused by its header.
type Reason string

// The reasons.
const (
	Admitted Reason = ""        // it isn't
	Busy     Reason = "busy"    // it couldn't be decided on in time
	Settled  Reason = "settled" // what was decided a moment ago holds for it
	Laden    Reason = "laden"   // as many streams are carried as can be passed on in time
)

// Request is what the header tells of a request.
type Request struct {
	Account model.AccountID
	Route   uint32        // hash of the route's name
	Within  time.Duration // the time in which it is to be decided on
	// Stream tells that its answer is passed on part by part, the first of them within Objective.
	Stream    bool
	Objective time.Duration
	First     bool          // it is the first one of its connection
	Late      time.Duration // how late the router's process comes to what is due, in the mean
}

// Decision is what the scheduler decided on a request that was let in.
type Decision struct {
	Took    time.Duration // since its header was read, less what it waited for room
	Refused bool
	// Holds is how long the reason of a refusal is expected to hold for others of the
	// account and route.
	Holds time.Duration
}

// Verdict is what is decided on a header.
type Verdict struct {
	Reason  Reason
	Pending int // requests of the account that wait for a decision
	Window  int // requests of all accounts that may wait for one
	Carried int // streams that are carried
	Bound   int // streams that may be, 0 for any number
}

// Ticket is a request that was let in. It is given back exactly once, by Decided or Left.
type Ticket struct{ request Request }

// Gate is the state machine. It does no I/O and reads no clock; it isn't safe for use by
// several goroutines at once.
type Gate struct {
	quick     time.Duration // quickTake with this router's part of a core
	window    float64
	cutUntil  model.Time // when the window may be cut again
	late      model.Time // when the last decision was late
	refused   model.Time // when a request was last refused
	newcomers float64    // mean of new connections whose requests are refused
	pending   int
	accounts  map[model.AccountID]int // that have any pending
	settled   map[subject]model.Time  // until when
	carry     carry
}

// subject is what a refusal of the scheduler speaks of.
type subject struct {
	account model.AccountID
	route   uint32
}

// NewGate returns the gate of a router that has a part of a core, 0 for as many as it needs.
func NewGate(processor float64) *Gate {
	quick := quickTake
	if processor > 0 && processor < 1 {
		quick = time.Duration(float64(quickTake) / processor)
	}
	return &Gate{
		quick: quick, window: math.Inf(1),
		accounts: map[model.AccountID]int{}, settled: map[subject]model.Time{}, carry: newCarry(processor),
	}
}

// Arrive decides on a header. The ticket is valid where the reason is Admitted.
func (g *Gate) Arrive(now model.Time, r Request) (Verdict, Ticket) {
	if r.Stream {
		g.carry.move(now, r.Late, r.Objective)
	}
	v := g.judge(now, r)
	if r.First {
		g.noteNewcomer(v.Reason != Admitted)
	}
	if v.Reason != Admitted {
		g.refused = now
		return v, Ticket{}
	}
	g.count(r.Account, 1)
	if r.Stream {
		g.carry.add(r.Account, 1)
	}
	return v, Ticket{r}
}

// Crowded tells whether most new connections have brought requests that were refused, of late.
func (g *Gate) Crowded(now model.Time) bool {
	return g.newcomers >= crowdedFrom && now < g.refused+crowdedFor
}

// noteNewcomer counts a new connection, and whether its request is refused.
func (g *Gate) noteNewcomer(refused bool) {
	g.newcomers *= 1 - newWeight
	if refused {
		g.newcomers += newWeight
	}
}

// judge decides on a header.
func (g *Gate) judge(now model.Time, r Request) Verdict {
	own := g.accounts[r.Account]
	window := g.windowFor(r)
	v := Verdict{Pending: own, Window: int(window), Carried: g.carry.carried, Bound: g.carry.most()}
	pressed := float64(g.pending) >= pressedFrom*window
	switch {
	case r.Stream && !g.carry.allows(r.Account):
		v.Reason = Laden
	case own == 0:
	case float64(own) >= window/float64(len(g.accounts)):
		v.Reason = Busy
	case pressed && now < g.settled[subject{r.Account, r.Route}]:
		v.Reason = Settled
	}
	return v
}

// windowFor returns how many requests may wait for a decision where one that is to be decided on
// within its time comes.
func (g *Gate) windowFor(r Request) float64 {
	return min(g.window, max(float64(r.Within/g.quick), leastWindow))
}

// Decided takes what was decided on a request that was let in.
func (g *Gate) Decided(now model.Time, t Ticket, d Decision) {
	g.count(t.request.Account, -1)
	g.learn(now, t.request, d.Took)
	s := subject{t.request.Account, t.request.Route}
	if !d.Refused {
		delete(g.settled, s)
		return
	}
	if d.Holds > 0 {
		g.settled[s] = now + min(d.Holds, longestHold)
	}
}

// learn moves the window by how long a decision has taken.
func (g *Gate) learn(now model.Time, r Request, took time.Duration) {
	switch {
	case took > r.Within:
		g.late = now
		if now >= g.cutUntil {
			g.window = max(min(g.windowFor(r), firstWindow/cut)*cut, leastWindow)
			g.cutUntil = now + took
		}
	case math.IsInf(g.window, 1):
	case now > g.late+openAfter:
		g.window = math.Inf(1)
	case took <= time.Duration(enough*float64(r.Within)):
		g.window = min(g.window+1/g.window, firstWindow)
	}
}

// Ended takes that a request which was let in has ended, and carries no stream any more. It is told exactly once of each, after
// Decided or Left.
func (g *Gate) Ended(t Ticket) {
	if t.request.Stream {
		g.carry.add(t.request.Account, -1)
	}
}

// Carried returns how many streams are carried, and how many may be; infinite where turns come in time.
func (g *Gate) Carried() (carried int, limit float64) { return g.carry.carried, g.carry.limit }

// Left takes back a request that has ended without a decision.
func (g *Gate) Left(t Ticket) { g.count(t.request.Account, -1) }

// Pending returns how many requests wait for a decision.
func (g *Gate) Pending() int { return g.pending }

// Window returns how many requests may wait for a decision, as far as has been learned;
// infinite where none was late.
func (g *Gate) Window() float64 { return g.window }

func (g *Gate) count(account model.AccountID, n int) {
	g.pending += n
	g.accounts[account] += n
	if g.accounts[account] == 0 {
		delete(g.accounts, account)
	}
}

// Forget drops what is over. It is due now and then.
func (g *Gate) Forget(now model.Time) {
	for s, until := range g.settled {
		if now >= until {
			delete(g.settled, s)
		}
	}
}
