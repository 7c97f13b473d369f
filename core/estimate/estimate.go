// Package estimate predicts how many output tokens a request is still to produce, from finished requests of the same
// kind.
//
// Observed lengths are counted in buckets, eight to a doubling, whose counts decay with each new observation. The
// remaining length expected of a request that has produced n tokens is the mean of the lengths above n, less n. For
// heavy-tailed lengths this differs greatly from the overall mean: a request that has passed the mean has, on average,
// much more to come.
package estimate

import "math"

const (
	bucketsPerDoubling = 8
	buckets            = 20 * bucketsPerDoubling // lengths up to 2^20 tokens
	// decay is the factor by which the weight of earlier observations decreases with each new one.
	decay = 0.998
	// priorWeight is the weight of the prior in observations.
	priorWeight = 2.0
)

// Lengths is the distribution of the output lengths of one kind of request. Use New to create one.
type Lengths struct {
	prior float64
	unit  float64 // weight of the newest observation, which grows as the earlier ones decay
	count [buckets]float64
	sum   [buckets]float64
}

// New returns a distribution that expects prior tokens until there are observations.
func New(prior float64) *Lengths {
	return &Lengths{prior: prior, unit: 1}
}

func bucketOf(tokens float64) int {
	if tokens < 1 {
		return 0
	}
	b := int(math.Log2(tokens) * bucketsPerDoubling)
	return min(b, buckets-1)
}

// Observe records the output length of a finished request, in tokens.
func (l *Lengths) Observe(tokens float64) {
	b := bucketOf(tokens)
	l.unit /= decay
	l.count[b] += l.unit
	l.sum[b] += l.unit * tokens
	if l.unit > 1e12 {
		l.rescale()
	}
}

func (l *Lengths) rescale() {
	for i := range l.count {
		l.count[i] /= l.unit
		l.sum[i] /= l.unit
	}
	l.unit = 1
}

// Remaining returns the number of tokens still expected of a request that has produced n, at least 1.
func (l *Lengths) Remaining(n float64) float64 {
	var count, sum float64
	for b := bucketOf(n); b < buckets; b++ {
		if l.count[b] == 0 || l.sum[b]/l.count[b] < n {
			continue
		}
		count += l.count[b]
		sum += l.sum[b]
	}
	prior := max(l.prior, n/2)
	weight := priorWeight * l.unit
	remaining := sum - n*count + prior*weight
	return max(remaining/(count+weight), 1)
}
