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

func (f *faultLog) add(r *router, period interval) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.disturbances == nil {
		f.disturbances = map[*router][]interval{}
	}
	f.disturbances[r] = append(f.disturbances[r], period)
}

// recordStop records a signal that ends a router. After SIGTERM a router still serves requests for minDrainTime.
func (f *faultLog) recordStop(r *router, signal syscall.Signal) {
	from := time.Now()
	if signal == syscall.SIGTERM {
		from = from.Add(minDrainTime)
	}
	f.add(r, interval{from, from.Add(unbounded)})
}

// recordReached records that a router accepted a connection.
func (f *faultLog) recordReached(r *router) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reached == nil {
		f.reached = map[*router]bool{}
	}
	f.reached[r] = true
}

func (f *faultLog) wasReached(r *router) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reached[r]
}

func (f *faultLog) recordPause(r *router) { f.add(r, interval{time.Now(), time.Now().Add(unbounded)}) }

func (f *faultLog) recordResume(r *router) {
	f.mu.Lock()
	defer f.mu.Unlock()
	intervals := f.disturbances[r]
	if n := len(intervals); n > 0 && time.Until(intervals[n-1].until) > settleTime {
		intervals[n-1].until = time.Now().Add(settleTime)
	}
}

func (f *faultLog) recordMisbehaviour() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.backendFaults = append(f.backendFaults, time.Now())
}

// recordConfigurationDelay records that from now on routers may receive the configuration late.
func (f *faultLog) recordConfigurationDelay() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.configurationDelayed = true
}

// recordIdleLimit records the idle limit of connections from now on.
func (f *faultLog) recordIdleLimit(idle time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.idleLimits = append(f.idleLimits, idleLimit{time.Now(), idle})
}

// maxIdle returns how long a connection may be idle at any router. While some routers may have an older configuration,
// that is the smallest of all limits that may be in force.
func (f *faultLog) maxIdle() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	candidates := f.idleLimits
	if !f.configurationDelayed {
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
func (f *faultLog) routerDisturbed(r *router, from, until time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.disturbances[r], func(period interval) bool { return period.from.Before(until) && from.Before(period.until) })
}

// backendMisbehaved reports whether a backend server may have broken off an answer before a point in time. A server
// keeps its behaviour until it is changed.
func (f *faultLog) backendMisbehaved(until time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.backendFaults) > 0 && f.backendFaults[0].Before(until)
}
