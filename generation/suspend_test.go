package generation

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/telemetry"
	"github.com/tamarindstep/tamarindstep/wire"
)

// noPeers implements Peers and Caller for a fleet in which no other router answers.
type noPeers struct{}

func (noPeers) Routers() map[string]string { return map[string]string{"another": "10.0.0.1:7400"} }

func (noPeers) Call(context.Context, string, func(context.Context, wire.DRPCPeerClient) error) error {
	return errorx.TimeoutElapsed.New("no answer")
}

// TestSuspendedRouterIsNotReadyUntilRefreshed suspends a router while the configuration changes and the store stops
// responding: the router must not be ready until it has read the current configuration.
func TestSuspendedRouterIsNotReadyUntilRefreshed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		st := newSilentStore()
		st.write(false)
		source := Source{Store: pings{silentStore: st}, Format: numbered{}, Operators: storedOperators{st}, Discovery: storedServers{st}}
		s := New(source, zerolog.Nop(), telemetry.NewMetrics().Platform)
		l := &singleCore{events: make(chan core.Event, 16)}
		s.scheduler, s.peers, s.caller = l, noPeers{}, noPeers{}
		s.begin(t.Context())
		go l.run(s.run)
		time.Sleep(5 * time.Second)
		is.True(s.Ready())
		s.handleSuspend(staleAfter / 2) // within the possible delay of a datagram: no effect
		is.True(s.Ready())
		st.setSilent(true)
		st.write(false)
		s.handleSuspend(6 * time.Second)
		is.True(!s.Ready())
		time.Sleep(4 * time.Second)
		is.True(!s.Ready()) // neither the store nor a router has answered
		st.setSilent(false)
		time.Sleep(inForceBound)
		is.True(s.Ready())
		is.Equal(s.versions().Generation, st.config)
		s.cancel()
		s.ended.Wait()
	})
}
