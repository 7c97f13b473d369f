// Package e2e tests real router processes against stand-ins in the test's own process. It injects faults: it kills, pauses
// and stops router processes by their ids.
package e2e

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/config"
	"github.com/tamarindstep/tamarindstep/ctl"
	_ "github.com/tamarindstep/tamarindstep/daemon" // makes the cached results of go test depend on the router
	"github.com/tamarindstep/tamarindstep/internal/standin"
	_ "github.com/tamarindstep/tamarindstep/internal/standincmd" // the same for the stand-ins
	"github.com/tamarindstep/tamarindstep/status"
	"github.com/tamarindstep/tamarindstep/vmlist"
)

// maxWait is the longest time to wait for a condition. It is generous on purpose: no test asserts a shorter time.
const maxWait = 60 * time.Second

// binary and standinBinary are the router and the stand-ins.
var binary, standinBinary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "e2e")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "tamarindstepd")
	standinBinary = filepath.Join(dir, "tamarind-standin")
	build := exec.Command("go", "build", "-o", dir, "../cmd/tamarindstepd", "../cmd/tamarind-standin")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// router is one router process.
type router struct {
	name, callers, admin, peers string
	noStore                     bool // whether it can't reach the store
	cmd                         *exec.Cmd
	logFile                     string // "" if its log isn't kept
	exited                      chan error
}

// fleet is a set of routers with the product's own interface, and the stand-ins that they use.
type fleet struct {
	t       testing.TB
	dir     string
	store   *standin.Store
	vms     *standin.VMList
	engines []*standin.Engine
	service *standin.Service
	routers []*router
	address map[string]string // of the stand-ins, by name
}

const (
	leagueKey = "key-of-the-league-account"
	token     = "operators-token-for-tests"
)

var halls = []string{"hall-a", "hall-b", "hall-c"}

func serve(t testing.TB, s func() (*standin.Server, error)) string {
	t.Helper()
	server, err := s()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server.Address()
}

// newFleet starts the stand-ins and a number of routers, and applies a configuration.
func newFleet(t testing.TB, routers int) *fleet {
	t.Helper()
	f := &fleet{t: t, dir: t.TempDir(), store: standin.NewStore(), vms: standin.NewVMList(0), address: map[string]string{}}
	f.write("token", token)
	f.write("key", "peer-key-for-the-tests")
	f.address["store"] = serve(t, func() (*standin.Server, error) { return standin.Serve("127.0.0.1:0", f.store.Handle) })
	f.address["vmlist"] = serve(t, func() (*standin.Server, error) { return standin.Serve("127.0.0.1:0", f.vms.Handle) })
	for i := range 3 {
		e := standin.NewEngine(fmt.Sprintf("runner-%d", i+1), 40, 2*time.Millisecond, 50*time.Millisecond)
		f.engines = append(f.engines, e)
		f.address[fmt.Sprintf("runner-%d", i+1)] = serve(t, func() (*standin.Server, error) { return standin.Serve("127.0.0.1:0", e.Handle) })
	}
	f.service = standin.NewService("entries-1", 5*time.Millisecond)
	f.address["entries-1"] = serve(t, func() (*standin.Server, error) { return standin.Serve("127.0.0.1:0", f.service.Handle) })
	for i := range routers {
		f.routers = append(f.routers, &router{
			name: fmt.Sprintf("router-%d", i+1), callers: freePort(t), admin: freePort(t), peers: freePort(t),
		})
	}
	f.listVMs()
	for _, r := range f.routers {
		f.start(r)
	}
	f.awaitHealth()
	if code, out := f.ctl(f.routers[0], "apply", f.write("configuration.yaml", f.configuration(""))); code != 0 {
		t.Fatalf("apply: exit code %d: %s", code, out)
	}
	f.awaitReady(f.routers...)
	f.await("all routers live and ready", func() bool { return f.allReadyAt(f.routers[0]) })
	time.Sleep(time.Second) // new owners wait for reports from the routers that use their backend servers
	return f
}

func (f *fleet) write(name, text string) string {
	path := filepath.Join(f.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

// configuration returns a configuration file, with additional lines for the account.
func (f *fleet) configuration(accountLines string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "version: 1\naccounts:\n  - name: league\n    keys: [%q]\n%s", config.HashKey(leagueKey), accountLines)
	b.WriteString("pools:\n  - name: assistant\n    kind: engine\n    expected-output: 20\n    backends:\n")
	for i := range f.engines {
		name := fmt.Sprintf("runner-%d", i+1)
		fmt.Fprintf(&b, "      - {name: %s, address: %q, data-hall: %s, slots: 30}\n", name, f.address[name], halls[i%3])
	}
	fmt.Fprintf(&b, "  - name: entries\n    kind: service\n    backends:\n      - {name: entries-1, address: %q, data-hall: hall-a, slots: 50}\n", f.address["entries-1"])
	b.WriteString(`routes:
  - {name: chat, model: chat, pool: assistant, repeatable: true, wait: 30s}
  - {name: once, model: once, pool: assistant, wait: 30s}
  - {name: waivers, service: entries, path: /waivers, pool: entries, wait: 30s}
  - {name: hints, service: entries, path: /hints, pool: entries, wait: 30s, claims: best-effort}
`)
	return b.String()
}

func (f *fleet) listVMs() {
	var vms []vmlist.VM
	for i, r := range f.routers {
		vms = append(vms, vmlist.VM{Name: r.name, Address: r.peers, DataHall: halls[i%3], Role: vmlist.RoleRouter, State: vmlist.StateLive})
	}
	f.vms.Set(vms)
	time.Sleep(20 * time.Millisecond)
}

func (f *fleet) start(r *router) {
	f.t.Helper()
	log, err := os.OpenFile(filepath.Join(f.dir, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		f.t.Fatal(err)
	}
	i := int(r.name[len(r.name)-1] - '1')
	store := f.address["store"]
	if r.noStore {
		store = freePort(f.t)
	}
	r.cmd = exec.Command(binary, "--name", r.name, "--data-hall", halls[i%3],
		"--caller-listen", r.callers, "--admin-listen", r.admin, "--peer-listen", r.peers,
		"--store", store, "--vm-list", f.address["vmlist"],
		"--operator-token-file", filepath.Join(f.dir, "token"), "--peer-key-file", filepath.Join(f.dir, "key"))
	r.cmd.Stderr = log
	if err := r.cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	exited := make(chan error, 1)
	r.exited = exited
	cmd := r.cmd
	go func() { exited <- cmd.Wait(); close(exited) }()
	f.t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		<-exited
		_ = log.Close()
		if f.t.Failed() {
			text, _ := os.ReadFile(filepath.Join(f.dir, r.name+".log"))
			f.t.Logf("%s:\n%s", r.name, text)
		}
	})
}

