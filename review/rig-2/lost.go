package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// lostEnd crashes one of seven runners that end their answers with the connection, while it sends streams that may be resumed.
func lostEnd(r *rig) {
	r.store.put("op/config", configuration(1))
	for i := range 7 {
		r.addRunner(fmt.Sprintf("i-%d", i), "raadgiver", zones[i%3], "--unframed")
	}
	r.addRouters(3)
	r.awaitReady()
	time.Sleep(settleTime)
	clients := r.openStreams()
	if r.trouble {
		time.Sleep(600 * time.Millisecond)
		r.crash(r.find(most(r.recorded(func(l line) bool { return l.What == "runs" }))))
	}
	clients.Wait()
}

// settleTime is how long the routers run before clients come.
const settleTime = 2 * time.Second

// openStreams opens streams that may be resumed, and records those that end as complete before their last event.
func (r *rig) openStreams() *sync.WaitGroup {
	clients := &sync.WaitGroup{}
	whole := wholeStream()
	for i := range 90 {
		clients.Go(func() {
			id := fmt.Sprintf("%08x", 0xa0000+i*257)
			got := r.call(r.routers[i%3], "POST", "/stream/resumable/x", id, 6*time.Second, "a prompt")
			if got.complete() && got.body != whole {
				r.breaks("ORDER: stream %s ends as complete after %d of %d events (ended by its connection: %t)",
					id, strings.Count(got.body, "\n\n"), streamEvents, got.unframed)
			}
		})
		time.Sleep(5 * time.Millisecond)
	}
	return clients
}
