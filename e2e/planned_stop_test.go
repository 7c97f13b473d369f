package e2e

import (
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/tamarindstep/tamarindstep/internal/standin/users"
)

// lateRequest is a request sent around a planned stop.
type lateRequest struct {
	name   string
	path   string        // /claim/ may not be repeated, /look/ may
	begins time.Duration // from the signal
	upload time.Duration // how long its body takes
	work   time.Duration // how long its backend server works on it
	known  bool          // the router has served such a request before
}

// lateRequests are requests whose bodies or whose work last beyond what is usual for a stop. Routers accept requests for
// 2.5 s after the signal and have 7.4 s for all that is in flight.
var lateRequests = []lateRequest{
	{"upload that began before the signal", "/claim/1", -time.Second, 4 * time.Second, 0, false},
	{"upload that began before the signal, for known work", "/claim/1", -time.Second, 4 * time.Second, 300 * time.Millisecond, true},
	{"late work that is known to be long", "/claim/1", 2 * time.Second, 0, 6 * time.Second, true},
	{"long upload that began before the signal", "/look/1", -time.Second, 20 * time.Second, 0, false},
	{"upload that is whole late", "/claim/1", 2 * time.Second, 1500 * time.Millisecond, 6 * time.Second, false},
	{"upload that is whole late and may be repeated", "/look/1", 2 * time.Second, 1500 * time.Millisecond, 6 * time.Second, false},
	{"long work that began late", "/claim/1", 2300 * time.Millisecond, 0, 6 * time.Second, false},
	{"short work that began late", "/claim/1", 2300 * time.Millisecond, 0, 300 * time.Millisecond, false},
	{"long work that began before the signal", "/claim/1", -time.Second, 0, 7 * time.Second, false},
	{"work beyond the end", "/claim/1", -time.Second, 0, 12 * time.Second, false},
}

// plannedStop is a stop of some routers at one moment, and requests to them around it.
type plannedStop struct {
	*platform
	signalAt time.Time
	calls    sync.WaitGroup
}

// send sends a request to a router, on a route of its own to a backend server of its own, and checks the answer.
func (s *plannedStop) send(t *testing.T, to *router, late lateRequest) {
	r := s.request("POST", "")
	r.Path, r.TimeLeft = s.routeTo(late, r.ID), 20*time.Second
	server := s.backend("server-of-"+r.ID, "pool-of-"+r.ID)
	server.SetBehaviour(users.Behaviour{Gap: late.work})
	s.calls.Go(func() {
		if late.known {
			time.Sleep(time.Until(s.signalAt.Add(-warmTime)))
			known := s.request("POST", r.Path)
			known.TimeLeft = 20 * time.Second
			s.is.Equal(users.Call(to.callers, known).Status, 200)
		}
		time.Sleep(time.Until(s.signalAt.Add(late.begins)))
		before := len(server.Runs())
		got := uploadTo(to.callers, r, late.upload)
		runs := server.Runs()[before:]
		t.Logf("%s: %d %q %v after %v, %d runs", late.name, got.Status, got.Body, got.Err, time.Since(s.signalAt).Round(time.Millisecond), len(runs))
		checkAnswered(t, late, got, runs)
	})
}

// TestPlatformPlannedStopAnswersEveryRequest guards against requests that a stopping router passes on late and cuts at its
// end, and against uploads in flight that it cuts, without an answer: each gets one. What is refused as not run never ran.
func TestPlatformPlannedStopAnswersEveryRequest(t *testing.T) {
	t.Parallel()
	s := &plannedStop{platform: newPlatform(t, 2), signalAt: time.Now().Add(warmTime + 2*time.Second)}
	for _, late := range lateRequests {
		s.send(t, s.routers[0], late)
	}
	s.send(t, s.routers[1], lateRequests[0]) // alone
	s.configure()
	time.Sleep(time.Until(s.signalAt))
	for _, r := range s.routers {
		s.is.NoErr(r.cmd.Process.Signal(syscall.SIGTERM))
	}
	end := time.After(time.Until(s.signalAt.Add(stopTime)))
	for _, r := range s.routers {
		select {
		case err := <-r.exited:
			s.is.NoErr(err)
		case <-end:
			t.Fatal("a router is still there at the end of the time for a stop")
		}
	}
	s.calls.Wait()
}

// warmTime is how long before the signal the work of a route is made known.
const warmTime = 7 * time.Second

// stopTime is the time for a stop, at the end of which a router is killed.
const stopTime = 8 * time.Second

// uploadTo sends a request whose body takes some time.
func uploadTo(address string, r users.Request, over time.Duration) users.Answer {
	if over == 0 {
		return users.Call(address, r)
	}
	c, err := users.Dial(address)
	if err != nil {
		return users.Answer{Err: err}
	}
	return c.UploadSlowly(r, over)
}

// checkAnswered checks that a request got a whole answer that is true.
func checkAnswered(t *testing.T, late lateRequest, got users.Answer, runs []users.Run) {
	t.Helper()
	switch {
	case got.Err != nil:
		t.Errorf("%s: no whole answer: %v", late.name, got.Err)
	case got.Status == 503 && len(runs) > 0:
		t.Errorf("%s: refused as not run, and ran", late.name)
	case got.Status != 200 && got.Status != 503 && got.Status != 502:
		t.Errorf("%s: status %d", late.name, got.Status)
	}
	wholeAt := late.begins + late.upload
	fits := wholeAt+late.work < 7*time.Second && (late.known || wholeAt < 2500*time.Millisecond)
	if fits && got.Status != 200 {
		t.Errorf("%s: status %d, though there is time for it", late.name, got.Status)
	}
	if !fits && late.known && len(runs) > 0 {
		t.Errorf("%s: passed on, though it is known that there is no time for it", late.name)
	}
}

// routeTo adds a route to the pool of a request, which has one backend server, and returns the request's path.
func (p *platform) routeTo(late lateRequest, id string) string {
	kind, attempts := "unsafe", 1
	if late.path == "/look/1" {
		kind, attempts = "safe", 2
	}
	path := "/late/" + id + "/"
	p.more = append(p.more, users.Route{Name: "late-" + id, Path: path, Kind: kind, Pool: "pool-of-" + id, Attempts: attempts, Timeout: 20 * time.Second})
	return path + "1"
}
