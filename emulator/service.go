package emulator

import (
	"slices"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

const (
	// fairWindow is the time over which what accounts got is compared, in seconds.
	fairWindow = 6
	// largestLeft is how many of an account's largest requests it may have got less.
	largestLeft = 3
)

// second is what an account asked for and got in one second, in tokens. What it got
// counts where its answer begins.
type second struct {
	asked, got float64
	waited     bool // a request was refused, or began beyond its objective
}

// service is what each account asked for and got, second by second.
type service struct {
	load     Load
	accounts []accountService
}

type accountService struct {
	seconds map[int]*second
	costs   []float64 // of all requests
	// held tells that a request was refused as beyond the share, at heldAt, and that nothing has begun since;
	// gap is the longest time that this lasted.
	held   bool
	heldAt model.Time
	gap    time.Duration
}

func newService(load Load) *service {
	return &service{load: load, accounts: make([]accountService, load.Accounts)}
}

// costOf counts a token read once and a token written twice, as shares do.
func costOf(c *call) float64 { return float64(c.prompt.Tokens + 2*c.output) }

func (s *service) at(now model.Time, c *call) *second {
	a := &s.accounts[c.account]
	if a.seconds == nil {
		a.seconds = map[int]*second{}
	}
	n := int(now / time.Second)
	if a.seconds[n] == nil {
		a.seconds[n] = &second{}
	}
	return a.seconds[n]
}

// ask counts a try.
func (s *service) ask(now model.Time, c *call) {
	s.at(now, c).asked += costOf(c)
	a := &s.accounts[c.account]
	a.costs = append(a.costs, costOf(c))
}

// begin counts an answer that begins.
func (s *service) begin(now model.Time, c *call) {
	s.at(now, c).got += costOf(c)
	s.accounts[c.account].held = false
	if c.first > s.load.Kinds[c.kind].Objective {
		s.wait(now, c)
	}
}

// wait notes that a request was refused or is late.
func (s *service) wait(now model.Time, c *call) { s.at(now, c).waited = true }

// hold notes that a request was refused as its account has had its share.
func (s *service) hold(now model.Time, c *call) {
	a := &s.accounts[c.account]
	if !a.held {
		a.held, a.heldAt = true, now
	}
	a.gap = max(a.gap, now-a.heldAt)
}

// gap returns the longest time for which an account was refused as beyond its share while nothing
// of it began.
func (s *service) gap() time.Duration {
	out := time.Duration(0)
	for i := range s.accounts {
		out = max(out, s.accounts[i].gap)
	}
	return out
}

// leastPart returns the least part that an account which waited in each second of a
// window got of what it asked for or the best served account got, whichever was less in
// each second; its largest requests left off that, 1 where no account waited so.
func (s *service) leastPart() float64 {
	last := 0
	for _, a := range s.accounts {
		for n := range a.seconds {
			last = max(last, n)
		}
	}
	left := make([]float64, len(s.accounts))
	for i, a := range s.accounts {
		left[i] = a.largest()
	}
	least := 1.0
	for from := 0; from+fairWindow <= last; from++ {
		for i := range s.accounts {
			for j := range s.accounts {
				least = min(least, s.part(i, j, from, left[i]))
			}
		}
	}
	return least
}

// largest returns what an account's largest requests cost together.
func (a *accountService) largest() float64 {
	costs := slices.Sorted(slices.Values(a.costs))
	sum := 0.0
	for _, cost := range costs[max(len(costs)-largestLeft, 0):] {
		sum += cost
	}
	return sum
}

// part compares an account with another one over a window; left is what it may have got
// less, in tokens.
func (s *service) part(account, best, from int, left float64) float64 {
	might, got := 0.0, 0.0
	for n := from; n < from+fairWindow; n++ {
		own, other := s.accounts[account].seconds[n], s.accounts[best].seconds[n]
		if own == nil || !own.waited {
			return 1
		}
		got += own.got
		if other != nil {
			might += min(own.asked, other.got)
		}
	}
	might -= left
	if might <= 0 {
		return 1
	}
	return got / might
}
