package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/tamarindstep/tamarindstep/config"
	"github.com/tamarindstep/tamarindstep/core/member"
	"github.com/tamarindstep/tamarindstep/scheduler"
	"github.com/tamarindstep/tamarindstep/telemetry"
)

// TestTurnedAwayCallersGetTheirAnswer lets callers send long requests to a router
// that serves none: each must get a whole refusal, with when to come back, though
// nothing of its request is read.
func TestTurnedAwayCallersGetTheirAnswer(t *testing.T) {
	is := is.New(t)
	metrics := telemetry.NewMetrics()
	s := New(Settings{MaxRequests: -1}, zerolog.Nop(), metrics)
	s.scheduler = scheduler.New(member.Member{}, zerolog.Nop(), metrics)
	var err error
	s.listener, err = net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s.ended.Add(1)
	go s.accept()
	defer func() { is.NoErr(s.Stop(t.Context())) }()
	for range 50 {
		c, err := net.Dial("tcp", s.listener.Addr().String())
		is.NoErr(err)
		_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 17000\r\n\r\n"+strings.Repeat("x", 17000))
		is.NoErr(err)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		is.True(resp.Header.Get("Retry-After") != "")
		is.True(resp.Close)
		_, err = io.ReadAll(resp.Body)
		is.NoErr(err)
		is.NoErr(c.Close())
	}
}

// TestTurnedAwayCallersLeaveTimeForOthers lets callers come faster than they may be turned away: the others
// wait in the system's queue until it is their turn, and get their answer then.
func TestTurnedAwayCallersLeaveTimeForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPacer(100)
		began := time.Now()
		for range 300 {
			p.pause()
		}
		took := time.Since(began)
		is.True(took > 2900*time.Millisecond && took < 3100*time.Millisecond)
		time.Sleep(10 * time.Second) // what wasn't used isn't saved up
		began = time.Now()
		for range 100 {
			p.pause()
		}
		is.True(time.Since(began) > 900*time.Millisecond)
	})
}

// TestCrowdedAccountIsRefusedByHeader lets an account have as many requests pending as
// it may: its next large one is refused whole though its body never comes.
func TestCrowdedAccountIsRefusedByHeader(t *testing.T) {
	is := is.New(t)
	metrics := telemetry.NewMetrics()
	s := New(Settings{MaxRequests: 10}, zerolog.Nop(), metrics)
	s.scheduler = scheduler.New(member.Member{}, zerolog.Nop(), metrics)
	ours, theirs := net.Pipe()
	a := &attempt{service: s, conn: newCallerConn(ours, 4096), req: fasthttp.AcquireRequest(), account: 7, route: &config.CompiledRoute{}}
	a.req.Header.SetContentLength(100_000)
	s.pending.add(7, maxPending-1)
	s.pending.add(8, maxPending) // another account's
	a.refuseCrowded()
	is.True(a.refused == nil && !a.shed)
	s.pending.add(7, 1)
	a.refuseCrowded()
	is.Equal(a.refused, crowded)
	is.True(a.shed && large(a.req))
	go func() {
		a.refuseUnread()
		a.conn.release()
	}()
	resp, err := http.ReadResponse(bufio.NewReader(theirs), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(resp.Close)
	// The core is told of each: nobody takes what it is told here, so it falls behind.
	is.True(!s.scheduler.Behind())
	for range 300 {
		a.refuseCrowded()
	}
	is.True(s.scheduler.Behind())
	s.pending.add(7, -1)
	waiting, _ := s.pending.of(7)
	is.True(waiting < maxPending)
}
