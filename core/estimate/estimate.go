// Package estimate learns how many output tokens a request is still to
// produce, from the requests of the same kind that have finished.
//
// The lengths seen are kept in buckets, eight to a doubling, whose counts
// fade as new ones come in. The rest expected of a request that has produced
// n tokens is the mean of the lengths above n, less n. For heavy-tailed
// lengths this differs greatly from the plain mean: a request that has passed
// the mean has, on the average, much more to come.
package estimate

import "math"

const (
	perDoubling = 8
	buckets     = 20 * perDoubling // lengths up to 2^20 tokens
	// fade is the factor by which an old observation counts less with each new one.
	fade = 0.998
	// priorWeight is how many observations the prior is worth.
	priorWeight = 2.0
)

// Lengths is the distribution of the output lengths of one kind of request.
// The zero value is not usable; see New.
type Lengths struct {
	prior float64
	unit  float64 // weight of the newest observation, grows as the old ones fade
	count [buckets]float64
	sum   [buckets]float64
}

// New returns a distribution that expects prior tokens until it has learned.
func New(prior float64) *Lengths {
	return &Lengths{prior: prior, unit: 1}
}

func bucketOf(tokens float64) int {
	if tokens < 1 {
		return 0
	}
	b := int(math.Log2(tokens) * perDoubling)
	return min(b, buckets-1)
}

// Observe records the output length of a finished request, in tokens.
func (l *Lengths) Observe(tokens float64) {
	b := bucketOf(tokens)
	l.unit /= fade
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

// Rest returns the tokens still expected of a request that has produced n.
func (l *Lengths) Rest(n float64) float64 {
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
	rest := sum - n*count + prior*weight
	return max(rest/(count+weight), 1)
}
