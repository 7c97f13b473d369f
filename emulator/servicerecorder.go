package emulator

import (
	"slices"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

const (
	// fairnessWindow is the time over which the service of accounts is compared, in seconds.
	fairnessWindow = 6
	// excludedRequests is the number of an account's largest requests whose cost is tolerated as a shortfall.
	excludedRequests = 3
)

// secondTotals holds the tokens that an account requested and was served in one second. A request counts as served
// when its answer starts.
type secondTotals struct {
	requested, served float64
	backlogged        bool // a request was refused, or started later than its objective
}

// serviceRecorder records what each account requested and was served, per second.
type serviceRecorder struct {
	load     Load
	accounts []accountRecord
}

type accountRecord struct {
	seconds map[int]*secondTotals
	costs   []float64 // of all requests
	// refusing is set if a request was refused as over the share, at refusingSince, and none has started since;
	// maxGap is the longest such period.
	refusing      bool
	refusingSince model.Time
	maxGap        time.Duration
}

func newServiceRecorder(load Load) *serviceRecorder {
	return &serviceRecorder{load: load, accounts: make([]accountRecord, load.Accounts)}
}

// costOf counts a prompt token once and an output token twice, as the shares do.
func costOf(c *call) float64 { return float64(c.prompt.Tokens + 2*c.output) }

func (s *serviceRecorder) totalsAt(now model.Time, c *call) *secondTotals {
	a := &s.accounts[c.account]
	if a.seconds == nil {
		a.seconds = map[int]*secondTotals{}
	}
	n := int(now / time.Second)
	if a.seconds[n] == nil {
		a.seconds[n] = &secondTotals{}
	}
	return a.seconds[n]
}

// recordAttempt records an attempt.
func (s *serviceRecorder) recordAttempt(now model.Time, c *call) {
	s.totalsAt(now, c).requested += costOf(c)
	a := &s.accounts[c.account]
	a.costs = append(a.costs, costOf(c))
}

// recordStart records the start of an answer.
func (s *serviceRecorder) recordStart(now model.Time, c *call) {
	s.totalsAt(now, c).served += costOf(c)
	s.accounts[c.account].refusing = false
	if c.firstToken > s.load.Kinds[c.kind].Objective {
		s.recordBacklog(now, c)
	}
}

// recordBacklog records that a request was refused or is late.
func (s *serviceRecorder) recordBacklog(now model.Time, c *call) {
	s.totalsAt(now, c).backlogged = true
}

// recordOverShare records that a request was refused because its account is over its share.
func (s *serviceRecorder) recordOverShare(now model.Time, c *call) {
	a := &s.accounts[c.account]
	if !a.refusing {
		a.refusing, a.refusingSince = true, now
	}
	a.maxGap = max(a.maxGap, now-a.refusingSince)
}

// maxRefusalGap returns the longest time for which an account was refused as over its share while none of its
// requests started.
func (s *serviceRecorder) maxRefusalGap() time.Duration {
	out := time.Duration(0)
	for i := range s.accounts {
		out = max(out, s.accounts[i].maxGap)
	}
	return out
}

// minServiceRatio returns the lowest ratio of what an account was served to what was attainable, over all windows in
// which the account was backlogged in each second; 1 if there are none. Attainable in a second is what the account
// requested or what the best served account got, whichever is less; the cost of the account's largest requests is
// subtracted from the sum.
func (s *serviceRecorder) minServiceRatio() float64 {
	last := 0
	for _, a := range s.accounts {
		for n := range a.seconds {
			last = max(last, n)
		}
	}
	tolerances := make([]float64, len(s.accounts))
	for i, a := range s.accounts {
		tolerances[i] = a.largestCosts()
	}
	lowest := 1.0
	for from := 0; from+fairnessWindow <= last; from++ {
		for i := range s.accounts {
			for j := range s.accounts {
				lowest = min(lowest, s.serviceRatio(i, j, from, tolerances[i]))
			}
		}
	}
	return lowest
}

// largestCosts returns the total cost of an account's largest requests.
func (a *accountRecord) largestCosts() float64 {
	costs := slices.Sorted(slices.Values(a.costs))
	sum := 0.0
	for _, cost := range costs[max(len(costs)-excludedRequests, 0):] {
		sum += cost
	}
	return sum
}

// serviceRatio compares an account with a reference account over a window; tolerance is the shortfall that is
// tolerated, in tokens.
func (s *serviceRecorder) serviceRatio(account, reference, from int, tolerance float64) float64 {
	attainable, served := 0.0, 0.0
	for n := from; n < from+fairnessWindow; n++ {
		own, other := s.accounts[account].seconds[n], s.accounts[reference].seconds[n]
		if own == nil || !own.backlogged {
			return 1
		}
		served += own.served
		if other != nil {
			attainable += min(own.requested, other.served)
		}
	}
	attainable -= tolerance
	if attainable <= 0 {
		return 1
	}
	return served / attainable
}
