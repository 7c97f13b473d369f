package e2e

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tamarindstep/tamarindstep/internal/standin/users"
)

const (
	// misuseStallLimit is how long a caller may read nothing of its answer. A caller that leaves counts as a failure of a
	// backend server that has been silent for twice the objective of 800 ms; the limit is longer than that.
	misuseStallLimit = 2 * time.Second
	// closeTimeout bounds the time in which a router must close a connection.
	closeTimeout = 20 * time.Second
)

// misuse is a router with short limits, and a caller that doesn't behave as it should.
type misuse struct {
	*platform
	caller *users.Caller
}

func newMisuse(t *testing.T) *misuse {
	p := newPlatform(t, 1, "--caller-stall-seconds", fmt.Sprint(misuseStallLimit.Seconds()))
	c, err := users.Dial(p.routers[0].callers)
	p.is.NoErr(err)
	t.Cleanup(c.Close)
	p.is.NoErr(c.SetDeadline(time.Now().Add(closeTimeout)))
	return &misuse{platform: p, caller: c}
}

// checkOthers checks that another caller is served.
func (m *misuse) checkOthers() {
	m.t.Helper()
	got := users.Call(m.routers[0].callers, m.request("POST", "/claim/1?bytes=6000"))
	if got.Err != nil || got.Status != 200 || len(got.Body) != 6000 {
		m.t.Errorf("another caller got status %d, %.100q, %v", got.Status, got.Body, got.Err)
	}
}

// checkNoConnections waits until the router has no connection to a caller.
func (m *misuse) checkNoConnections() {
	m.t.Helper()
	await(m.t, "the router has no connection to a caller", func() bool { return connections(m.t, m.routers[0].callers) == 0 })
}

// TestPlatformCallerSendsAByteASecond guards against callers that occupy a connection by sending very slowly: the header
// must arrive within the configured timeout of 3 s.
func TestPlatformCallerSendsAByteASecond(t *testing.T) {
	m := newMisuse(t)
	sent := 0
	for _, b := range "POST /claim/1 HTTP/1.1\r\nHost: " + users.Host {
		if m.caller.Write(string(b)) != nil || m.caller.Ended() {
			break
		}
		sent++
		if sent == 1 {
			m.checkOthers()
		}
		time.Sleep(time.Second)
	}
	m.is.True(sent < 6)
	m.caller.Close()
	m.checkNoConnections()
}

// TestPlatformCallerNeverReads guards against answers that are kept for callers which never read them: each is broken off
// after the stall limit and counted, while other callers are served.
func TestPlatformCallerNeverReads(t *testing.T) {
	m := newMisuse(t)
	const callers, requests = 20, 8 // answers of 1 MB, far more than the kernel buffers
	for range callers {
		c, err := users.DialSmallWindow(m.routers[0].callers)
		m.is.NoErr(err)
		t.Cleanup(c.Close)
		for range requests {
			m.is.NoErr(c.Send(m.request("POST", fmt.Sprintf("/look/1?bytes=%d", maxAnswer))))
		}
	}
	m.checkOthers()
	await(t, "all answers are broken off", func() bool { return m.hasMetric(`tamarindstep_broken_answers_total{cause="caller-stalled"} 20`) })
	m.caller.Close()
	m.checkNoConnections()
	m.checkOthers()
}

// hasMetric reports whether the router's metrics contain a line.
func (m *misuse) hasMetric(line string) bool { return strings.Contains(m.metrics(), line) }

func (m *misuse) metrics() string { return metricsOf(m.t, m.routers[0]) }

// TestPlatformCallersReadTooSlowly guards against backend servers that are considered failed because callers read their
// answers too slowly for the time limits of their requests.
func TestPlatformCallersReadTooSlowly(t *testing.T) {
	m := newMisuse(t)
	const slow = 20
	var callers sync.WaitGroup
	for range slow {
		c, err := users.DialSmallWindow(m.routers[0].callers)
		m.is.NoErr(err)
		t.Cleanup(c.Close)
		c.SetPace(users.Pace{Bytes: 1000, Pause: 20 * time.Millisecond})
		r := m.request("POST", fmt.Sprintf("/look/1?bytes=%d", maxAnswer))
		r.TimeLeft = time.Second
		m.is.NoErr(c.Send(r))
		callers.Go(func() {
			if got := c.Read(); got.Err == nil {
				t.Errorf("%s: the answer was whole, want it broken off at the time limit", r.ID)
			}
		})
	}
	m.checkOthers()
	callers.Wait()
	m.checkOthers()
}

