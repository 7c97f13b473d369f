// Package retry keeps second sends of requests within a budget of the whole
// fleet, without a message for any of them: each router may use a part of the
// fixed allowance, by the number of live routers, and a share of the requests
// that it has received itself.
package retry

import (
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

// Limits are the budget of the fleet.
type Limits struct {
	Ratio  float64       // second sends for each request
	Slack  float64       // second sends beyond that in a window
	Window time.Duration // any span of that length counts
}

// margin is the part of the budget that is used: routers don't agree at every
// moment on how many of them are live, and a restarted one has forgotten what it
// has sent.
const margin = 0.6

// buckets is how many parts the window is counted in.
const buckets = 10

// Budget is one router's part of the budget, for each pool.
type Budget struct {
	limits  Limits
	routers int
	pools   map[model.PoolID]*counts
}

// counts holds what was sent in the last window, in a ring of buckets.
type counts struct {
	requests [buckets + 1]float64
	repeats  [buckets + 1]float64
	newest   int64 // number of the newest bucket since the start of time
}

// New returns the budget of a router that is alone.
func New(limits Limits) *Budget {
	return &Budget{limits: limits, routers: 1, pools: map[model.PoolID]*counts{}}
}

// SetRouters tells how many routers are live, this one included. Where some
// leave, the others go on with the smaller part until the window has passed.
func (b *Budget) SetRouters(n int) { b.routers = max(n, b.routers) }

// Request counts a request for a pool.
func (b *Budget) Request(now model.Time, pool model.PoolID) {
	c := b.at(now, pool)
	c.requests[c.newest%(buckets+1)]++
}

// Take uses up one second send to a pool, and tells whether there was one left.
func (b *Budget) Take(now model.Time, pool model.PoolID) bool {
	if b.limits.Window <= 0 {
		return true
	}
	c := b.at(now, pool)
	requests, repeats := 0.0, 0.0
	for i := range c.requests {
		requests += c.requests[i]
		repeats += c.repeats[i]
	}
	allowed := margin * (b.limits.Ratio*requests + b.limits.Slack/float64(b.routers))
	if repeats+1 > allowed {
		return false
	}
	c.repeats[c.newest%(buckets+1)]++
	return true
}

// at returns a pool's counts with the window moved on.
func (b *Budget) at(now model.Time, pool model.PoolID) *counts {
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
		c.repeats[c.newest%(buckets+1)] = 0
	}
	return c
}
