// Package admission decides by a request's header alone whether the request is read and passed to the scheduler.
//
// It protects a router from overload by a single account. Reading and scheduling a request costs more than refusing it
// by its header, so a small router that read every excess request would have no processor time left for those it can
// serve.
//
// # Reasons for refusal
//
// A request is refused only for a reason that holds when it arrives:
//
//   - WindowFull: another request is unlikely to be decided on in time, given the number that await a decision. There
//     is no window while all decisions are in time, so an idle router admits a burst whole. After the first late
//     decision a window applies, as in congestion control: it grows by one after as many decisions in time as it
//     holds, and halves after a late one. Accounts share it evenly.
//   - StreamLimitReached: the router carries as many streams as it can pass on in time. Scheduling delay of the
//     router's process affects all of them; once the delay is too long, a limit applies that follows it. Accounts
//     share it evenly.
//   - RecentRefusal: the router is under pressure, and the scheduler has just refused a request of the same account
//     and route, for a reason that still applies.
//
// The scheduler states with each refusal how long its reason is expected to hold.
package admission

import (
	"math"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

const (
	// DecisionFraction is the fraction of a request's objective within which a decision is due. A caller that is refused
	// within a quarter of its objective can still be served in time when it retries; the round trip to the router takes
	// some of that.
	DecisionFraction = 1.0 / 8
	// minDecisionTime is the least time in which a whole core makes one decision. The window never exceeds the number
	// of decisions that are possible in time at this rate.
	minDecisionTime = 250 * time.Microsecond
	// growthThreshold is the fraction of the allowed time within which a decision counts towards growth of the window,
	// which grows by one after as many such decisions as it holds.
	growthThreshold = 0.75
	// decreaseFactor is the factor by which a late decision shrinks the window, at most once in the time which that
	// decision took: a router with a share of a core runs in slices and makes several decisions at once, regardless of
	// the queue.
	decreaseFactor = 0.5
	// maxWindow is the maximum window after a late decision: enough for the requests of one account beside the
	// router's other work.
	maxWindow = 12
	// windowExpiry is the time without a late decision after which the window is removed.
	windowExpiry = 2 * time.Second
	// minWindow keeps decisions coming, as only decisions show that the overload has ended.
	minWindow = 2
	// pressureThreshold is the fraction of the window in use from which the router counts as under pressure.
	pressureThreshold = 0.25
	// crowdedDuration is how long a router counts as crowded after a refusal. Refused callers retry within some
	// hundreds of milliseconds.
	crowdedDuration = time.Second
	// crowdedThreshold is the fraction of new connections whose first request must be refused for the router to count
	// as crowded, and connWeight the weight of the newest one in that mean. Refusing a request before its connection
	// is accepted saves about as much as it costs extra to accept the connection afterwards.
	crowdedThreshold = 0.5
	connWeight       = 1.0 / 32
	// maxRefusalTTL limits how long a refusal applies to other requests. Load reports of other routers are about as
	// old, and a new one may change the decision.
	maxRefusalTTL = 100 * time.Millisecond
)

// Reason is the reason for which a request is refused by its header.
type Reason string

// The values of Reason.
const (
	Admitted           Reason = ""        // not refused
	WindowFull         Reason = "busy"    // too many requests await a decision
	RecentRefusal      Reason = "settled" // the scheduler's last refusal still applies
	StreamLimitReached Reason = "laden"   // the router carries as many streams as it can pass on in time
)

// Request is the information about a request on which Admit decides.
type Request struct {
	Account        model.AccountID
	Route          uint32        // hash of the route's name
	DecisionBudget time.Duration // time within which the decision is due
	// Stream reports whether the response is passed on in parts, the first of them due within Objective.
	Stream          bool
	Objective       time.Duration
	FirstOnConn     bool          // first request of its connection
	SchedulingDelay time.Duration // mean scheduling delay of the router's process
}

// Decision is the scheduler's decision on an admitted request.
type Decision struct {
	Took    time.Duration // since the header was read, without the time spent waiting for capacity
	Refused bool
	// ValidFor is how long the reason of a refusal is expected to apply to the account and route.
	ValidFor time.Duration
}

// Verdict is the decision on a header.
type Verdict struct {
	Reason      Reason
	Pending     int // requests of the account that await a decision
	Window      int // limit of requests, of all accounts, that await a decision
	Streams     int // current streams
	StreamLimit int // limit of streams, 0 for none
}

// Ticket represents an admitted request. It is returned exactly once, by Decided or Abandoned.
type Ticket struct{ request Request }

// Gate is the state machine of admission. It does no I/O and reads no clock, and is not safe for concurrent use.
type Gate struct {
	minDecision     time.Duration // minDecisionTime, adjusted to the router's share of a core
	window          float64
	noDecreaseUntil model.Time // before this time the window isn't decreased again
	lastLate        model.Time // time of the last late decision
	lastRefused     model.Time // time of the last refusal
	connRefusalRate float64    // moving mean of new connections whose first request is refused
	pending         int
	accounts        map[model.AccountID]int   // pending requests of each account that has any
	refusals        map[refusalKey]model.Time // expiry of each refusal
	streams         streamLimiter
}

// refusalKey identifies the requests to which a refusal of the scheduler applies.
type refusalKey struct {
	account model.AccountID
	route   uint32
}

// NewGate returns the gate of a router with the given share of a core, 0 for no limit.
func NewGate(processor float64) *Gate {
	minDecision := minDecisionTime
	if processor > 0 && processor < 1 {
		minDecision = time.Duration(float64(minDecisionTime) / processor)
	}
	return &Gate{
		minDecision: minDecision, window: math.Inf(1),
		accounts: map[model.AccountID]int{}, refusals: map[refusalKey]model.Time{}, streams: newStreamLimiter(processor),
	}
}

// Admit decides on a header. The ticket is valid if the reason is Admitted.
func (g *Gate) Admit(now model.Time, r Request) (Verdict, Ticket) {
	if r.Stream {
		g.streams.update(now, r.SchedulingDelay, r.Objective)
	}
	v := g.evaluate(now, r)
	if r.FirstOnConn {
		g.recordConn(v.Reason != Admitted)
	}
	if v.Reason != Admitted {
		g.lastRefused = now
		return v, Ticket{}
	}
	g.addPending(r.Account, 1)
	if r.Stream {
		g.streams.add(r.Account, 1)
	}
	return v, Ticket{r}
}

// Crowded reports whether the first requests of most recent connections were refused.
func (g *Gate) Crowded(now model.Time) bool {
	return g.connRefusalRate >= crowdedThreshold && now < g.lastRefused+crowdedDuration
}

// recordConn records a new connection and whether its first request is refused.
func (g *Gate) recordConn(refused bool) {
	g.connRefusalRate *= 1 - connWeight
	if refused {
		g.connRefusalRate += connWeight
	}
}

// evaluate decides on a header without changing the state.
func (g *Gate) evaluate(now model.Time, r Request) Verdict {
	own := g.accounts[r.Account]
	window := g.windowFor(r)
	v := Verdict{Pending: own, Window: int(window), Streams: g.streams.active, StreamLimit: g.streams.reportedLimit()}
	underPressure := float64(g.pending) >= pressureThreshold*window
	switch {
	case r.Stream && !g.streams.allows(r.Account):
		v.Reason = StreamLimitReached
	case own == 0:
	case float64(own) >= window/float64(len(g.accounts)):
		v.Reason = WindowFull
	case underPressure && now < g.refusals[refusalKey{r.Account, r.Route}]:
		v.Reason = RecentRefusal
	}
	return v
}

// windowFor returns how many requests may await a decision when r arrives, limited to what can be decided within
// r.DecisionBudget.
func (g *Gate) windowFor(r Request) float64 {
	return min(g.window, max(float64(r.DecisionBudget/g.minDecision), minWindow))
}

// Decided records the scheduler's decision on an admitted request.
func (g *Gate) Decided(now model.Time, t Ticket, d Decision) {
	g.addPending(t.request.Account, -1)
	g.adjustWindow(now, t.request, d.Took)
	s := refusalKey{t.request.Account, t.request.Route}
	if !d.Refused {
		delete(g.refusals, s)
		return
	}
	if d.ValidFor > 0 {
		g.refusals[s] = now + min(d.ValidFor, maxRefusalTTL)
	}
}

// adjustWindow adjusts the window by the time that a decision took.
func (g *Gate) adjustWindow(now model.Time, r Request, took time.Duration) {
	switch {
	case took > r.DecisionBudget:
		g.lastLate = now
		if now >= g.noDecreaseUntil {
			g.window = max(min(g.windowFor(r), maxWindow/decreaseFactor)*decreaseFactor, minWindow)
			g.noDecreaseUntil = now + took
		}
	case math.IsInf(g.window, 1):
	case now > g.lastLate+windowExpiry:
		g.window = math.Inf(1)
	case took <= time.Duration(growthThreshold*float64(r.DecisionBudget)):
		g.window = min(g.window+1/g.window, maxWindow)
	}
}

// Ended records the end of an admitted request, and of its stream. It is called exactly once for each, after Decided
// or Abandoned.
func (g *Gate) Ended(t Ticket) {
	if t.request.Stream {
		g.streams.add(t.request.Account, -1)
	}
}

// Streams returns the number of current streams and its limit, which is infinite while there is no scheduling delay.
func (g *Gate) Streams() (active int, limit float64) { return g.streams.active, g.streams.limit }

// Abandoned records that an admitted request ended before a decision.
func (g *Gate) Abandoned(t Ticket) { g.addPending(t.request.Account, -1) }

// Pending returns the number of requests that await a decision.
func (g *Gate) Pending() int { return g.pending }

// Window returns how many requests may await a decision; infinite if no recent decision was late.
func (g *Gate) Window() float64 { return g.window }

func (g *Gate) addPending(account model.AccountID, n int) {
	g.pending += n
	g.accounts[account] += n
	if g.accounts[account] == 0 {
		delete(g.accounts, account)
	}
}

// DeleteExpired deletes expired refusals. It must be called from time to time.
func (g *Gate) DeleteExpired(now model.Time) {
	for s, until := range g.refusals {
		if now >= until {
			delete(g.refusals, s)
		}
	}
}
