// Command drain plays case 3: a runner leaves in the same second in which the entries of crashed ones go.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tamarindstep/tamarindstep/review/kit"
)

const (
	key        = "asnmgkcuyj8pjbvk9m68"
	drainBound = 2000 * time.Millisecond // the bound drain_ms
	// servesOn is how long the leaving runner serves after its entry has gone: drain_ms and a little longer.
	servesOn = drainBound + 600*time.Millisecond
	// silence is how long after its last sign an entry of a crashed runner goes: three heartbeats of 1,200 ms.
	silence = 3600 * time.Millisecond
	// later is how much later those of the model service crash.
	later   = 1200 * time.Millisecond
	clients = 8 // of each router, one request at a time each
)

// sent is one request as its client saw it.
type sent struct {
	id     string
	status int // 0 for none
	whole  bool
}

type play struct {
	lab     *kit.Lab
	routers []*kit.Router
	entries []*kit.Runner // of the application service
	models  []*kit.Runner
	stop    atomic.Bool
	mu      sync.Mutex
	all     []sent
	running sync.WaitGroup
}

func main() { os.Exit(run()) }

func run() int {
	lab, err := kit.New()
	if err != nil {
		fmt.Println("can't run:", err)
		return kit.Unusable
	}
	defer lab.Close()
	p := &play{lab: lab}
	if err := p.start(); err != nil {
		lab.Say("can't run: %v", err)
		return kit.Unusable
	}
	for _, r := range p.routers {
		for range clients {
			p.client(r)
		}
	}
	time.Sleep(6 * time.Second) // every router counts as in touch, the store as stable
	gone := p.disrupt()
	p.stop.Store(true)
	p.running.Wait()
	return p.judge(gone)
}

func (p *play) start() error {
	p.lab.Configure(kit.Config{
		Version: 3,
		Routes: []kit.Route{
			{Name: "season-review", Path: "/lohu930/", Kind: "streaming", Service: "raadgiver", Attempts: 1, Timeout: 12 * time.Second, Objective: 800 * time.Millisecond, Priority: 1},
			{Name: "lineup-submit", Path: "/puxa403/", Kind: "unsafe", Service: "ligakontor", Attempts: 1, Timeout: time.Second, Objective: 150 * time.Millisecond, Priority: 2},
		},
		Services: []kit.Service{{Name: "raadgiver", Slots: 64, MaxConns: 370, Engine: true}, {Name: "ligakontor", Slots: 6, MaxConns: 110}},
		Tenants:  []kit.Tenant{{Name: "hule930", Keys: []string{key}}},
	})
	for i := range 8 {
		r, err := p.lab.StartRunner(fmt.Sprintf("i-02d9e6%02x", i), "ligakontor", zone(i), 6, answer)
		if err != nil {
			return err
		}
		p.entries = append(p.entries, r)
	}
	for i := range 4 {
		r, err := p.lab.StartRunner(fmt.Sprintf("i-7f3a91%02x", i), "raadgiver", zone(i), 64, answer)
		if err != nil {
			return err
		}
		p.models = append(p.models, r)
	}
	for i := range 3 {
		r, err := p.lab.StartRouter(fmt.Sprintf("front-%s-1", zone(i)), zone(i), kit.Small)
		if err != nil {
			return err
		}
		p.routers = append(p.routers, r)
	}
	return p.lab.AwaitReady(15 * time.Second)
}

func zone(i int) string { return "hal-" + string(rune('a'+i%3)) }

// answer answers after the work of 60 ms.
func answer(r *kit.Runner, c *kit.Call) {
	time.Sleep(60 * time.Millisecond)
	r.Answer(c, "entered")
}

// disrupt lets one application runner leave that never says that it is draining. With the disruption, half of the
// runners of each service crash before, so that their entries go by silence: those of the application service at the time
// at which that runner leaves, those of the model service a little later. It returns when the entry of the one that
// leaves had gone.
func (p *play) disrupt() time.Time {
	leaving := p.entries[7]
	if p.lab.Trouble {
		p.crash(p.entries[:4])
	}
	time.Sleep(later)
	if p.lab.Trouble {
		p.crash(p.models[:2])
	}
	time.Sleep(silence - later - 50*time.Millisecond)
	if p.lab.Trouble {
		p.goes(p.entries[0])
	}
	time.Sleep(50 * time.Millisecond)
	if p.lab.Trouble {
		for _, r := range p.entries[1:4] {
			p.goes(r)
		}
	}
	p.goes(leaving)
	gone := time.Now()
	p.lab.Say("%s leaves without a word: its entry has gone, and it serves on for %v", leaving.ID, servesOn)
	if p.lab.Trouble {
		time.Sleep(later - 50*time.Millisecond)
		// The first of those that crashed is back, as a new incarnation.
		if _, err := p.lab.StartRunner("i-02d9e6f0", "ligakontor", zone(0), 6, answer); err != nil {
			p.lab.Say("the runner did not come back: %v", err)
		}
		time.Sleep(50 * time.Millisecond)
		for _, r := range p.models[:2] {
			p.goes(r)
		}
	}
	time.Sleep(time.Until(gone.Add(servesOn)))
	p.lab.Say("%s ends", leaving.ID)
	leaving.Crash()
	time.Sleep(2 * time.Second)
	return gone
}

