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
)

// TestARouterThatKnowsOfNewerStateDoesntServeByItsOwn lets a router hear of a newer configuration that it
// can't fetch: as one whose processor is taken up by callers, which hears of it in time and has it in force
// ten seconds later, refusing keys and routes that are there.
func TestARouterThatKnowsOfNewerStateDoesntServeByItsOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		newest, err := config.WrapDocument(2, []byte("2"))
		is.NoErr(err)
		s := New(Source{Format: numbered{}}, zerolog.Nop(), telemetry.NewMetrics().Platform)
		l := &loneCore{events: make(chan core.Event, 64)}
		s.decisions, s.calls = l, halfSilent{document: newest}
		s.run, s.cancel = context.WithCancel(t.Context())
		s.installValue(store.Value{Data: []byte("1"), Revision: 1})
		s.ready.Store(true)
		hear := func(from string, long time.Duration) {
			for end := time.Now().Add(long); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				s.generationSeen(core.GenerationSeen{From: from, Address: from, Versions: core.Versions{Generation: 2}})
			}
		}
		hear("silent", staleFor/2)
		is.True(s.Ready()) // it may be on its way
		hear("silent", staleFor)
		is.True(!s.Ready())
		time.Sleep(2 * hearsay)
		is.True(s.Ready()) // cut off from all others it goes on
		hear("silent", time.Second)
		is.True(!s.Ready())
		time.Sleep(fetchTimeout)
		hear("other", time.Second)
		is.Equal(s.versions().Generation, uint64(2))
		is.True(s.Ready())
		s.cancel()
		s.ended.Wait()
	})
}
