package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// line is a line of the record.
type line struct {
	Unix int64  `json:"unix_ms"`
	Who  string `json:"who"`
	What string `json:"what"`
	ID   string `json:"id,omitempty"`
	Text string `json:"text,omitempty"`
}

// process is a process that the rig has started.
type process struct {
	cmd   *exec.Cmd
	ended chan struct{}
	state string
}

// router is a machine of the system.
type router struct {
	name, zone, callers, ready, peers string
	door                              *door
	process                           *process
}

// runner is a runner and its entry in the store.
type runner struct {
	name, service, zone, address string
	process                      *process
}

// rig holds all that a case has started.
type rig struct {
	trouble bool
	store   *kvStore
	routers []*router
	runners []*runner
	dir     string
	broken  []string

	mu    sync.Mutex
	file  *os.File
	lines []line
	all   []*process
}

// problem ends a case that can't run.
type problem struct{ err error }

func newRig(folder string, trouble bool) (*rig, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "rig")
	if err != nil {
		return nil, err
	}
	return &rig{trouble: trouble, store: newStore(), file: file, dir: dir}, nil
}

// play plays a case, ends all processes, and returns the exit code.
func (r *rig) play(run func(*rig)) (code int) {
	defer func() {
		for _, p := range r.all {
			_ = p.cmd.Process.Kill()
			<-p.ended
		}
		_ = os.RemoveAll(r.dir)
		_ = r.file.Close()
	}()
	defer func() {
		if p := recover(); p != nil {
			failed, ok := p.(problem)
			if !ok {
				panic(p)
			}
			r.note("rig", "couldn't run", "", failed.err.Error())
			fmt.Println("couldn't run:", failed.err)
			code = exitNotRun
		}
	}()
	run(r)
	for _, text := range r.broken {
		r.note("rig", "broken", "", text)
	}
	fmt.Printf("rule broken %d times\n", len(r.broken))
	if len(r.broken) > 0 {
		fmt.Println("first:", r.broken[0])
		return exitBroken
	}
	return exitHeld
}

// must ends the case if err isn't nil.
func must(err error) {
	if err != nil {
		panic(problem{err})
	}
}

// breaks records that the rule was broken.
func (r *rig) breaks(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, fmt.Sprintf(format, args...))
}

// note writes a line of the record.
func (r *rig) note(who, what, id, text string) {
	r.add(line{Unix: time.Now().UnixMilli(), Who: who, What: what, ID: id, Text: text})
}

func (r *rig) add(l line) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, l)
	text, _ := json.Marshal(l)
	_, _ = r.file.Write(append(text, '\n'))
}

// recorded returns the lines of the record that match.
func (r *rig) recorded(match func(line) bool) []line {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []line
	for _, l := range r.lines {
		if match(l) {
			out = append(out, l)
		}
	}
	return out
}

// start starts a process and calls read with its standard output.
func (r *rig) start(cmd *exec.Cmd, read func(io.Reader)) *process {
	out, err := cmd.StdoutPipe()
	must(err)
	must(cmd.Start())
	p := &process{cmd: cmd, ended: make(chan struct{})}
	r.mu.Lock()
	r.all = append(r.all, p)
	r.mu.Unlock()
	go func() {
		read(out)
		_ = cmd.Wait()
		p.state = cmd.ProcessState.String()
		close(p.ended)
	}()
	return p
}

// hasEnded reports whether the process has ended.
func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// loopbackIP is the address that everything listens on, and loopback the same with any port.
var (
	loopbackIP = fmt.Sprintf("127.0.%d.1", 1+os.Getpid()%250)
	loopback   = loopbackIP + ":0"
)

// The ports of routers are below those that the kernel gives to connections and to listeners with any port.
const (
	firstPort = 10000
	lastPort  = 32000
)

// lastTried is the port that was last tried for a router.
var lastTried = firstPort + os.Getpid()*64%(lastPort-firstPort)

// freePort returns a loopback address with a port that is free for TCP and UDP, another one each time.
func freePort() string {
	for range lastPort - firstPort {
		lastTried++
		if lastTried > lastPort {
			lastTried = firstPort
		}
		address := fmt.Sprintf("%s:%d", loopbackIP, lastTried)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp", address)
		_ = l.Close()
		if err == nil {
			_ = u.Close()
			return address
		}
	}
	panic(problem{fmt.Errorf("no free port")})
}