func (p *play) crash(runners []*kit.Runner) {
	for _, r := range runners {
		p.lab.Say("%s (%s) crashes", r.ID, r.Service)
		r.Crash()
	}
}

func (p *play) goes(r *kit.Runner) {
	r.RemoveEntry()
	p.lab.Record("store: the entry of %s (%s) has gone", r.ID, r.Service)
}

// client sends one request after the other, on a connection that it keeps.
func (p *play) client(router *kit.Router) {
	p.running.Go(func() {
		var conn net.Conn
		var reader *bufio.Reader
		for !p.stop.Load() {
			if conn == nil {
				var err error
				if conn, err = net.DialTimeout("tcp", router.Callers, time.Second); err != nil {
					conn = nil
					time.Sleep(100 * time.Millisecond)
					continue
				}
				reader = bufio.NewReader(conn)
			}
			s := sent{id: p.lab.NextID()}
			keep := p.exchange(router, conn, reader, &s)
			p.mu.Lock()
			p.all = append(p.all, s)
			p.mu.Unlock()
			if !keep {
				_ = conn.Close()
				conn = nil
			}
			time.Sleep(30 * time.Millisecond)
		}
		if conn != nil {
			_ = conn.Close()
		}
	})
}

// exchange sends one request and reads the answer. It returns whether the connection may be kept.
func (p *play) exchange(router *kit.Router, conn net.Conn, reader *bufio.Reader, s *sent) bool {
	p.lab.Record("client sends %s to %s", s.id, router.Name)
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	const body = "a lineup"
	if _, err := fmt.Fprintf(conn, "POST /puxa403/2f HTTP/1.1\r\nHost: %s\r\nTamarindstep-Request-Id: %s\r\n"+
		"Tamarindstep-Request-Deadline-Ms: 1000\r\nTamarindstep-Key: %s\r\nContent-Length: %d\r\n\r\n%s",
		kit.Host, s.id, key, len(body), body); err != nil {
		p.lab.Record("client can't send %s: %v", s.id, err)
		return false
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		p.lab.Record("client gets no answer to %s: %v", s.id, err)
		return false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	s.status, s.whole = resp.StatusCode, err == nil
	p.lab.Record("client gets %d for %s, whole: %v", s.status, s.id, s.whole)
	return s.whole && !resp.Close
}

// judge applies the rule.
func (p *play) judge(gone time.Time) int {
	served := 0
	status := map[string]int{}
	for _, s := range p.all {
		status[s.id] = s.status
		if s.status == http.StatusOK && s.whole {
			served++
		}
	}
	late, lost := 0, 0
	leaving := p.entries[7]
	ids, at := leaving.Arrivals()
	var last time.Duration
	for _, id := range ids {
		after := at[id].Sub(gone)
		last = max(last, after)
		if after <= drainBound {
			continue
		}
		late++
		p.lab.Record("DRAIN: %s reached %s %d ms after its entry had gone (bound %d ms); its client got %d", id, leaving.ID, after.Milliseconds(), drainBound.Milliseconds(), status[id])
		if status[id] != http.StatusOK {
			lost++
		}
	}
	p.lab.Say("requests: %d of %d answered with 200; the last one reached %s %d ms after its entry had gone", served, len(p.all), leaving.ID, last.Milliseconds())
	p.lab.Say("%d reached it later than %d ms; %d of these, which can't be repeated, were not answered with 200", late, drainBound.Milliseconds(), lost)
	switch {
	case served == 0 || len(ids) == 0:
		p.lab.Say("can't run: nothing was served, or nothing by the runner that leaves")
		return kit.Unusable
	case late > 0:
		p.lab.Say("rule broken: DRAIN")
		return kit.Broken
	}
	p.lab.Say("rule held")
	return kit.Held
}
