package e2e

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// crashingService is a plain service that ends when it gets a request with crashBody, and restarts at the same address
// after restartDelay.
type crashingService struct {
	address string
	mu      sync.Mutex
	runs    int // of requests with crashBody
	stopped bool
	server  *http.Server
}

func newCrashingService(t *testing.T) *crashingService {
	f := &crashingService{address: freePort(t)}
	f.start(t)
	t.Cleanup(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.stopped = true
		_ = f.server.Close()
	})
	return f
}

func (f *crashingService) start(t *testing.T) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped {
		return
	}
	listener, err := net.Listen("tcp", f.address)
	if err != nil {
		t.Error(err)
		return
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.handle(t, w, r) })}
	f.server = server
	go func() { _ = server.Serve(listener) }()
}

func (f *crashingService) handle(t *testing.T, w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if !bytes.Equal(body, []byte(crashBody)) {
		_, _ = io.WriteString(w, "served")
		return
	}
	f.mu.Lock()
	f.runs++
	server := f.server
	f.mu.Unlock()
	time.Sleep(30 * time.Millisecond)
	_ = server.Close()
	time.AfterFunc(restartDelay, func() { f.start(t) })
}

func (f *crashingService) crashRuns() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs
}

// TestCrashInducingRequestsAreHeldBack guards against requests that crash one backend server after another, with the
// product's own interface: servers restart under their names, and a caller repeats the request at the routers in turn.
func TestCrashInducingRequestsAreHeldBack(t *testing.T) {
	f := newFleet(t, 3)
	var servers []*crashingService
	var pool strings.Builder
	for i := range 4 {
		servers = append(servers, newCrashingService(t))
		pool.WriteString("      - {name: fragile-" + string(rune('a'+i)) + ", address: \"" + servers[i].address + "\", data-hall: hall-a, slots: 50}\n")
	}
	before := f.configuration("")
	at := strings.Index(before, "routes:\n")
	text := before[:at] + "  - name: fragile\n    kind: service\n    backends:\n" + pool.String() + before[at:] +
		"  - {name: fragile, service: fragile, path: /, pool: fragile, repeatable: true, wait: 30s}\n"
	if code, out := f.ctl(f.routers[0], "apply", f.write("fragile.yaml", text)); code != 0 {
		t.Fatalf("apply: exit code %d: %s", code, out)
	}
	post := func(n int, body string) (int, string) {
		req, err := http.NewRequest(http.MethodPost, "http://"+f.routers[n%3].callers+"/services/fragile/x", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+leagueKey)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0, ""
		}
		defer func() { _ = resp.Body.Close() }()
		text, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, string(text)
	}
	f.await("an ordinary request is served", func() bool { status, _ := post(0, "sound"); return status == http.StatusOK })
	until := time.Now().Add(10 * time.Second)
	last := ""
	for n := 0; time.Now().Before(until); n++ {
		_, last = post(n, crashBody)
		time.Sleep(250 * time.Millisecond)
	}
	runs := 0
	for _, s := range servers {
		runs += s.crashRuns()
	}
	t.Logf("%d runs", runs)
	if runs > 3+allowedSends {
		t.Errorf("%d servers crashed", runs)
	}
	if !strings.Contains(last, "held-back") {
		t.Errorf("the last answer is %s", last)
	}
	f.await("an ordinary request is served", func() bool { status, _ := post(1, "sound"); return status == http.StatusOK })
	f.releaseHeld()
}

// releaseHeld checks that the status lists exactly one held-back request, and releases it by the command line.
func (f *fleet) releaseHeld() {
	f.t.Helper()
	held := f.status(f.routers[2]).Held
	if len(held) != 1 || held[0].Account != "league" || held[0].Routers != 3 || held[0].Ends < 2 {
		f.t.Fatalf("held-back requests: %+v", held)
	}
	for _, bad := range []string{"nonsense", "00", "0000000000000000"} {
		if code, out := f.ctl(f.routers[0], "release", bad); code == 0 || !strings.Contains(out, "isn't a fingerprint") {
			f.t.Errorf("release %s: exit code %d: %s", bad, code, out)
		}
	}
	if code, out := f.ctl(f.routers[0], "release", held[0].Fingerprint); code != 0 {
		f.t.Fatalf("release: exit code %d: %s", code, out)
	}
	f.await("no request is held back", func() bool { return len(f.status(f.routers[1]).Held) == 0 })
}
