package prompt

import (
	"cmp"
	"time"
)

// Tuning holds the constants of the decisions that a policy may set; 0 stands
// for the default. docs/DESIGN.md has the runs they come from.
type Tuning struct {
	// ReadWeight is what reading a prompt counts for beyond the delay it makes,
	// as it takes capacity from others.
	ReadWeight float64
	// RankPenalty is what each place in the order of rendezvous hashing counts.
	RankPenalty time.Duration
	// FarPenalty is what another data hall counts.
	FarPenalty time.Duration
	// FailureWeight is what a share of failures of 1 counts for, in seconds.
	FailureWeight float64
	// SlotDelay is the delay expected for each request beyond the slots.
	SlotDelay time.Duration
	// Begin is the longest expected delay with which a request is sent, as a part
	// of its objective. Where the reading of a request's own prompt takes more than the part
	// Large of its objective, it is sent if what is ahead of it takes at most the part
	// BeginLarge.
	Begin float64
	// BeginOver is how much beyond the delay of an idle engine the expected delay may be of a
	// request that is beyond what its account is owed, as a part of what that leaves of the
	// objective, and BeginFar the same beyond an even part of what really goes as well.
	BeginOver  float64
	BeginFar   float64
	BeginLarge float64
	Large      float64
	// Wait is how long a request waits in the router, as a part of its
	// objective; WaitNone how long where no backend server could serve it.
	Wait     float64
	WaitNone time.Duration
	// Share is the part of the engines' rate that is shared out.
	Share float64
	// Slack is what each account may begin beyond its share, as a part of what is
	// shared out.
	Slack float64
	// BestPart is the part of what the account that has had the most has begun that
	// every other one is owed: capacity that would idle goes to those whose prompts
	// are kept where there is room, and one whose callers all reach one router would
	// fall ever further behind them. It leaves room above the half that users want, as
	// what has begun is known late. At 1 the best served account is beyond no share.
	BestPart float64
	// BehindPart is the part of what the best served account has begun below which another one
	// that asks for as much is held up, and ReachPart the part that it must then have begun of what
	// others have for these to go on. Users want half; what has begun is known late, and their six
	// seconds aren't this window's four. Held up from 0.8 on, the worst seconds of a quiet day
	// of 64 routers are worth 0.79 to 0.84, and 0.91 so, as without the bound. KeepPart is the part of
	// its share that an account may begin all the same.
	BehindPart float64
	ReachPart  float64
	KeepPart   float64
	// RealFactor is how much more than what has begun is taken to be possible.
	RealFactor float64
	// RetryAfter is when a refused caller is asked back at the soonest, and
	// RetryOver when its account is beyond its share.
	RetryAfter time.Duration
	RetryOver  time.Duration
	// RateFactor is how much faster an engine reads than its part of the rate
	// that all make together, and DefaultRate its rate where none is known, in
	// tokens a second.
	RateFactor float64
	// KeptPart is the part of an engine's memory that it may read anew before
	// what wasn't used meanwhile has given way.
	KeptPart    float64
	DefaultRate float64
}

func (t Tuning) withDefaults() Tuning {
	t.ReadWeight = cmp.Or(t.ReadWeight, 3)
	t.RankPenalty = cmp.Or(t.RankPenalty, 60*time.Millisecond)
	t.FarPenalty = cmp.Or(t.FarPenalty, 5*time.Millisecond)
	t.FailureWeight = cmp.Or(t.FailureWeight, 1)
	t.SlotDelay = cmp.Or(t.SlotDelay, 30*time.Millisecond)
	t.Begin = cmp.Or(t.Begin, 0.7)
	t.BeginOver = cmp.Or(t.BeginOver, 0.12)
	t.BeginFar = cmp.Or(t.BeginFar, 0.06)
	t.BeginLarge = cmp.Or(t.BeginLarge, 0.05)
	t.Large = cmp.Or(t.Large, 0.6)
	t.Wait = cmp.Or(t.Wait, 0.15)
	t.WaitNone = cmp.Or(t.WaitNone, 150*time.Millisecond)
	t.Share = cmp.Or(t.Share, 1)
	t.Slack = cmp.Or(t.Slack, 0.05)
	t.BestPart = cmp.Or(t.BestPart, 0.8)
	t.KeepPart = cmp.Or(t.KeepPart, 0.25)
	t.BehindPart = cmp.Or(t.BehindPart, 0.65)
	t.ReachPart = cmp.Or(t.ReachPart, 0.8)
	t.RealFactor = cmp.Or(t.RealFactor, 1.15)
	t.RetryAfter = cmp.Or(t.RetryAfter, 100*time.Millisecond)
	t.RetryOver = cmp.Or(t.RetryOver, 300*time.Millisecond)
	t.KeptPart = cmp.Or(t.KeptPart, 0.85)
	t.RateFactor = cmp.Or(t.RateFactor, 1.5)
	t.DefaultRate = cmp.Or(t.DefaultRate, 50_000)
	return t
}

// rateOf returns how many tokens an engine reads in a second.
func (t Tuning) rateOf(all float64, engines int) float64 {
	if all <= 0 || engines == 0 {
		return t.DefaultRate
	}
	return all / float64(engines) * t.RateFactor
}
