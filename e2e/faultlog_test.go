package e2e

import (
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// minDrainTime is the shortest time for which a stopping router accepts requests.
	minDrainTime = 2300 * time.Millisecond
	// settleTime is how long a fault has effects after its end: routers receive the configuration, and a
	// router that was paused does the work that it missed.
	settleTime = 4 * time.Second
	// unbounded is longer than a soak.
	unbounded = 24 * time.Hour
)

// interval is a time in which connections may break.
type interval struct{ from, until time.Time }

// faultLog records the faults of a soak that may break connections or delay the configuration.
type faultLog struct {
	mu                   sync.Mutex
	disturbances         map[*router][]interval
	reached              map[*router]bool // accepted a connection; a starting router waits for the store first
	backendFaults        []time.Time      // when the behaviour of backend servers was changed
	configurationDelayed bool             // routers may receive the configuration late
	idleLimits           []idleLimit
}

// idleLimit is the idle limit of connections from a point in time on.
type idleLimit struct {
	from time.Time
	idle time.Duration
}

func (c *faultLog) add(r *router, s interval) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.disturbances == nil {
		c.disturbances = map[*router][]interval{}
	}
	c.disturbances[r] = append(c.disturbances[r], s)
}

// recordStop records a signal that ends a router. After SIGTERM a router still serves requests for minDrainTime.
func (c *faultLog) recordStop(r *router, signal syscall.Signal) {
	from := time.Now()
	if signal == syscall.SIGTERM {
		from = from.Add(minDrainTime)
	}
	c.add(r, interval{from, from.Add(unbounded)})
}

// recordReached records that a router accepted a connection.
func (c *faultLog) recordReached(r *router) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reached == nil {
		c.reached = map[*router]bool{}
	}
	c.reached[r] = true
}

func (c *faultLog) wasReached(r *router) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reached[r]
}

func (c *faultLog) recordPause(r *router) { c.add(r, interval{time.Now(), time.Now().Add(unbounded)}) }

func (c *faultLog) recordResume(r *router) {
	c.mu.Lock()
	defer c.mu.Unlock()
	intervals := c.disturbances[r]
	if n := len(intervals); n > 0 && time.Until(intervals[n-1].until) > settleTime {
		intervals[n-1].until = time.Now().Add(settleTime)
	}
}

func (c *faultLog) recordMisbehaviour() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.backendFaults = append(c.backendFaults, time.Now())
}

// recordConfigurationDelay records that from now on routers may receive the configuration late.
func (c *faultLog) recordConfigurationDelay() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.configurationDelayed = true
}

// recordIdleLimit records the idle limit of connections from now on.
func (c *faultLog) recordIdleLimit(idle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleLimits = append(c.idleLimits, idleLimit{time.Now(), idle})
}

// maxIdle returns how long a connection may be idle at any router. While some routers may have an older configuration,
// that is the smallest of all limits that may be in force.
func (c *faultLog) maxIdle() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	candidates := c.idleLimits
	if !c.configurationDelayed {
		recent := slices.IndexFunc(candidates, func(l idleLimit) bool { return time.Since(l.from) < settleTime })
		if recent < 0 {
			recent = len(candidates)
		}
		candidates = candidates[max(recent-1, 0):]
	}
	smallest := candidates[0].idle
	for _, l := range candidates {
		smallest = min(smallest, l.idle)
	}
	return smallest
}

// routerDisturbed reports whether a router was stopped or paused in a period.
func (c *faultLog) routerDisturbed(r *router, from, until time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.disturbances[r], func(s interval) bool { return s.from.Before(until) && from.Before(s.until) })
}

// backendMisbehaved reports whether a backend server may have broken off an answer before a point in time. A server
// keeps its behaviour until it is changed.
func (c *faultLog) backendMisbehaved(until time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.backendFaults) > 0 && c.backendFaults[0].Before(until)
}
