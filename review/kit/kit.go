// Package kit holds what the cases of the review share: the start of routers with the commands of the deploy file,
// runners that speak the users' protocol, and the record of what was sent, answered and run.
package kit

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/tamarindstep/tamarindstep/internal/standin/users"
)

// Exit codes of a case.
const (
	Held     = 0
	Broken   = 1
	Unusable = 2
)

// Lab is one run of a case.
type Lab struct {
	Dir     string // temporary folder
	Store   *users.Store
	Trouble bool
	Began   time.Time

	mu      sync.Mutex
	record  *os.File
	routers []*Router
	runners []*Runner
	last    atomic.Int64
}

// New opens the record and a temporary folder. The disruption is left out with TROUBLE=0.
func New() (*Lab, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		return nil, err
	}
	l := &Lab{Dir: dir, Store: users.NewStore(), Trouble: os.Getenv("TROUBLE") != "0", Began: time.Now(), record: record}
	go l.watchdog()
	return l, nil
}

// longest is how long a case may run.
const longest = 110 * time.Second

// watchdog ends the case, and all processes that it started, on a signal or after too long.
func (l *Lab) watchdog() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case <-signals:
	case <-time.After(longest):
	}
	l.Say("can't run: ended by a signal, or after %v", longest)
	l.Close()
	os.Exit(Unusable)
}

// Record writes a line with the time since the beginning.
func (l *Lab) Record(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = fmt.Fprintf(l.record, "%8.3f  %s\n", time.Since(l.Began).Seconds(), fmt.Sprintf(format, args...))
}

// Say writes a line to the record and to standard output.
func (l *Lab) Say(format string, args ...any) {
	l.Record(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Close ends all processes and deletes the temporary folder.
func (l *Lab) Close() {
	for _, r := range l.routers {
		r.Kill()
	}
	for _, r := range l.runners {
		r.Crash()
	}
	l.Store.Close()
	_ = l.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.Dir)
	}
}

// NextID returns a request identifier that was not used before.
func (l *Lab) NextID() string { return fmt.Sprintf("9c41%012x", l.last.Add(1)) }

// FreePort returns a free loopback address.
func FreePort() string {
	c, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return ""
	}
	defer func() { _ = c.Close() }()
	return c.Addr().String()
}

// Machine is the size of a router's machine.
type Machine struct {
	CPUShare float64
	MemoryMB int
	Files    int
}

// Small is the machine of the small sites.
var Small = Machine{CPUShare: 0.4, MemoryMB: 284, Files: 4100}

// Router is one router process.
type Router struct {
	Name, Hall                 string
	Callers, Admin, Peers, Log string
	lab                        *Lab
	machine                    Machine
	store                      string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// StartRouter starts a router with the environment of the deploy file.
func (l *Lab) StartRouter(name, hall string, machine Machine) (*Router, error) {
	r := &Router{
		Name: name, Hall: hall, Callers: FreePort(), Admin: FreePort(), Peers: FreePort(),
		Log: filepath.Join(l.Dir, name+".log"), lab: l, machine: machine, store: l.Store.NewEndpoint().Address(),
	}
	l.routers = append(l.routers, r)
	return r, r.Start()
}

// Start starts the process, also again.
func (r *Router) Start() error {
	log, err := os.OpenFile(r.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(os.Getenv("ROUTER"))
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + r.lab.Dir,
		"TAMARINDSTEP_INTERFACE=platform",
		"TAMARINDSTEP_NAME=" + r.Name,
		"TAMARINDSTEP_DATA_HALL=" + r.Hall,
		"TAMARINDSTEP_CALLER_LISTEN=" + r.Callers,
		"TAMARINDSTEP_ADMIN_LISTEN=" + r.Admin,
		"TAMARINDSTEP_PEER_LISTEN=" + r.Peers,
		"TAMARINDSTEP_STORE=" + r.store,
		"TAMARINDSTEP_STORE_WRITES=400",
		"TAMARINDSTEP_DRAIN_SECONDS=8",
		"TAMARINDSTEP_RETRY_RATIO=0.2",
		"TAMARINDSTEP_RETRY_SLACK=58",
		"TAMARINDSTEP_COLD_OVERSHOOT=",
		"TAMARINDSTEP_COLD_SLACK=",
		"TAMARINDSTEP_LOADS_BYTES=100000",
		"TAMARINDSTEP_PROCESSOR=" + strconv.FormatFloat(r.machine.CPUShare, 'f', -1, 64),
		"TAMARINDSTEP_FILES=" + strconv.Itoa(r.machine.Files),
		"TAMARINDSTEP_MEMORY_MB=" + strconv.Itoa(r.machine.MemoryMB),
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	r.mu.Lock()
	r.cmd, r.exited = cmd, exited
	r.mu.Unlock()
	go func() { _ = cmd.Wait(); close(exited) }()
	return nil
}

// PID returns the identifier of the current process.
func (r *Router) PID() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cmd.Process.Pid
}

// Signal sends a signal to the process.
func (r *Router) Signal(s syscall.Signal) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cmd.Process.Signal(s)
}

