package e2e

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/tamarindstep/tamarindstep/internal/judge"
	"github.com/tamarindstep/tamarindstep/internal/standin/users"
)

const (
	// processServers is the number of servers of each pool.
	processServers = 4
	// processEvents is the number of events of a stream, processGap the time between two.
	processEvents = 12
	processGap    = 60 * time.Millisecond
	// processHalf is the pause between the halves of a plain answer.
	processHalf = 80 * time.Millisecond
	// processCallers is the number of callers that send one request after the other.
	processCallers = 24
	// reuseAfter is how long after its end a server's address is used again at the earliest.
	reuseAfter = 2 * time.Second
	// learnTime is how long the routers have to learn of the servers.
	learnTime = 2 * time.Second
	// entryLag is how long the entry of a server that has crashed remains.
	entryLag = 700 * time.Millisecond
)

// serverProcess is a backend server that is a process of its own.
type serverProcess struct {
	name, pool string
	cmd        *exec.Cmd
	exited     chan struct{}
	address    string
}

// processSoak is a fleet whose backend servers are processes of their own, which are killed, stopped and replaced.
type processSoak struct {
	*platform
	random *rand.Rand

	mu      sync.Mutex
	servers []*serverProcess
	runs    map[string]int
	seen    []judge.Request
	started int
}

// drawFramings draws how a server marks the ends of its answers: in one way, or in several.
func (s *processSoak) drawFramings() string {
	all := []string{"sized", "chunked", "open"}
	s.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return strings.Join(all[:1+s.random.IntN(len(all))], ",")
}

// startServer starts a server of a pool at an address.
func (s *processSoak) startServer(pool, listen string) {
	s.mu.Lock()
	s.started++
	x := &serverProcess{name: fmt.Sprintf("process-%d", s.started), pool: pool, exited: make(chan struct{})}
	s.mu.Unlock()
	args := []string{"backend", "--listen", listen, "--name", x.name, "--pool", pool, "--framings", s.drawFramings()}
	if pool == "engines" {
		args = append(args, "--events", fmt.Sprint(processEvents), "--gap", processGap.String())
	} else {
		args = append(args, "--half-pause", processHalf.String())
	}
	x.cmd = exec.Command(standinBinary, args...)
	out, err := x.cmd.StdoutPipe()
	s.is.NoErr(err)
	s.is.NoErr(x.cmd.Start())
	s.t.Cleanup(func() { _ = x.cmd.Process.Kill(); <-x.exited })
	lines := bufio.NewScanner(out)
	var first users.ProcessLine
	if lines.Scan() {
		_ = json.Unmarshal(lines.Bytes(), &first)
	}
	go s.record(x, lines)
	var entry struct {
		Address string `json:"address"`
	}
	if json.Unmarshal(first.Entry, &entry) != nil {
		return // its address is used
	}
	x.address = entry.Address
	s.store.Put("servers/"+x.name, first.Entry)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers = append(s.servers, x)
}

// record records the runs of a server until it has ended.
func (s *processSoak) record(x *serverProcess, lines *bufio.Scanner) {
	defer close(x.exited)
	for lines.Scan() {
		var line users.ProcessLine
		if json.Unmarshal(lines.Bytes(), &line) != nil || line.Run == "" {
			continue
		}
		s.mu.Lock()
		s.runs[line.Run]++
		s.mu.Unlock()
	}
	_ = x.cmd.Wait()
}

// callUntil sends requests one after the other until a time.
func (s *processSoak) callUntil(until time.Time, caller int) {
	random := rand.New(rand.NewPCG(uint64(caller), 7))
	for time.Now().Before(until) {
		path := []string{"/review/1", "/review/2", "/chat/1", "/claim/1", "/look/1"}[random.IntN(5)]
		r := s.request("POST", path)
		got := users.Call(s.routerAt(random.IntN(len(s.routers))).callers, r)
		out := judge.Request{
			ID: r.ID, Once: strings.HasPrefix(path, "/claim") || strings.HasPrefix(path, "/chat"),
			Body:   "the whole answer",
			Answer: judge.Answer{Status: got.Status, ID: got.ID, Body: got.Body, Broken: got.Err != nil},
		}
		if strings.HasPrefix(path, "/review") || strings.HasPrefix(path, "/chat") {
			out.Events = processEvents
		}
		s.mu.Lock()
		s.seen = append(s.seen, out)
		s.mu.Unlock()
	}
}

