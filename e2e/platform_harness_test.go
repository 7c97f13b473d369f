package e2e

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/internal/standin/users"
)

// platform is a fleet of routers with the platform interface, and the stand-ins for the store and the backend servers.
type platform struct {
	t            testing.TB
	is           *is.I
	store        *users.Store
	engines      []*users.Backend
	services     []*users.Backend
	departed     []departure
	routers      []*router
	storeProxies []*users.StoreEndpoint // between each router and the store
	version      int
	accounts     map[string]string
	more         []users.Route // beside the usual ones
	limits       users.Limits  // in the configuration
	last         atomic.Int64  // number of the last request
	flags        []string      // of the routers, in addition to the usual ones
	logFiles     []string      // of all routers started
	noStore      bool          // routers that are started can't reach the store
	lock         sync.Locker   // of routers, if they are replaced while callers use them; nil otherwise
}

// routerAt returns the router for the nth request of a caller that uses them in turn.
func (p *platform) routerAt(n int) *router {
	if p.lock != nil {
		p.lock.Lock()
		defer p.lock.Unlock()
	}
	return p.routers[n%len(p.routers)]
}

const callerKey = "key-of-a-caller"

var routes = []users.Route{
	{Name: "chat", Path: "/chat/", Kind: "streaming", Pool: "engines", Attempts: 1, Timeout: 20 * time.Second},
	{Name: "unhurried", Path: "/unhurried/", Kind: "streaming", Pool: "engines", Attempts: 1, Timeout: 20 * time.Second, NoObjective: true},
	{Name: "review", Path: "/review/", Kind: "streaming", Pool: "engines", Attempts: 2, Resumable: true, Timeout: 20 * time.Second},
	{Name: "claim", Path: "/claim/", Kind: "unsafe", Pool: "entries", Attempts: 1, Timeout: 20 * time.Second},
	{Name: "look", Path: "/look/", Kind: "safe", Pool: "entries", Attempts: 2, Timeout: 20 * time.Second},
	{Name: "short", Path: "/look/short/", Kind: "safe", Pool: "entries", Attempts: 1, Timeout: time.Second},
}

// newPlatform starts a store, two engines, two plain services and a number of routers, with flags in addition to the
// usual ones, and waits until the routers are ready.
func newPlatform(t testing.TB, routers int, flags ...string) *platform {
	t.Helper()
	p := &platform{t: t, is: is.New(t), store: users.NewStore(), accounts: map[string]string{callerKey: "league"}, flags: flags, limits: users.Limits{IdleTimeout: users.DefaultIdleTimeout}}
	t.Cleanup(p.store.Close)
	p.configure()
	for i := range 2 {
		p.engines = append(p.engines, p.backend(fmt.Sprintf("engine-run-%d", i), "engines"))
		p.services = append(p.services, p.backend(fmt.Sprintf("service-run-%d", i), "entries"))
	}
	for i := range routers {
		p.routers = append(p.routers, p.start(i))
	}
	for _, r := range p.routers {
		p.awaitReady(r)
	}
	return p
}

func (p *platform) backend(name, pool string) *users.Backend { return p.backendIn(name, pool, hallA) }

func (p *platform) backendIn(name, pool, hall string) *users.Backend {
	b, err := users.NewBackend(p.store, name, pool, hall)
	p.is.NoErr(err)
	p.t.Cleanup(b.Close)
	return b
}

// configure puts the next version of the configuration into the store.
func (p *platform) configure() {
	p.version += 3
	p.store.Put(users.ConfigurationKey, users.Configuration(p.version, append(slices.Clone(routes), p.more...), p.accounts, p.limits))
}

func (p *platform) start(i int) *router {
	r := &router{
		name: fmt.Sprintf("router-%d", i), callers: freePort(p.t), admin: freePort(p.t), peers: freePort(p.t),
		exited: make(chan error, 1),
	}
	proxy := p.store.NewEndpoint()
	if p.noStore {
		proxy.Disable()
	}
	p.storeProxies = append(p.storeProxies, proxy)
	args := append([]string{
		"--interface", "platform", "--name", r.name, "--data-hall", "hall-a", "--caller-listen", r.callers,
		"--admin-listen", r.admin, "--peer-listen", r.peers, "--store", proxy.Address(),
		"--drain-seconds", "8",
	}, p.flags...)
	r.cmd = exec.Command(binary, args...)
	r.logFile = filepath.Join(p.t.TempDir(), r.name+".log")
	p.logFiles = append(p.logFiles, r.logFile)
	log, err := os.Create(r.logFile)
	p.is.NoErr(err)
	r.cmd.Stdout = log
	p.is.NoErr(r.cmd.Start())
	p.is.NoErr(log.Close())
	go func() { r.exited <- r.cmd.Wait() }()
	p.t.Cleanup(func() { _ = r.cmd.Process.Kill() })
	return r
}

// linesOf returns the lines of routers' logs that contain a text.
func linesOf(text string, logFiles ...string) string {
	var out strings.Builder
	for _, name := range logFiles {
		log, err := os.ReadFile(name)
		if err != nil {
			return err.Error()
		}
		for line := range strings.Lines(string(log)) {
			if strings.Contains(line, text) {
				out.WriteString(line)
			}
		}
	}
	return out.String()
}

func isReady(r *router) bool {
	resp, err := http.Get("http://" + r.admin + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (p *platform) awaitReady(r *router) {
	p.t.Helper()
	await(p.t, r.name+" is ready", func() bool { return isReady(r) })
}

// await polls until a condition holds, and fails the test after maxWait.
func await(t testing.TB, what string, happened func() bool) {
	t.Helper()
	deadline := time.Now().Add(maxWait)
	for !happened() {
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting for: " + what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// request returns a new request with an id of its own.
func (p *platform) request(method, path string) users.Request {
	return users.Request{Method: method, Path: path, Key: callerKey, ID: fmt.Sprintf("request-%d", p.last.Add(1)), Body: "the body"}
}

func (p *platform) behave(backends []*users.Backend, x users.Behaviour) {
	for _, b := range backends {
		b.SetBehaviour(x)
	}
}

// runsOf returns every run of a request.
func (p *platform) runsOf(id string) []users.Run {
	var out []users.Run
	all := append(append([]*users.Backend{}, p.engines...), p.services...)
	for _, d := range p.departed {
		all = append(all, d.server)
	}
	for _, b := range all {
		for _, run := range b.Runs() {
			if run.ID == id {
				out = append(out, run)
			}
		}
	}
	return out
}

// completeStream returns the body of a complete stream with a number of events.
func completeStream(events int) string {
	var out strings.Builder
	for n := 1; n <= events; n++ {
		out.WriteString(users.Event(n))
	}
	return out.String()
}
