// Package retry limits retries of requests to a budget of the whole fleet,
// without coordination for each retry: a router may use its part of the fixed
// allowance, which is divided by the number of live routers, and a ratio of the
// requests that it has received itself.
package retry

import (
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

// Limits are the budget of the fleet.
type Limits struct {
	Ratio  float64       // retries per request
	Slack  float64       // retries in a window in addition to Ratio
	Window time.Duration // length of the sliding window; 0 for no limit
}

// margin is the fraction of the budget that is used: routers' counts of live routers
// differ for short times, and a restarted one has lost the count of its retries.
const margin = 0.6

// buckets is the number of parts of the window that are counted separately.
const buckets = 10

// Budget is one router's part of the fleet's budget, for each pool.
type Budget struct {
	limits  Limits
	routers int
	pools   map[model.PoolID]*counts
}

// counts holds the requests and retries of the last window, in a ring of buckets.
type counts struct {
	requests [buckets + 1]float64
	retries  [buckets + 1]float64
	newest   int64 // number of the newest bucket, from time 0
}

// New returns the budget of a router that is the only one.
func New(limits Limits) *Budget {
	return &Budget{limits: limits, routers: 1, pools: map[model.PoolID]*counts{}}
}

// SetRouters sets the number of live routers, this one included. The number never decreases: routers that are cut off
// from each other can't tell that from the others' end, and if each part of the fleet took over the other's part of the
// slack, both together would exceed the budget.
func (b *Budget) SetRouters(n int) { b.routers = max(n, b.routers) }

// CountRequest counts a request for a pool.
func (b *Budget) CountRequest(now model.Time, pool model.PoolID) {
	c := b.advance(now, pool)
	c.requests[c.newest%(buckets+1)]++
}

// TryTake uses one retry for a pool, and reports whether there was one left.
func (b *Budget) TryTake(now model.Time, pool model.PoolID) bool {
	if b.limits.Window <= 0 {
		return true
	}
	c := b.advance(now, pool)
	requests, retries := 0.0, 0.0
	for i := range c.requests {
		requests += c.requests[i]
		retries += c.retries[i]
	}
	allowed := margin * (b.limits.Ratio*requests + b.limits.Slack/float64(b.routers))
	if retries+1 > allowed {
		return false
	}
	c.retries[c.newest%(buckets+1)]++
	return true
}

// advance moves a pool's window to the given time and returns its counts.
func (b *Budget) advance(now model.Time, pool model.PoolID) *counts {
	c := b.pools[pool]
	if c == nil {
		c = &counts{}
		b.pools[pool] = c
	}
	width := max(b.limits.Window/buckets, 1)
	number := int64(now / width)
	for c.newest < number {
		c.newest = max(c.newest+1, number-buckets)
		c.requests[c.newest%(buckets+1)] = 0
		c.retries[c.newest%(buckets+1)] = 0
	}
	return c
}
