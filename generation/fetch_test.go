package generation

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/tamarindstep/tamarindstep/config"
	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/store"
	"github.com/tamarindstep/tamarindstep/telemetry"
	"github.com/tamarindstep/tamarindstep/wire"
)

// halfSilent implements Caller for two other routers. The one at the address "silent" accepts calls and never
// answers, like a frozen router or one that has just lost its power.
type halfSilent struct{ document *wire.Document }

func (h halfSilent) Call(ctx context.Context, address string, do func(context.Context, wire.DRPCPeerClient) error) error {
	if address == "silent" {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(answerAfter)
	return do(ctx, newestPeer{document: h.document})
}

// newestPeer answers with its document.
type newestPeer struct {
	wire.DRPCPeerClient
	document *wire.Document
}

func (p newestPeer) Fetch(context.Context, *wire.FetchRequest) (*wire.FetchResponse, error) {
	return &wire.FetchResponse{Document: p.document}, nil
}

// TestUnresponsiveRouterDoesNotDelayFetch guards against waiting for a fetch to time out. A router receives a newer
// generation number from two others, and the first one stops responding as it is asked. The second one must be asked
// long before the time-out of the first call.
func TestUnresponsiveRouterDoesNotDelayFetch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		newest, err := config.WrapDocument(2, []byte("2"))
		is.NoErr(err)
		s := New(Source{Format: numbered{}}, zerolog.Nop(), telemetry.NewMetrics().Platform)
		l := &singleCore{events: make(chan core.Event, 64)}
		s.scheduler, s.caller = l, halfSilent{document: newest}
		s.run, s.cancel = context.WithCancel(t.Context())
		s.installValue(store.Value{Data: []byte("1"), Revision: 1})
		began := time.Now()
		for s.versions().Generation < 2 && time.Since(began) < 5*time.Second {
			s.generationSeen(core.NewerVersionSeen{From: "silent", Address: "silent", Versions: core.Versions{Generation: 2}})
			s.generationSeen(core.NewerVersionSeen{From: "other", Address: "other", Versions: core.Versions{Generation: 2}})
			time.Sleep(50 * time.Millisecond)
		}
		t.Logf("in force after %v", time.Since(began))
		is.True(time.Since(began) < time.Second)
		s.cancel()
		s.ended.Wait()
	})
}
