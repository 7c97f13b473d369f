package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// The course of the case stale-pages.
const (
	staleMachines = 7
	fillers       = 505                     // runners of a service without traffic, so that the list has two pages
	staleBehind   = 3 * time.Second         // how old the first page of a stale list is
	drainTime     = 2 * time.Second         // drain_ms
	coldFor       = 12 * time.Second        // how long the runner that starts stays cold
	killAfter     = 1600 * time.Millisecond // from the drain to the kill
)

// farm listens for a number of runners that get no requests, and returns their addresses.
func farm(n int) []string {
	var out []string
	for range n {
		l, err := net.Listen("tcp", loopback)
		must(err)
		out = append(out, l.Addr().String())
		server := http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			w.WriteHeader(http.StatusMisdirectedRequest)
		})}
		go func() { _ = server.Serve(l) }()
	}
	return out
}

// entryOf returns the entry of a runner in the store.
func entryOf(service, address, zone, state string, cold time.Duration) []byte {
	value, _ := json.Marshal(map[string]any{
		"service": service, "address": address, "zone": zone, "version": "v1", "slots": 64, "state": state,
		"cold_remaining_ms": cold.Milliseconds(), "call_seq": 0,
	})
	return value
}

// stalePages drains a runner while another one starts, and kills one of seven machines 1.6 s later. The stale list that this
// machine reads as it starts has a first page from before the drain.
func stalePages(r *rig) {
	r.store.staleAge = func(string) time.Duration { return 0 }
	r.store.put("op/config", configuration(1))
	for i, address := range farm(fillers) {
		r.store.put(fmt.Sprintf("servers/i-m-%04d", i), entryOf("arkiv", address, zones[i%3], "ready", 0))
	}
	leaving := r.addRunner("i-a-leaves", "ligakontor", "hal-a")
	r.addRunner("i-a-stays", "ligakontor", "hal-b")
	r.addRunner("i-a-stays-too", "ligakontor", "hal-c")
	r.addRouters(staleMachines)
	r.awaitReady()
	time.Sleep(settleTime)
	starts := r.addRunner("i-z-starts", "raadgiver", "hal-b")
	stop := make(chan struct{})
	go r.beatCold(starts, stop)
	visits := r.visit(stop)
	time.Sleep(settleTime)
	r.store.put("servers/"+leaving.name, entryOf(leaving.service, leaving.address, leaving.zone, "draining", 0))
	drained := time.Now()
	r.note("store", "acknowledges", "", leaving.name+" is draining")
	time.Sleep(killAfter)
	if r.trouble {
		r.restartWithStaleList(r.routers[staleMachines-1])
	}
	time.Sleep(2500 * time.Millisecond)
	close(stop)
	sent := visits()
	for _, l := range r.recorded(func(l line) bool { return l.What == "runs" && l.Who == leaving.name }) {
		if at := time.UnixMilli(l.Unix); at.Sub(drained) > drainTime && sent[l.ID].Sub(drained) > drainTime {
			r.breaks("DRAIN: %s reaches %s %.2f s after its draining was acknowledged", l.ID, l.Who, at.Sub(drained).Seconds())
		}
	}
}

// restartWithStaleList kills the router of a machine and starts it again. From then on the first page of a stale list is old.
func (r *rig) restartWithStaleList(m *router) {
	r.store.mu.Lock()
	r.store.staleAge = func(after string) time.Duration {
		if after == "" {
			return staleBehind
		}
		return 0
	}
	r.store.mu.Unlock()
	r.signal(m, syscall.SIGKILL)
	<-m.process.ended
	time.Sleep(300 * time.Millisecond)
	r.startRouter(m)
}

// beatCold renews the entry of a runner that becomes warm, until stop is closed.
func (r *rig) beatCold(x *runner, stop chan struct{}) {
	beats := time.NewTicker(heartbeat)
	defer beats.Stop()
	for began := time.Now(); ; {
		cold := max(coldFor-time.Since(began), 0)
		r.store.put("servers/"+x.name, entryOf(x.service, x.address, x.zone, "ready", cold))
		select {
		case <-beats.C:
		case <-stop:
			return
		}
	}
}

// visit sends 200 requests a second through all machines but the last until stop is closed. The function returned waits for their
// answers, and returns when each was sent.
func (r *rig) visit(stop chan struct{}) func() map[string]time.Time {
	var clients sync.WaitGroup
	var mu sync.Mutex
	sent := map[string]time.Time{}
	clients.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
			clients.Go(func() {
				id := fmt.Sprintf("%08x", 0xc0000+i*257)
				mu.Lock()
				sent[id] = time.Now()
				mu.Unlock()
				r.call(r.routers[i%(staleMachines-1)], "GET", "/waiver/x", id, time.Second, "")
			})
		}
	})
	return func() map[string]time.Time {
		clients.Wait()
		return sent
	}
}
