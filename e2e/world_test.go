package e2e

import (
	"fmt"
	"net/http"
	"os/exec"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/internal/standin/users"
)

// world is a fleet on the users' platform.
type world struct {
	t        testing.TB
	is       *is.I
	store    *users.Store
	engines  []*users.Backend
	services []*users.Backend
	routers  []*router
	doors    []*users.Door // of each router, to the store
	version  int
	accounts map[string]string
	idle     time.Duration // that the configuration lets connections rest
	last     atomic.Int64  // number of the last request
	flags    []string      // of the routers, beside the usual ones
}

const callerKey = "key-of-a-caller"

var routes = []users.Route{
	{Name: "chat", Path: "/chat/", Kind: "streaming", Pool: "engines", Attempts: 1, Timeout: 20 * time.Second},
	{Name: "unhurried", Path: "/unhurried/", Kind: "streaming", Pool: "engines", Attempts: 1, Timeout: 20 * time.Second, Unhurried: true},
	{Name: "review", Path: "/review/", Kind: "streaming", Pool: "engines", Attempts: 2, Resumable: true, Timeout: 20 * time.Second},
	{Name: "claim", Path: "/claim/", Kind: "unsafe", Pool: "entries", Attempts: 1, Timeout: 20 * time.Second},
	{Name: "look", Path: "/look/", Kind: "safe", Pool: "entries", Attempts: 2, Timeout: 20 * time.Second},
	{Name: "short", Path: "/look/short/", Kind: "safe", Pool: "entries", Attempts: 1, Timeout: time.Second},
}

// newWorld starts a store, two engines, two plain services and routers, each at
// an IP of its own, with flags beside the usual ones.
func newWorld(t testing.TB, routers int, flags ...string) *world {
	t.Helper()
	w := &world{t: t, is: is.New(t), store: users.NewStore(), accounts: map[string]string{callerKey: "league"}, flags: flags, idle: users.DefaultIdle}
	t.Cleanup(w.store.Close)
	w.configure()
	for i := range 2 {
		w.engines = append(w.engines, w.backend(fmt.Sprintf("engine-run-%d", i), "engines"))
		w.services = append(w.services, w.backend(fmt.Sprintf("service-run-%d", i), "entries"))
	}
	for i := range routers {
		w.routers = append(w.routers, w.start(i))
	}
	for _, r := range w.routers {
		w.awaitReady(r)
	}
	return w
}

func (w *world) backend(name, pool string) *users.Backend { return w.backendIn(name, pool, hallA) }

func (w *world) backendIn(name, pool, hall string) *users.Backend {
	b, err := users.NewBackend(w.store, name, pool, hall)
	w.is.NoErr(err)
	w.t.Cleanup(b.Close)
	return b
}

// configure puts the next version of the configuration into the store.
func (w *world) configure() {
	w.version += 3
	w.store.Put(users.ConfigurationKey, users.Configuration(w.version, routes, w.accounts, w.idle))
}

func (w *world) start(i int) *router {
	r := &router{
		name: fmt.Sprintf("router-%d", i), callers: freePort(w.t), admin: freePort(w.t), peers: freePort(w.t),
		exited: make(chan error, 1),
	}
	door := w.store.Door()
	w.doors = append(w.doors, door)
	args := append([]string{
		"--interface", "platform", "--name", r.name, "--data-hall", "hall-a", "--caller-listen", r.callers,
		"--admin-listen", r.admin, "--peer-listen", r.peers, "--store", door.Address(),
		"--drain-seconds", "8",
	}, w.flags...)
	r.cmd = exec.Command(binary, args...)
	w.is.NoErr(r.cmd.Start())
	go func() { r.exited <- r.cmd.Wait() }()
	w.t.Cleanup(func() { _ = r.cmd.Process.Kill() })
	return r
}

func ready(r *router) bool {
	resp, err := http.Get("http://" + r.admin + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (w *world) awaitReady(r *router) {
	w.t.Helper()
	await(w.t, r.name+" is ready", func() bool { return ready(r) })
}

// await waits for what must come.
func await(t testing.TB, what string, happened func() bool) {
	t.Helper()
	deadline := time.Now().Add(generous)
	for !happened() {
		if time.Now().After(deadline) {
			t.Fatal("never: " + what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// request returns a new request of a path.
func (w *world) request(method, path string) users.Request {
	return users.Request{Method: method, Path: path, Key: callerKey, ID: fmt.Sprintf("request-%d", w.last.Add(1)), Body: "the body"}
}

func (w *world) behave(backends []*users.Backend, x users.Behaviour) {
	for _, b := range backends {
		b.Behave(x)
	}
}

// runsOf returns every run of a request.
func (w *world) runsOf(id string) []users.Run {
	var out []users.Run
	for _, b := range append(append([]*users.Backend{}, w.engines...), w.services...) {
		for _, run := range b.Runs() {
			if run.ID == id {
				out = append(out, run)
			}
		}
	}
	return out
}

// whole returns a whole stream of events.
func whole(events int) string {
	var out strings.Builder
	for n := 1; n <= events; n++ {
		out.WriteString(users.Event(n))
	}
	return out.String()
}