// disturb kills, stops and replaces servers until a time. Addresses are used again, by servers of another pool.
func (s *processSoak) disturb(until time.Time) {
	var left []leftAddress
	for time.Now().Before(until) {
		time.Sleep(time.Duration(200+s.random.IntN(400)) * time.Millisecond)
		s.mu.Lock()
		x := s.servers[s.random.IntN(len(s.servers))]
		s.mu.Unlock()
		if s.random.IntN(4) == 0 {
			_ = x.cmd.Process.Signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(50+s.random.IntN(300)) * time.Millisecond)
			_ = x.cmd.Process.Signal(syscall.SIGCONT)
			continue
		}
		s.crash(x)
		s.startServer(x.pool, "127.0.0.1:0")
		left = append(left, leftAddress{x, time.Now()})
		if first := left[0]; time.Since(first.at) >= reuseAfter {
			left = left[1:]
			s.startServer(otherPool(first.by.pool), first.by.address)
		}
	}
}

// leftAddress is the address of a server that has crashed.
type leftAddress struct {
	by *serverProcess
	at time.Time
}

// otherPool returns the pool that uses the addresses of a pool's servers again.
func otherPool(pool string) string {
	if pool == "engines" {
		return "entries"
	}
	return "engines"
}

// crash kills a server, whose entry remains for a while.
func (s *processSoak) crash(x *serverProcess) {
	s.mu.Lock()
	s.servers = slices.DeleteFunc(s.servers, func(other *serverProcess) bool { return other == x })
	s.mu.Unlock()
	_ = x.cmd.Process.Kill()
	time.AfterFunc(entryLag, func() { s.store.Remove("servers/" + x.name) })
}

// TestSoakProcesses guards against answers of servers that crash being taken for whole ones, joined wrongly, or refused as
// not run: the servers are processes, whose connections the kernel closes when they are killed, and mark the ends of their
// answers in different ways within one pool.
func TestSoakProcesses(t *testing.T) {
	for seed := *soakSeed; seed < *soakSeed+uint64(*soakSeeds); seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			runProcessSoak(t, seed)
		})
	}
}

func runProcessSoak(t *testing.T, seed uint64) {
	s := &processSoak{platform: newPlatform(t, *soakRouters), random: rand.New(rand.NewPCG(seed, 88)), runs: map[string]int{}}
	for range processServers {
		s.startServer("engines", "127.0.0.1:0")
		s.startServer("entries", "127.0.0.1:0")
	}
	for _, b := range append(slices.Clone(s.engines), s.services...) {
		s.store.Remove("servers/" + b.Name)
	}
	time.Sleep(learnTime)
	until := time.Now().Add(time.Duration(*soakSeconds) * time.Second)
	var callers sync.WaitGroup
	for caller := range processCallers {
		callers.Go(func() { s.callUntil(until, caller) })
	}
	s.disturb(until)
	callers.Wait()
	s.judge(t)
}

// judge reports each broken rule, and checks that the soak showed something.
func (s *processSoak) judge(t *testing.T) {
	time.Sleep(100 * time.Millisecond) // until the last runs are recorded
	s.mu.Lock()
	defer s.mu.Unlock()
	whole := 0
	for _, r := range s.seen {
		r.Runs = s.runs[r.ID]
		if r.Answer.Status == 200 && !r.Answer.Broken {
			whole++
		}
		for _, breach := range judge.Check(r) {
			t.Errorf("%v: %s", breach, linesOf(r.ID, s.logFiles...))
		}
	}
	t.Logf("%d requests, %d whole answers, %d servers started", len(s.seen), whole, s.started)
	if whole < len(s.seen)/4 {
		t.Errorf("only %d of %d requests got a whole answer", whole, len(s.seen))
	}
}