// TestPlatformCallersDisconnectWithoutReading guards against backend servers that are considered failed because callers
// disconnect after reading nothing for a while, both for answers that are buffered whole and for those forwarded early.
func TestPlatformCallersDisconnectWithoutReading(t *testing.T) {
	for _, size := range []int{maxBufferedAnswer, maxAnswer} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			m := newMisuse(t)
			var callers []*users.Caller
			for range 20 {
				c, err := users.DialSmallWindow(m.routers[0].callers)
				m.is.NoErr(err)
				m.is.NoErr(c.Send(m.request("POST", fmt.Sprintf("/claim/1?bytes=%d", size))))
				callers = append(callers, c)
			}
			time.Sleep(misuseStallLimit * 9 / 10)
			for _, c := range callers {
				c.Reset()
			}
			m.caller.Close()
			m.checkNoConnections()
			m.checkOthers()
		})
	}
}

// TestPlatformCallerHalfCloses guards against work for callers that have left: one that closes its sending side counts as
// such, as the two can't be distinguished. Nothing runs twice, and the connection is closed without an answer.
func TestPlatformCallerHalfCloses(t *testing.T) {
	m := newMisuse(t)
	m.behave(m.services, users.Behaviour{Gap: 100 * time.Millisecond})
	r := m.request("POST", "/look/1")
	m.is.NoErr(m.caller.Send(r))
	m.is.NoErr(m.caller.CloseWrite())
	got := m.caller.Read()
	m.is.True(got.Err != nil)
	m.is.True(!errors.Is(got.Err, os.ErrDeadlineExceeded))
	m.is.True(len(m.runsOf(r.ID)) <= 1)
	m.checkOthers()
	m.caller.Close()
	m.checkNoConnections()
}

// TestPlatformCallerSendsAhead guards against answers that are mixed up or lost when a caller pipelines its requests: they
// arrive in order, each whole.
func TestPlatformCallerSendsAhead(t *testing.T) {
	m := newMisuse(t)
	var sent []users.Request
	for _, size := range []int{6000, 0, 300_000, 16} {
		r := m.request("POST", fmt.Sprintf("/claim/1?bytes=%d", size))
		m.is.NoErr(m.caller.Send(r))
		sent = append(sent, r)
	}
	m.checkOthers()
	for _, r := range sent {
		got := m.caller.Read()
		m.is.NoErr(got.Err)
		m.is.Equal(got.Status, 200)
		m.is.Equal(got.ID, r.ID)
		m.is.Equal(len(got.Body), users.ShapeOf(r.Path).Bytes)
		m.is.Equal(len(m.runsOf(r.ID)), 1)
	}
}

// TestPlatformCallerSendsMoreThanItsContentLength guards against surplus bytes that are taken as part of the body: the
// request is served with its declared length, the rest is refused as a malformed request, and the connection is closed.
func TestPlatformCallerSendsMoreThanItsContentLength(t *testing.T) {
	m := newMisuse(t)
	r := m.request("POST", "/claim/1")
	m.is.NoErr(m.caller.Send(r))
	m.is.NoErr(m.caller.Write("and more than that\r\n\r\n"))
	got := m.caller.Read()
	m.is.NoErr(got.Err)
	m.is.Equal(got.Status, 200)
	runs := m.runsOf(r.ID)
	m.is.Equal(len(runs), 1)
	m.is.Equal(runs[0].Body, r.Body)
	got = m.caller.Read()
	m.is.NoErr(got.Err)
	m.is.Equal(got.Status, 400)
	m.is.True(got.Close)
	got = m.caller.Read()
	m.is.True(errors.Is(got.Err, io.EOF) || errors.Is(got.Err, io.ErrUnexpectedEOF) || errors.Is(got.Err, net.ErrClosed))
	m.checkOthers()
}
