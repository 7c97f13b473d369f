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

// halfSilent are two other routers, of which "silent" takes calls and never answers, as one that
// was frozen or lost its power a moment ago. It implements Calls.
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

// TestSilentRouterDoesntHoldUpWhatOthersHave lets a router hear of a newer configuration from two
// others, the first of which falls silent as it is asked. What is asked of one that is silent is
// another wait that outlives its reason, as that for a silent store: the second one must be asked
// long before it ends.
func TestSilentRouterDoesntHoldUpWhatOthersHave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		newest, err := config.WrapDocument(2, []byte("2"))
		is.NoErr(err)
		s := New(Source{Format: numbered{}}, zerolog.Nop(), telemetry.NewMetrics().Platform)
		l := &loneCore{events: make(chan core.Event, 64)}
		s.decisions, s.calls = l, halfSilent{document: newest}
		s.run, s.cancel = context.WithCancel(t.Context())
		s.installValue(store.Value{Data: []byte("1"), Revision: 1})
		began := time.Now()
		for s.versions().Generation < 2 && time.Since(began) < 5*time.Second {
			s.generationSeen(core.GenerationSeen{From: "silent", Address: "silent", Versions: core.Versions{Generation: 2}})
			s.generationSeen(core.GenerationSeen{From: "other", Address: "other", Versions: core.Versions{Generation: 2}})
			time.Sleep(50 * time.Millisecond)
		}
		t.Logf("in force after %v", time.Since(began))
		is.True(time.Since(began) < time.Second)
		s.cancel()
		s.ended.Wait()
	})
}
