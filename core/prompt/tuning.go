package prompt

import (
	"cmp"
	"time"
)

// Tuning holds the parameters that a policy may set; 0 selects the default. See docs/DESIGN.md for the reasons.
type Tuning struct {
	// PrefillWeight is the weight of the prefill time in the score, in addition to the delay, as it uses capacity
	// that others need.
	PrefillWeight float64
	// RankPenalty is the penalty per rank in the order of rendezvous hashing.
	RankPenalty time.Duration
	// CrossHallPenalty is the penalty for another data hall.
	CrossHallPenalty time.Duration
	// FailurePenalty is the penalty for a failure rate of 1, in seconds.
	FailurePenalty float64
	// SlotDelay is the expected delay for each request beyond the slots.
	SlotDelay time.Duration
	// DelayFraction is the longest expected delay with which a request is dispatched, as a fraction of its objective.
	// A request whose own prefill takes more than LargePromptFraction of its objective is dispatched if its queue
	// delay is at most LargeQueueFraction of it.
	DelayFraction float64
	// OverShareDelayFraction is the longest expected delay, beyond the delay of an idle engine, of a request over the
	// fair share of its account, as a fraction of the remaining objective. FarOverShareDelayFraction is the same for
	// a request over the observed share.
	OverShareDelayFraction    float64
	FarOverShareDelayFraction float64
	LargeQueueFraction        float64
	LargePromptFraction       float64
	// WaitFraction is how long a request waits in the router, as a fraction of its objective. UnavailableWait is how
	// long it waits if no backend server can serve it.
	WaitFraction    float64
	UnavailableWait time.Duration
	// CapacityFraction is the fraction of the engines' rate that is divided among accounts.
	CapacityFraction float64
	// ShareSlack is how much each account may start beyond its share, as a fraction of the divided capacity.
	ShareSlack float64
	// MostStartedFraction is the fair share's lower limit, as a fraction of what the account that has started most
	// has started. Idle capacity goes to accounts whose prompts are cached where there is room, and an account whose
	// callers all use one router would otherwise fall further and further behind. The value leaves a margin above the
	// half that users expect, as reports of what was started arrive late. With 1, the account that has started most
	// would never be over its share.
	MostStartedFraction float64
	// ConstrainedFraction is the fraction of what the account that has started most has started below which another
	// account with as much demand counts as constrained. LimitFraction is the fraction of the others' amount that a
	// constrained account must have started for the others to continue. Users expect half; reports of what was
	// started arrive late, and users compare over six seconds instead of this window's four. With ConstrainedFraction
	// at 0.8, the worst seconds of a quiet day of 64 routers score 0.79 to 0.84; with this value they score 0.91, as
	// without the limit. GuaranteedFraction is the fraction of its share that an account may start regardless of the
	// limit.
	ConstrainedFraction float64
	LimitFraction       float64
	GuaranteedFraction  float64
	// ObservedCapacityFactor is the ratio of the assumed capacity to what was started.
	ObservedCapacityFactor float64
	// RetryAfter is the shortest retry time given to a refused caller, and RetryAfterOverShare the one given if its
	// account is over its share.
	RetryAfter          time.Duration
	RetryAfterOverShare time.Duration
	// RateFactor is the ratio of an engine's prefill rate to its part of the total rate.
	RateFactor float64
	// CacheFraction is the fraction of an engine's memory that it may prefill before unused parts are evicted.
	// DefaultRate is the prefill rate of an engine if the total is unknown, in tokens per second.
	CacheFraction float64
	DefaultRate   float64
}

func (t Tuning) withDefaults() Tuning {
	t.PrefillWeight = cmp.Or(t.PrefillWeight, 3)
	t.RankPenalty = cmp.Or(t.RankPenalty, 60*time.Millisecond)
	t.CrossHallPenalty = cmp.Or(t.CrossHallPenalty, 5*time.Millisecond)
	t.FailurePenalty = cmp.Or(t.FailurePenalty, 1)
	t.SlotDelay = cmp.Or(t.SlotDelay, 30*time.Millisecond)
	t.DelayFraction = cmp.Or(t.DelayFraction, 0.7)
	t.OverShareDelayFraction = cmp.Or(t.OverShareDelayFraction, 0.12)
	t.FarOverShareDelayFraction = cmp.Or(t.FarOverShareDelayFraction, 0.06)
	t.LargeQueueFraction = cmp.Or(t.LargeQueueFraction, 0.05)
	t.LargePromptFraction = cmp.Or(t.LargePromptFraction, 0.6)
	t.WaitFraction = cmp.Or(t.WaitFraction, 0.15)
	t.UnavailableWait = cmp.Or(t.UnavailableWait, 150*time.Millisecond)
	t.CapacityFraction = cmp.Or(t.CapacityFraction, 1)
	t.ShareSlack = cmp.Or(t.ShareSlack, 0.05)
	t.MostStartedFraction = cmp.Or(t.MostStartedFraction, 0.8)
	t.GuaranteedFraction = cmp.Or(t.GuaranteedFraction, 0.25)
	t.ConstrainedFraction = cmp.Or(t.ConstrainedFraction, 0.65)
	t.LimitFraction = cmp.Or(t.LimitFraction, 0.8)
	t.ObservedCapacityFactor = cmp.Or(t.ObservedCapacityFactor, 1.15)
	t.RetryAfter = cmp.Or(t.RetryAfter, 100*time.Millisecond)
	t.RetryAfterOverShare = cmp.Or(t.RetryAfterOverShare, 300*time.Millisecond)
	t.CacheFraction = cmp.Or(t.CacheFraction, 0.85)
	t.RateFactor = cmp.Or(t.RateFactor, 1.5)
	t.DefaultRate = cmp.Or(t.DefaultRate, 50_000)
	return t
}

// rateOf returns the prefill rate of an engine, in tokens per second.
func (t Tuning) rateOf(all float64, engines int) float64 {
	if all <= 0 || engines == 0 {
		return t.DefaultRate
	}
	return all / float64(engines) * t.RateFactor
}