func (f *fleet) signal(r *router, s syscall.Signal) {
	f.t.Helper()
	if err := r.cmd.Process.Signal(s); err != nil {
		f.t.Fatal(err)
	}
}

// kill ends a router by SIGKILL and waits until it has exited.
func (f *fleet) kill(r *router) {
	f.signal(r, syscall.SIGKILL)
	<-r.exited
}

func (f *fleet) await(what string, done func() bool) {
	f.t.Helper()
	for end := time.Now().Add(maxWait); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if done() {
			return
		}
	}
	f.t.Fatalf("timed out waiting for %s", what)
}

func (f *fleet) awaitHealth() {
	f.t.Helper()
	for _, r := range f.routers {
		f.await(r.name, func() bool { return statusOf("http://"+r.admin+"/healthz") == http.StatusOK })
	}
}

func (f *fleet) awaitReady(routers ...*router) {
	f.t.Helper()
	for _, r := range routers {
		f.await(r.name+" ready", func() bool { return statusOf("http://"+r.admin+"/readyz") == http.StatusOK })
	}
}

func statusOf(url string) int {
	resp, err := http.Get(url)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// ctl runs the operators' command line against a router, and returns its exit code and output.
func (f *fleet) ctl(r *router, args ...string) (int, string) {
	var out bytes.Buffer
	args = append([]string{"--router", r.admin, "--operator-token-file", filepath.Join(f.dir, "token")}, args...)
	code := ctl.Run(args, &out, &out)
	return code, out.String()
}

// status returns the status of the fleet as a router reports it.
func (f *fleet) status(r *router) status.Fleet {
	var out status.Fleet
	code, text := f.ctl(r, "status", "-o", "json")
	if code == 0 {
		_ = json.Unmarshal([]byte(text), &out)
	}
	return out
}

// allReadyAt reports whether a router's status lists all routers as live and ready.
func (f *fleet) allReadyAt(r *router) bool {
	live := 0
	for _, other := range f.status(r).Routers {
		if other.Status == "live" && other.Ready {
			live++
		}
	}
	return live == len(f.routers)
}

// answer is a caller's result.
type answer struct {
	err     error // no answer, or a broken one
	status  int
	outcome string // of a refusal
	code    string
	body    string
}

func (a answer) notRun() bool { return a.outcome == "not-run" }

// call sends a request as a caller; headers are pairs of name and value.
func (f *fleet) call(r *router, path, body string, headers ...string) answer {
	req, err := http.NewRequest(http.MethodPost, "http://"+r.callers+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+leagueKey)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	client := &http.Client{Timeout: maxWait}
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	out := answer{err: err, status: resp.StatusCode, outcome: resp.Header.Get("Tamarindstep-Outcome"), body: string(text)}
	var refusal struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if out.outcome != "" && json.Unmarshal(text, &refusal) == nil {
		out.code = refusal.Error.Code
	}
	client.CloseIdleConnections()
	return out
}

// stream requests a streamed answer and returns the texts of its tokens.
func (f *fleet) stream(r *router, id string, tokens int) ([]string, error) {
	a := f.call(r, "/v1/completions", fmt.Sprintf(`{"model":"chat","stream":true,"max_tokens":%d,"prompt":"x"}`, tokens), "X-Request-Id", id)
	if a.err == nil && a.status != http.StatusOK {
		return nil, fmt.Errorf("status %d: %s", a.status, a.body)
	}
	var out []string
	for lines := bufio.NewScanner(strings.NewReader(a.body)); lines.Scan(); {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok || data == "[DONE]" {
			continue
		}
		var event struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return out, err
		}
		out = append(out, event.Choices[0].Text)
	}
	return out, a.err
}

// checkStream returns an error unless a streamed answer is the complete answer to its own request.
func checkStream(id string, tokens int, got []string, err error) error {
	if err != nil {
		return err
	}
	if len(got) != tokens {
		return fmt.Errorf("got %d tokens of %d", len(got), tokens)
	}
	for i, text := range got {
		if want := fmt.Sprintf("%s#%d ", id, i); text != want {
			return fmt.Errorf("got token %q, want %q", text, want)
		}
	}
	return nil
}

// runs returns how many times a request was run, by all backend servers together.
func (f *fleet) runs(id string) int {
	sum := f.service.Runs()[id]
	for _, e := range f.engines {
		sum += e.Runs()[id]
	}
	return sum
}

func check(t testing.TB) *is.I { return is.NewRelaxed(t) }
