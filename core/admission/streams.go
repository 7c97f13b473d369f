package admission

import (
	"math"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

const (
	// turnsPerRequest is about how often the router's process must be scheduled for a request until the first part of
	// the response is passed on: to accept it, to decide, to connect, to write, to read the response's header and its
	// first part. Each scheduling delay adds to the latency that many times.
	turnsPerRequest = 8
	// maxDelayFraction is the fraction of a request's objective that scheduling delays may take up in total. A caller
	// that is refused within a quarter of its objective can still be served in time when it retries, but a response
	// delayed by as much is mostly late.
	maxDelayFraction = 0.25
	// limitInterval is the interval between updates of the limit: a few within the duration of a stream.
	limitInterval = 100 * time.Millisecond
	// limitDecrease is the factor by which the limit changes when the delay is too long, and limitIncrease when it is
	// not.
	limitDecrease = 0.9
	limitIncrease = 1.1
	// minStreams is the minimum limit of streams for a whole core. A stream takes about a millisecond of it a second,
	// so these take a tenth, and delays with no more streams than these have another cause. A router that has just
	// started is delayed for seconds, whatever its load.
	minStreams = 100
	// limitExpiry is the time without too long a delay, and with fewer streams than the limit, after which the limit
	// is removed.
	limitExpiry = 2 * time.Second
)

// streamLimiter limits the number of concurrent streams by the scheduling delay of the router's process. It covers
// what the gate's window can't: requests may be decided on at once while their responses are passed on late.
type streamLimiter struct {
	floor       float64 // minimum of the limit
	limit       float64
	lastUpdate  model.Time
	lastAtLimit model.Time // last time at which the delay was too long or the limit was reached
	active      int
	accounts    map[model.AccountID]int // active streams of each account that has any
}

// newStreamLimiter returns the limiter of a router with the given share of a core, 0 for no limit.
func newStreamLimiter(processor float64) streamLimiter {
	if processor <= 0 {
		processor = 1
	}
	return streamLimiter{floor: max(minStreams*processor, 1), limit: math.Inf(1), accounts: map[model.AccountID]int{}}
}

// allows reports whether an account may begin another stream: any account may while fewer streams than the limit are
// active, and beyond that only an account with less than an even share.
func (l *streamLimiter) allows(account model.AccountID) bool {
	if float64(l.active) < l.limit {
		return true
	}
	own := l.accounts[account]
	sharing := len(l.accounts)
	if own == 0 {
		sharing++
	}
	return float64(own) < max(l.limit/float64(sharing), 1)
}

// reportedLimit returns the limit, 0 for none.
func (l *streamLimiter) reportedLimit() int {
	if math.IsInf(l.limit, 1) {
		return 0
	}
	return int(l.limit)
}

// add adds n to the active streams of an account: 1 when a stream begins, -1 when it ends.
func (l *streamLimiter) add(account model.AccountID, n int) {
	l.active += n
	l.accounts[account] += n
	if l.accounts[account] == 0 {
		delete(l.accounts, account)
	}
}

// update adjusts the limit by the current scheduling delay when a request with an objective arrives.
func (l *streamLimiter) update(now model.Time, delay, objective time.Duration) {
	if objective <= 0 || now < l.lastUpdate+limitInterval {
		return
	}
	l.lastUpdate = now
	tooLong := float64(delay)*turnsPerRequest > maxDelayFraction*float64(objective)
	switch {
	case tooLong:
		l.lastAtLimit = now
		l.limit = max(limitDecrease*min(l.limit, float64(l.active)), l.floor)
	case math.IsInf(l.limit, 1):
	case float64(l.active) >= limitDecrease*l.limit:
		l.lastAtLimit = now
		l.limit *= limitIncrease
	case now > l.lastAtLimit+limitExpiry:
		l.limit = math.Inf(1)
	}
}
