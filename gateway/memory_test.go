package gateway

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/tamarindstep/tamarindstep/config"
	"github.com/tamarindstep/tamarindstep/core/holding"
	"github.com/tamarindstep/tamarindstep/telemetry"
)

// bodied returns a request whose body has a length that its header tells, -1 for one in chunks.
func bodied(s *Service, conn *callerConn, length int) *attempt {
	a := &attempt{service: s, conn: conn, req: fasthttp.AcquireRequest()}
	a.req.Header.SetContentLength(length)
	return a
}

// TestLargeBodiesGiveWayUnread fills the memory of a router: the next large body is refused whole and counted, though
// none of it has come, small ones and those of unknown length are taken, and there is room again after the others.
func TestLargeBodiesGiveWayUnread(t *testing.T) {
	is := is.New(t)
	metrics := telemetry.NewMetrics()
	const large = 100_000
	s := New(Settings{MaxRequests: 10, HeldBytes: 3 * large}, zerolog.Nop(), metrics)
	limits := config.CallerLimits{BodyBytes: 10 * large}
	ours, theirs := net.Pipe()
	conn := newCallerConn(ours, 4096, time.Second)
	first := bodied(s, conn, large)
	first.takeBody(limits)
	is.True(first.refused == nil)
	second := bodied(s, conn, large)
	second.takeBody(limits)
	is.Equal(second.refused, noRoom)
	go func() {
		is.True(!second.refuseUnread())
		conn.release()
	}()
	resp, err := http.ReadResponse(bufio.NewReader(theirs), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(resp.Header.Get("Retry-After") != "")
	is.True(resp.Close)
	is.Equal(counted(t, metrics, "gave_way_total"), 1.0)
	tooLarge := bodied(s, conn, limits.BodyBytes+1)
	tooLarge.takeBody(limits)
	is.True(tooLarge.refused == nil) // for this; it is refused for its size
	for _, length := range []int{holding.SmallBody, -1} {
		a := bodied(s, conn, length)
		a.takeBody(limits)
		is.True(a.refused == nil)
		a.req.SetBodyRaw(make([]byte, 5000))
		a.countBody()
		is.Equal(s.memory.budget.Held(holding.Body), large+5000)
		a.returnHeld()
	}
	first.returnHeld()
	first.returnHeld() // there is nothing to give back any more
	is.Equal(s.memory.budget.Held(holding.Body), 0)
	third := bodied(s, conn, large)
	third.takeBody(limits)
	is.True(third.refused == nil)
}