// Exited is closed once the current process has ended.
func (r *Router) Exited() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.exited
}

// Kill kills the process and waits for its end.
func (r *Router) Kill() {
	if r.cmd == nil {
		return
	}
	_ = r.Signal(syscall.SIGKILL)
	<-r.Exited()
}

// ResidentMB returns the resident memory of the process in MB, 0 if it has ended.
func (r *Router) ResidentMB() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.PID()))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb / 1024
		}
	}
	return 0
}

// Ready reports whether the router answers the platform's question with 200 within a second.
func (r *Router) Ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + r.Admin + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// AwaitReady waits until all routers are ready.
func (l *Lab) AwaitReady(within time.Duration) error {
	until := time.Now().Add(within)
	for _, r := range l.routers {
		for !r.Ready() {
			if time.Now().After(until) {
				return fmt.Errorf("%s did not get ready", r.Name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// Host is the host of all routes.
const Host = "ficu95.example"

// Route is a route of the operators' configuration.
type Route struct {
	Name, Path, Kind, Service string
	Attempts                  int
	Timeout, Objective        time.Duration
	Resumable                 bool
	Priority                  int
}

// Service is a service of the operators' configuration.
type Service struct {
	Name     string
	Slots    int
	MaxConns int
	Engine   bool
}

// Tenant is a tenant of the operators' configuration.
type Tenant struct {
	Name string
	Keys []string
}

// Config is the operators' configuration.
type Config struct {
	Version  int
	Routes   []Route
	Services []Service
	Tenants  []Tenant
}

// Configure writes the operators' configuration into the store.
func (l *Lab) Configure(c Config) {
	out := map[string]any{
		"version": c.Version,
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 5000,
			"idle_timeout_ms": 15000, "tokens_per_s": 290000,
		},
	}
	var routes, services, tenants []any
	for _, r := range c.Routes {
		routes = append(routes, map[string]any{
			"name": r.Name, "host": Host, "path_prefix": r.Path, "kind": r.Kind, "service": r.Service,
			"timeout_ms": r.Timeout.Milliseconds(), "slo_ms": r.Objective.Milliseconds(), "priority": r.Priority,
			"max_attempts": r.Attempts, "resumable": r.Resumable, "gap_slo_ms": 400,
		})
	}
	for _, s := range c.Services {
		service := map[string]any{"name": s.Name, "health_path": "/healthz", "max_conns": s.MaxConns}
		if s.Engine {
			service["engine"] = map[string]any{"slots": s.Slots, "kv_capacity": 570274}
		}
		services = append(services, service)
	}
	for _, t := range c.Tenants {
		tenants = append(tenants, map[string]any{"name": t.Name, "api_keys": t.Keys, "priority": 1})
	}
	out["routes"], out["services"], out["tenants"] = routes, services, tenants
	text, _ := json.Marshal(out)
	l.Store.Put(users.ConfigurationKey, text)
	l.Record("operator: configuration %d is in the store", c.Version)
}

// Runner stands in for one incarnation of a server.
type Runner struct {
	ID, Service, Zone string
	Slots             int
	lab               *Lab
	listener          net.Listener
	serve             func(*Runner, *Call)

	mu      sync.Mutex
	conns   map[net.Conn]bool
	arrived map[string]time.Time
	order   []string
	waiting int
	slots   chan struct{}
}

// queue is how many requests wait at a runner; it sheds further ones.
const queue = 24

// Call is a request at a runner, which answers it by writing to Conn.
type Call struct {
	Request *http.Request
	ID      string
	Conn    net.Conn
	Body    int // bytes read
	Keep    bool
}

// StartRunner starts a runner and writes its entry. serve answers the requests that it runs.
func (l *Lab) StartRunner(id, service, zone string, slots int, serve func(*Runner, *Call)) (*Runner, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Runner{
		ID: id, Service: service, Zone: zone, Slots: slots, lab: l, listener: listener, serve: serve,
		conns: map[net.Conn]bool{}, arrived: map[string]time.Time{}, slots: make(chan struct{}, slots),
	}
	l.mu.Lock()
	l.runners = append(l.runners, r)
	l.mu.Unlock()
	r.Announce("ready")
	go r.accept()
	return r, nil
}

// Announce writes the runner's entry.
func (r *Runner) Announce(state string) {
	value, _ := json.Marshal(map[string]any{
		"service": r.Service, "address": r.listener.Addr().String(), "zone": r.Zone, "version": "v1",
		"slots": r.Slots, "state": state, "cold_remaining_ms": 0, "call_seq": 0,
	})
	r.lab.Store.Put("servers/"+r.ID, value)
}

// RemoveEntry removes the runner's entry.
func (r *Runner) RemoveEntry() { r.lab.Store.Remove("servers/" + r.ID) }

// Crash closes the listener and all connections.
func (r *Runner) Crash() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

// Arrivals returns when each request arrived that the runner was meant for, in order.
func (r *Runner) Arrivals() (ids []string, at map[string]time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at = map[string]time.Time{}
	for id, t := range r.arrived {
		at[id] = t
	}
	return append([]string(nil), r.order...), at
}

func (r *Runner) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[c] = true
		r.mu.Unlock()
		go r.handle(c)
	}
}

func (r *Runner) handle(c net.Conn) {
	defer func() {
		_ = c.Close()
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if req.URL.Path == "/healthz" || req.URL.Path == "/report" {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTamarindstep-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", r.ID)
			continue
		}
		n, err := io.Copy(io.Discard, req.Body)
		if err != nil {
			return
		}
		id := req.Header.Get("Tamarindstep-Request-Id")
		if expected := req.Header.Get("Tamarindstep-Expected-Instance"); expected != "" && expected != r.ID {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nTamarindstep-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", r.ID)
			continue
		}
		r.mu.Lock()
		r.arrived[id] = time.Now()
		r.order = append(r.order, id)
		r.mu.Unlock()
		if !r.take() {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nTamarindstep-Request-Id: %s\r\nTamarindstep-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		r.lab.Record("runner %s (%s) runs %s %s of tenant %q, %d bytes", r.ID, r.Service, id, req.URL.Path, req.Header.Get("Tamarindstep-Tenant-Id"), n)
		call := &Call{Request: req, ID: id, Conn: c, Body: int(n), Keep: true}
		r.serve(r, call)
		<-r.slots
		if !call.Keep {
			return
		}
	}
}

// take waits for a slot and reports whether there was room to wait.
func (r *Runner) take() bool {
	r.mu.Lock()
	r.waiting++
	full := r.waiting > queue && len(r.slots) == cap(r.slots)
	r.mu.Unlock()
	if !full {
		r.slots <- struct{}{}
	}
	r.mu.Lock()
	r.waiting--
	r.mu.Unlock()
	return !full
}

// Seal returns the seal of the runner's answer to a request.
func (r *Runner) Seal(id string) string { return r.ID + "." + id }

// Answer writes a whole answer of status 200.
func (r *Runner) Answer(c *Call, body string) {
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 200 OK\r\nTamarindstep-Request-Id: %s\r\nTamarindstep-Response-Seal: %s\r\nContent-Length: %d\r\n\r\n%s",
		c.ID, r.Seal(c.ID), len(body), body)
}

// Left reports whether the caller of a request has closed its connection, waiting for that for a while.
func (c *Call) Left(within time.Duration) bool {
	_ = c.Conn.SetReadDeadline(time.Now().Add(within))
	defer func() { _ = c.Conn.SetReadDeadline(time.Time{}) }()
	var one [1]byte
	_, err := c.Conn.Read(one[:])
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// Runners returns all runners that were started.
func (l *Lab) Runners() []*Runner {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*Runner(nil), l.runners...)
}
