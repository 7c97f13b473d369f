package e2e

import (
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// lingers is how long a stopping router takes requests at the least.
	lingers = 2300 * time.Millisecond
	// settles is how long a fault is felt after its end: routers hear of a configuration, and what a
	// router put off while it was paused is done.
	settles = 4 * time.Second
	// endless is longer than a soak.
	endless = 24 * time.Hour
)

// span is a time in which connections may break.
type span struct{ from, until time.Time }

// causes is what a soak has done that may break connections, or delay what holds for them.
type causes struct {
	mu      sync.Mutex
	routers map[*router][]span
	listen  map[*router]bool // have been reached: one that starts waits for the store first
	servers []time.Time      // when backend servers began to misbehave, or stopped
	behind  bool             // routers may hear late of the configuration
	limits  []limit
}

// limit is how long connections might rest from a moment on.
type limit struct {
	from time.Time
	idle time.Duration
}

func (c *causes) note(r *router, s span) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.routers == nil {
		c.routers = map[*router][]span{}
	}
	c.routers[r] = append(c.routers[r], s)
}

// ends notes a signal that ends a router: one that stops in order serves what came before its end.
func (c *causes) ends(r *router, signal syscall.Signal) {
	from := time.Now()
	if signal == syscall.SIGTERM {
		from = from.Add(lingers)
	}
	c.note(r, span{from, from.Add(endless)})
}

// listens notes that a router was reached.
func (c *causes) listens(r *router) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.listen == nil {
		c.listen = map[*router]bool{}
	}
	c.listen[r] = true
}

func (c *causes) hasListened(r *router) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.listen[r]
}

func (c *causes) pauses(r *router) { c.note(r, span{time.Now(), time.Now().Add(endless)}) }

func (c *causes) resumes(r *router) {
	c.mu.Lock()
	defer c.mu.Unlock()
	spans := c.routers[r]
	if n := len(spans); n > 0 && time.Until(spans[n-1].until) > settles {
		spans[n-1].until = time.Now().Add(settles)
	}
}

func (c *causes) misbehaves() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.servers = append(c.servers, time.Now())
}

// lag notes that from now on routers may hear late of the configuration.
func (c *causes) lag() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.behind = true
}

// rests notes how long connections may rest from now on.
func (c *causes) rests(idle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits = append(c.limits, limit{time.Now(), idle})
}

// mayRest returns how long a connection may rest at any router: where some may not know what holds, the
// least of all limits that held before.
func (c *causes) mayRest() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.limits
	if !c.behind {
		recent := slices.IndexFunc(known, func(l limit) bool { return time.Since(l.from) < settles })
		if recent < 0 {
			recent = len(known)
		}
		known = known[max(recent-1, 0):]
	}
	least := known[0].idle
	for _, l := range known {
		least = min(least, l.idle)
	}
	return least
}

// disturbed tells whether a router was ended or paused in a time.
func (c *causes) disturbed(r *router, from, until time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.routers[r], func(s span) bool { return s.from.Before(until) && from.Before(s.until) })
}

// misbehaved tells whether a backend server may have broken off an answer that came in a time: one
// that began to misbehave before does so until it is told otherwise.
func (c *causes) misbehaved(until time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.servers) > 0 && c.servers[0].Before(until)
}
