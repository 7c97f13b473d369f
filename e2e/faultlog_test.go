package e2e

import (
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// lingers is how long a stopping router takes requests at the least.
	minDrainTime = 2300 * time.Millisecond
	// settles is how long a fault is felt after its end: routers hear of a configuration, and what a
	// router put off while it was paused is done.
	settleTime = 4 * time.Second
	// endless is longer than a soak.
	unbounded = 24 * time.Hour
)

// span is a time in which connections may break.
type interval struct{ from, until time.Time }

// causes is what a soak has done that may break connections, or delay what holds for them.
type faultLog struct {
	mu                   sync.Mutex
	disturbances         map[*router][]interval
	reached              map[*router]bool // have been reached: one that starts waits for the store first
	backendFaults        []time.Time      // when backend servers began to misbehave, or stopped
	configurationDelayed bool             // routers may hear late of the configuration
	idleLimits           []idleLimit
}

// limit is how long connections might rest from a moment on.
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

// ends notes a signal that ends a router: one that stops in order serves what came before its end.
func (c *faultLog) recordStop(r *router, signal syscall.Signal) {
	from := time.Now()
	if signal == syscall.SIGTERM {
		from = from.Add(minDrainTime)
	}
	c.add(r, interval{from, from.Add(unbounded)})
}

// listens notes that a router was reached.
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

// lag notes that from now on routers may hear late of the configuration.
func (c *faultLog) recordConfigurationDelay() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.configurationDelayed = true
}

// rests notes how long connections may rest from now on.
func (c *faultLog) recordIdleLimit(idle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleLimits = append(c.idleLimits, idleLimit{time.Now(), idle})
}

// mayRest returns how long a connection may rest at any router: where some may not know what holds, the
// least of all limits that held before.
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

// disturbed tells whether a router was ended or paused in a time.
func (c *faultLog) routerDisturbed(r *router, from, until time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.disturbances[r], func(s interval) bool { return s.from.Before(until) && from.Before(s.until) })
}

// misbehaved tells whether a backend server may have broken off an answer that came in a time: one
// that began to misbehave before does so until it is told otherwise.
func (c *faultLog) backendMisbehaved(until time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.backendFaults) > 0 && c.backendFaults[0].Before(until)
}
