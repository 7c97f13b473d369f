package drain

import (
	"maps"
	"time"
)

const (
	// period is how long the longest duration of a route is kept at least; it is kept for two periods at most.
	period = 30 * time.Second
	// pruneSize is the number of routes from which on those are removed that were last used before the last period:
	// routes come and go with the configuration.
	pruneSize = 1000
	// meanWeight is the weight of a new duration in the mean.
	meanWeight = 0.1
)

// Durations records how long requests take, by route. It is not safe for concurrent use.
type Durations struct {
	routes map[string]*durations
}

// durations are those of one route.
type durations struct {
	mean    time.Duration
	began   time.Duration // of the current period, by the caller's clock
	longest time.Duration // in the current period
	before  time.Duration // longest in the period before
}

// NewDurations returns an empty record.
func NewDurations() *Durations { return &Durations{routes: map[string]*durations{}} }

// Observe records a request that was answered at a time of the caller's clock and took a duration.
func (d *Durations) Observe(route string, now, took time.Duration) {
	r := d.routes[route]
	if r == nil {
		d.prune(now)
		r = &durations{mean: took, began: now}
		d.routes[route] = r
	}
	r.mean += time.Duration(meanWeight * float64(took-r.mean))
	if now-r.began >= period {
		r.before, r.longest, r.began = r.longest, 0, now
	}
	r.longest = max(r.longest, took)
}

// prune removes routes that aren't used any more, if there are many.
func (d *Durations) prune(now time.Duration) {
	if len(d.routes) < pruneSize {
		return
	}
	maps.DeleteFunc(d.routes, func(_ string, r *durations) bool { return now-r.began >= 2*period })
}

// Expected returns how long a request of a route is expected to take, 0 if none has been answered. For one that may be
// repeated it is the mean. For one that may run only once it is the longest of the last minute, as to be cut leaves its
// caller without a way to find out.
func (d *Durations) Expected(route string, repeatable bool) time.Duration {
	r := d.routes[route]
	switch {
	case r == nil:
		return 0
	case repeatable:
		return r.mean
	default:
		return max(r.longest, r.before)
	}
}
