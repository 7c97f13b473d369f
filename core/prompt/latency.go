package prompt

import (
	"math"
	"time"
)

const (
	// initialBase is the initial value of the base.
	initialBase = 60 * time.Millisecond
	// maxIdleQueueDelay is the longest queue delay of a request whose answer is used for the model.
	maxIdleQueueDelay = 3 * time.Millisecond
	// maxBaseTokens is the most tokens to prefill with which an answer updates the base, and minRateTokens the least
	// with which it updates the rate.
	maxBaseTokens = 1000
	minRateTokens = 3000
	// baseStep is the amount by which an answer changes the base, and rateStep the fraction by which it changes the
	// rate. Fixed steps make both follow the median of the observations.
	baseStep = time.Millisecond
	rateStep = 0.03
	// maxObservedSlowness is the largest slowness of an engine whose answers are used for the model of its pool.
	maxObservedSlowness = 1.5
	// minBase and maxBase limit the base.
	minBase = time.Millisecond
	maxBase = time.Second
	// maxRateFactor is the largest factor between the rate and its initial value.
	maxRateFactor = 4
)

// latencyModel estimates how soon the engines of a pool begin their answers. Both values are medians over this
// router's requests that had nothing queued ahead of them, provided that no load report of another router has shown
// otherwise since.
type latencyModel struct {
	base        time.Duration // time until an answer begins with nothing to prefill
	rate        float64       // tokens prefilled per second
	initialRate float64       // rate before the first answer
	measured    bool          // an answer has updated the rate
}

func newLatencyModel() *latencyModel { return &latencyModel{base: initialBase} }

// setInitialRate sets the rate that is used until answers update it.
func (l *latencyModel) setInitialRate(rate float64) {
	l.initialRate = rate
	if !l.measured {
		l.rate = rate
	}
}

// observe updates the model from the time that an answer took to begin. slowness is the estimated slowness of the
// engine relative to its pool.
func (l *latencyModel) observe(took time.Duration, f *flight, slowness float64) {
	if f.queueDelay > maxIdleQueueDelay || f.copied || l.rate <= 0 || slowness > maxObservedSlowness {
		return
	}
	if f.prefillTokens <= maxBaseTokens {
		prefillTime := time.Duration(f.prefillTokens / l.rate * float64(time.Second))
		l.base = min(max(l.base+signedStep(baseStep, took-prefillTime > l.base), minBase), maxBase)
		return
	}
	if f.prefillTokens < minRateTokens || took <= l.base {
		return
	}
	l.measured = true
	faster := f.prefillTokens/(took-l.base).Seconds() > l.rate
	l.rate *= math.Exp(signedStep(rateStep, faster))
	l.rate = min(max(l.rate, l.initialRate/maxRateFactor), l.initialRate*maxRateFactor)
}

// latencyDecay is the time constant with which both values return to their initial values unless answers confirm
// them. A router that overestimates the latency of engines dispatches less, and one that dispatches nothing observes
// nothing: without the decay, a few answers that were late for other reasons would have a permanent effect.
const latencyDecay = 10 * time.Second

// decay moves both values towards their initial values for the time elapsed.
func (l *latencyModel) decay(elapsed time.Duration) {
	fraction := 1 - math.Exp(-elapsed.Seconds()/latencyDecay.Seconds())
	l.base += time.Duration(fraction * float64(initialBase-l.base))
	l.rate += fraction * (l.initialRate - l.rate)
}

// signedStep returns the step or its negative.
func signedStep[T time.Duration | float64](step T, up bool) T {
	if up {
		return step
	}
	return -step
}