// zones are the zones of the small deployment.
var zones = []string{"hal-a", "hal-b", "hal-c"}

// addRouters adds a number of machines and starts their routers.
func (r *rig) addRouters(n int) {
	for i := range n {
		d, err := newDoor(r.store)
		must(err)
		m := &router{
			name: fmt.Sprintf("front-%s-%d", zones[i%len(zones)], i/len(zones)+1), zone: zones[i%len(zones)],
			callers: freePort(), ready: freePort(), peers: freePort(), door: d,
		}
		r.routers = append(r.routers, m)
		r.startRouter(m)
	}
}

// startRouter starts the router of a machine with the command and the variables of deploy/system.toml.
func (r *rig) startRouter(m *router) {
	cmd := exec.Command("target/tamarindstepd")
	cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + r.dir,
		"TAMARINDSTEP_INTERFACE=platform", "TAMARINDSTEP_NAME=" + m.name, "TAMARINDSTEP_DATA_HALL=" + m.zone,
		"TAMARINDSTEP_CALLER_LISTEN=" + m.callers, "TAMARINDSTEP_ADMIN_LISTEN=" + m.ready,
		"TAMARINDSTEP_PEER_LISTEN=" + m.peers, "TAMARINDSTEP_STORE=" + m.door.address, "TAMARINDSTEP_STORE_WRITES=400",
		"TAMARINDSTEP_DRAIN_SECONDS=8", "TAMARINDSTEP_RETRY_RATIO=0.2", "TAMARINDSTEP_RETRY_SLACK=58",
		"TAMARINDSTEP_COLD_OVERSHOOT=", "TAMARINDSTEP_COLD_SLACK=", "TAMARINDSTEP_LOADS_BYTES=100000",
		"TAMARINDSTEP_PROCESSOR=0.4", "TAMARINDSTEP_FILES=4100", "TAMARINDSTEP_MEMORY_MB=284",
	}
	log, err := os.OpenFile(filepath.Join(r.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	m.process = r.start(cmd, func(out io.Reader) {
		_, _ = io.Copy(log, out)
		_ = log.Close()
	})
	r.note(m.name, "started", "", "")
}

// awaitReady waits until all routers are ready.
func (r *rig) awaitReady() {
	for _, m := range r.routers {
		r.await(m.name+" is ready", 20*time.Second, func() bool { return isReady(m) })
	}
}

func isReady(m *router) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + m.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// await waits until something has happened.
func (r *rig) await(what string, limit time.Duration, happened func() bool) {
	for end := time.Now().Add(limit); !happened(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			panic(problem{fmt.Errorf("not in time: %s", what)})
		}
	}
}

// heartbeat is how often a runner renews its entry; after lostBeats without one its entry goes.
const (
	heartbeat = 1200 * time.Millisecond
	lostBeats = 3
)

// addRunner starts a runner, which keeps itself in the store.
func (r *rig) addRunner(name, service, zone string, flags ...string) *runner {
	self, err := os.Executable()
	must(err)
	x := &runner{name: name, service: service, zone: zone}
	listens := make(chan string, 1)
	cmd := exec.Command(self, append([]string{"runner", "--name", name, "--listen", loopback}, flags...)...)
	x.process = r.start(cmd, func(out io.Reader) {
		for in := bufio.NewScanner(out); in.Scan(); {
			var l line
			if json.Unmarshal(in.Bytes(), &l) != nil {
				continue
			}
			if l.What == "listens" {
				listens <- l.Text
			}
			r.add(l)
		}
	})
	select {
	case x.address = <-listens:
	case <-time.After(5 * time.Second):
		panic(problem{fmt.Errorf("%s doesn't start", name)})
	}
	r.runners = append(r.runners, x)
	r.announce(x, "ready")
	return x
}

// announce writes a runner's entry.
func (r *rig) announce(x *runner, state string) {
	r.store.put("servers/"+x.name, entryOf(x.service, x.address, x.zone, state, 0))
}

// crash ends a runner without notice; its entry goes after three heartbeats of silence.
func (r *rig) crash(x *runner) {
	r.note("rig", "crashes runner", "", x.name)
	_ = x.process.cmd.Process.Signal(syscall.SIGKILL)
	time.AfterFunc(lostBeats*heartbeat, func() { r.store.remove("servers/" + x.name) })
}
