package e2e

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/internal/standin/users"
)

// routerPhase is a phase of a router's life in which signals are sent.
type routerPhase string

const (
	phaseExecuted routerPhase = "executed" // none of the router's own code may have run yet
	phaseWaiting  routerPhase = "waiting for the store"
	phaseServing  routerPhase = "serving"
	phaseStopping routerPhase = "stopping" // a request is in flight
)

// signalKind is a signal, or several in a row, with the states of the router that they end in.
type signalKind struct {
	name    string
	signals []syscall.Signal
	ends    bool // the router ends then, with exit code 0
}

var signalKinds = []signalKind{
	{"SIGHUP", []syscall.Signal{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP}, false},
	{"SIGTERM", []syscall.Signal{syscall.SIGTERM}, true},
	{"SIGTERM twice", []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM}, true},
	{"SIGTERM and SIGHUP", []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP}, true},
	{"SIGSTOP and SIGCONT", []syscall.Signal{syscall.SIGSTOP, syscall.SIGCONT}, false},
	{"SIGINT", []syscall.Signal{syscall.SIGINT}, true},
}

const (
	// signalGap is the time between two signals.
	signalGap = 100 * time.Millisecond
	// signalWork is how long a request in flight lasts.
	signalWork = 1500 * time.Millisecond
)

// TestPlatformSignalsInEveryPhase guards against a signal that ends a router, or keeps it from ending, in a phase in which
// nobody thought of it: SIGHUP ended one that waited for the store as it started.
func TestPlatformSignalsInEveryPhase(t *testing.T) {
	t.Parallel()
	p := newPlatform(t, 0)
	p.behave(p.services, users.Behaviour{Gap: signalWork})
	var starts sync.Mutex // of routers: what is prepared for each is in p
	for _, phase := range []routerPhase{phaseExecuted, phaseWaiting, phaseServing, phaseStopping} {
		for _, kind := range signalKinds {
			if phase == phaseExecuted && kind.ends {
				continue // it ends then, as any process
			}
			t.Run(fmt.Sprintf("%s: %s", phase, kind.name), func(t *testing.T) {
				t.Parallel()
				starts.Lock()
				r, proxy := p.startInPhase(phase)
				starts.Unlock()
				p.checkSignals(t, r, proxy, phase, kind)
			})
		}
	}
}

// startInPhase starts a router, without the store if it is to wait for that.
func (p *platform) startInPhase(phase routerPhase) (*router, *users.StoreEndpoint) {
	p.noStore = phase == phaseWaiting
	r := p.start(len(p.storeProxies))
	return r, p.storeProxies[len(p.storeProxies)-1]
}

// checkSignals sends signals to a router in a phase and checks what becomes of it.
func (p *platform) checkSignals(t *testing.T, r *router, proxy *users.StoreEndpoint, phase routerPhase, kind signalKind) {
	is := is.New(t)
	inFlight := make(chan users.Answer, 1)
	request := p.request("POST", "/claim/1")
	switch phase {
	case phaseExecuted:
		await(t, "SIGHUP is not left to its default", func() bool { return handlesHangup(t, r.cmd) })
	case phaseWaiting:
		time.Sleep(300 * time.Millisecond) // until it waits for the store
	case phaseServing:
		await(t, r.name+" is ready", func() bool { return isReady(r) })
	case phaseStopping:
		await(t, r.name+" is ready", func() bool { return isReady(r) })
		go func() { inFlight <- users.Call(r.callers, request) }()
		await(t, "the run", func() bool { return len(p.runsOf(request.ID)) == 1 })
		is.NoErr(r.cmd.Process.Signal(syscall.SIGTERM))
		time.Sleep(signalGap)
	}
	for i, s := range kind.signals {
		err := r.cmd.Process.Signal(s)
		is.True(err == nil || i > 0 && kind.ends && errors.Is(err, os.ErrProcessDone))
		time.Sleep(signalGap)
	}
	if phase == phaseWaiting {
		proxy.Enable()
	}
	if phase == phaseStopping {
		got := <-inFlight
		is.NoErr(got.Err)
		is.Equal(got.Status, 200)
	}
	if kind.ends || phase == phaseStopping {
		is.NoErr(awaitExit(r)) // exit code 0
		return
	}
	await(t, r.name+" is ready", func() bool { return isReady(r) })
}

var errStillThere = errors.New("the router is still there")

// awaitExit returns the error with which a router ends.
func awaitExit(r *router) error {
	select {
	case err := <-r.exited:
		return err
	case <-time.After(stopTime):
		return errStillThere
	}
}

// handlesHangup reports whether a process ignores or catches SIGHUP.
func handlesHangup(t *testing.T, c *exec.Cmd) bool {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	handled := uint64(0)
	for _, field := range []string{"SigIgn:\t", "SigCgt:\t"} {
		_, after, _ := strings.Cut(string(text), field)
		mask, _, _ := strings.Cut(after, "\n")
		bits, err := strconv.ParseUint(mask, 16, 64)
		if err != nil {
			t.Fatal(err)
		}
		handled |= bits
	}
	return handled&1 != 0 // the first bit is of signal 1, SIGHUP
}
