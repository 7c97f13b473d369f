package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// The course of the case hup-while-starting.
const (
	hupMachines = 9
	hupCount    = 3
	// turnedAwayFor is how long the store turns two machines away: at most 9 s in the site file.
	turnedAwayFor   = 9 * time.Second
	turnedAwayAfter = 2 * time.Second // after the first SIGTERM
	restartDelay    = 500 * time.Millisecond
)

// hupWhileStarting restarts two of nine machines in turn, as planned work, while the store turns these two away, and sends
// them SIGHUP while they start. A process that ends by itself is started again.
func hupWhileStarting(r *rig) {
	r.store.put("op/config", configuration(1))
	for i := range 3 {
		r.addRunner(fmt.Sprintf("i-%d", i), "ligakontor", zones[i])
	}
	r.addRouters(hupMachines)
	r.awaitReady()
	time.Sleep(settleTime)
	struck := r.routers[:2]
	began := time.Now()
	if r.trouble {
		time.AfterFunc(turnedAwayAfter, func() { r.shutDoors(struck, true) })
		time.AfterFunc(turnedAwayAfter+turnedAwayFor, func() { r.shutDoors(struck, false) })
	}
	var stops sync.WaitGroup
	for i, m := range struck {
		stops.Go(func() {
			time.Sleep(time.Duration(i) * 1300 * time.Millisecond)
			r.signal(m, syscall.SIGTERM)
			<-m.process.ended
			r.note(m.name, "ended", "", "after SIGTERM: "+m.process.state)
			time.Sleep(restartDelay)
			r.startRouter(m)
		})
	}
	stops.Wait()
	ends := map[string]int{}
	for n := range hupCount {
		time.Sleep(time.Second)
		for _, m := range struck {
			r.signal(m, syscall.SIGHUP)
		}
		time.Sleep(restartDelay)
		for _, m := range struck {
			if m.process.hasEnded() {
				ends[m.name]++
				r.note(m.name, "ended", "", fmt.Sprintf("by itself, after SIGHUP %d: %s", n+1, m.process.state))
				r.startRouter(m)
			}
		}
	}
	r.note("rig", "course", "", fmt.Sprintf("%v from the first SIGTERM to the end of the last SIGHUP", time.Since(began)))
	if often := countOf(ends, hupCount); often >= 2 {
		r.breaks("Fault: on %d of %d machines, processes ended by themselves %d times", often, hupMachines, hupCount)
	}
	r.awaitReady()
}

// shutDoors makes the store turn machines away, or serve them again.
func (r *rig) shutDoors(machines []*router, shut bool) {
	what := map[bool]string{true: "turns away", false: "serves again"}[shut]
	for _, m := range machines {
		m.door.setShut(shut)
		r.note("store", what, "", m.name)
	}
}

// countOf returns how many counts reach a limit.
func countOf(counts map[string]int, limit int) int {
	n := 0
	for _, c := range counts {
		if c >= limit {
			n++
		}
	}
	return n
}

// signal sends a signal to a machine's process.
func (r *rig) signal(m *router, s syscall.Signal) {
	r.note("platform", "sends "+s.String(), "", m.name)
	_ = m.process.cmd.Process.Signal(s)
}
