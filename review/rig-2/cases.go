package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// cases are the cases by name.
var cases = map[string]func(*rig){
	"joined-framing":     joinedFraming,
	"cut-unframed":       cutUnframed,
	"hup-while-starting": hupWhileStarting,
	"lost-end":           lostEnd,
	"stale-pages":        stalePages,
}

// wholeStream returns the body of a whole stream.
func wholeStream() string {
	var out strings.Builder
	for n := 1; n <= streamEvents; n++ {
		out.WriteString(event(n))
	}
	return out.String()
}

// most returns the runner of some lines that has the most of them, "" for none.
func most(lines []line) string {
	counts, best := map[string]int{}, ""
	for _, l := range lines {
		counts[l.Who]++
		if counts[l.Who] > counts[best] {
			best = l.Who
		}
	}
	return best
}

// find returns a runner by name.
func (r *rig) find(name string) *runner {
	for _, x := range r.runners {
		if x.name == name {
			return x
		}
	}
	panic(problem{fmt.Errorf("no runner %q", name)})
}

// joinedFraming crashes one of seven runners whose streams come in chunks, and 1.2 s later one of those that end their answers
// with the connection and at which streams of the first go on.
func joinedFraming(r *rig) {
	r.store.put("op/config", configuration(1))
	for i := range 7 {
		var flags []string
		kind := "chunked"
		if i >= 2 {
			flags, kind = []string{"--unframed"}, "unframed"
		}
		r.addRunner(fmt.Sprintf("i-%s-%d", kind, i), "raadgiver", zones[i%3], flags...)
	}
	r.addRouters(3)
	r.awaitReady()
	time.Sleep(settleTime)
	clients := r.openStreams()
	if r.trouble {
		time.Sleep(600 * time.Millisecond)
		first := most(r.recorded(func(l line) bool { return l.What == "runs" && strings.HasPrefix(l.Who, "i-chunked") }))
		r.crash(r.find(first))
		time.Sleep(1200 * time.Millisecond)
		second := most(r.recorded(func(l line) bool {
			return l.What == "runs" && strings.HasPrefix(l.Who, "i-unframed") && l.Text != "after event "
		}))
		r.crash(r.find(second))
	}
	clients.Wait()
}

// halfAnswered returns the answers of which the first half has been sent, and not the rest.
func (r *rig) halfAnswered() []line {
	ended := map[string]bool{}
	for _, l := range r.recorded(func(l line) bool { return l.What == "ends" }) {
		ended[l.ID] = true
	}
	return r.recorded(func(l line) bool { return l.What == "sent" && !ended[l.ID] })
}

// cutUnframed crashes one of seven runners that end their answers with the connection.
func cutUnframed(r *rig) {
	r.store.put("op/config", configuration(1))
	for i := range 7 {
		r.addRunner(fmt.Sprintf("i-%d", i), "ligakontor", zones[i%3], "--unframed")
	}
	r.addRouters(3)
	r.awaitReady()
	time.Sleep(settleTime)
	var clients sync.WaitGroup
	for i := range 400 {
		clients.Go(func() {
			id := fmt.Sprintf("%08x", 0xb0000+i*257)
			got := r.call(r.routers[i%3], "POST", "/lineup/x", id, time.Second, "a lineup")
			if got.complete() && got.body != plainText(id) {
				r.breaks("MIXED: the client of %s gets 200 with the seal %q and %d of %d bytes, ended in order",
					id, got.seal, len(got.body), len(plainText(id)))
			}
		})
		time.Sleep(5 * time.Millisecond)
		if r.trouble && i == 200 {
			r.crash(r.find(most(r.halfAnswered())))
		}
	}
	clients.Wait()
}
