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

// nobody is a fleet in which no other router answers. It implements Peers and Calls.
type nobody struct{}

func (nobody) Routers() map[string]string { return map[string]string{"another": "10.0.0.1:7400"} }

func (nobody) Call(context.Context, string, func(context.Context, wire.DRPCPeerClient) error) error {
	return errorx.TimeoutElapsed.New("no answer")
}

// TestARouterThatSleptServesByWhatHoldsNow suspends a router while the configuration changes and the store
// falls silent: it isn't ready until it has read what holds now.
func TestARouterThatSleptServesByWhatHoldsNow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		far := newSilentStore()
		far.write(false)
		source := Source{Store: pings{silentStore: far}, Format: numbered{}, Operators: storedOperators{far}, Discovery: storedServers{far}}
		s := New(source, zerolog.Nop(), telemetry.NewMetrics().Platform)
		l := &loneCore{events: make(chan core.Event, 16)}
		s.decisions, s.peers, s.calls = l, nobody{}, nobody{}
		s.begin(t.Context())
		go l.run(s.run)
		time.Sleep(5 * time.Second)
		is.True(s.Ready())
		s.slept(staleAfter / 2) // as long as a datagram may be late: nothing to be done
		is.True(s.Ready())
		far.fallSilent(true)
		far.write(false)
		s.slept(6 * time.Second)
		is.True(!s.Ready())
		time.Sleep(4 * time.Second)
		is.True(!s.Ready()) // nobody has told what holds
		far.fallSilent(false)
		time.Sleep(inForceBound)
		is.True(s.Ready())
		is.Equal(s.versions().Generation, far.config)
		s.cancel()
		s.ended.Wait()
	})
}
