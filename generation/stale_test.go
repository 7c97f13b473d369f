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

// TestRouterWithStaleConfigurationIsNotReady lets a router receive a newer generation number while it cannot fetch
// the configuration. It guards against a router with a saturated processor that receives the number in time, has the
// configuration in force ten seconds later, and refuses valid keys and routes meanwhile.
func TestRouterWithStaleConfigurationIsNotReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		newest, err := config.WrapDocument(2, []byte("2"))
		is.NoErr(err)
		s := New(Source{Format: numbered{}}, zerolog.Nop(), telemetry.NewMetrics().Platform)
		l := &singleCore{events: make(chan core.Event, 64)}
		s.scheduler, s.caller = l, halfSilent{document: newest}
		s.run, s.cancel = context.WithCancel(t.Context())
		s.installValue(store.Value{Data: []byte("1"), Revision: 1})
		s.ready.Store(true)
		receive := func(from string, d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				s.generationSeen(core.NewerVersionSeen{From: from, Address: from, Versions: core.Versions{Generation: 2}})
			}
		}
		receive("silent", staleGrace/2)
		is.True(s.Ready()) // within the grace period
		receive("silent", staleGrace)
		is.True(!s.Ready())
		time.Sleep(2 * newerSeenTTL)
		is.True(s.Ready()) // cut off from all others, it keeps serving
		receive("silent", time.Second)
		is.True(!s.Ready())
		time.Sleep(fetchTimeout)
		receive("other", time.Second)
		is.Equal(s.versions().Generation, uint64(2))
		is.True(s.Ready())
		s.cancel()
		s.ended.Wait()
	})
}
