package heldstore

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/store"
	"github.com/tamarindstep/tamarindstep/telemetry"
)

// slow is a store of many keys whose calls take a while, as they are called and as they answer.
type slow struct {
	store.Store
	mu     sync.Mutex
	values map[string]store.Value
	out    bool
	lost   bool // answers of swaps are lost
}

const callTakes = 10 * time.Millisecond

func (s *slow) Get(_ context.Context, key string) (store.Value, error) {
	time.Sleep(callTakes)
	s.mu.Lock()
	v, out := s.values[key], s.out
	s.mu.Unlock()
	time.Sleep(callTakes)
	if out {
		return store.Value{}, store.Unavailable.New("out")
	}
	return v, nil
}

func (s *slow) GetStale(ctx context.Context, key string) (store.Value, error) { return s.Get(ctx, key) }

func (s *slow) Swap(_ context.Context, key string, revision int64, data []byte) (store.Value, bool, error) {
	time.Sleep(callTakes)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.out {
		return store.Value{}, false, store.Unavailable.New("out")
	}
	if s.values[key].Revision != revision {
		return s.values[key], false, nil
	}
	s.values[key] = store.Value{Data: data, Revision: revision + 1}
	if s.lost {
		return store.Value{}, false, store.Ambiguous.New("lost")
	}
	return s.values[key], true, nil
}

// change changes what the store does.
func (s *slow) change(to func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	to()
}

// ask lets a router ask for a try.
func (d *decisions) ask(f model.Fingerprint) {
	d.mu.Lock()
	d.answers = nil
	d.mu.Unlock()
	d.observer.Try(core.AskTry{ID: 1, Fingerprint: f})
}

// mayTry tells whether a router was granted what it asked for; it must have been answered once.
func (d *decisions) mayTry(t *testing.T) bool {
	t.Helper()
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.answers) != 1 {
		t.Fatalf("%d answers", len(d.answers))
	}
	return d.answers[0].Granted
}

// claimants starts so many routers' services on one store.
func claimants(t *testing.T, s store.Store, n int) []*decisions {
	t.Helper()
	var out []*decisions
	for range n {
		held := New(s, zerolog.Nop(), telemetry.NewMetrics().Platform)
		d := &decisions{}
		held.begin(t.Context(), d)
		t.Cleanup(func() { _ = held.Stop(context.Background()) })
		out = append(out, d)
	}
	return out
}

// granted lets routers ask for a try of a request at the same moment, and returns how many may; each is answered.
func granted(t *testing.T, routers []*decisions, f model.Fingerprint) int {
	t.Helper()
	for _, d := range routers {
		d.ask(f)
	}
	time.Sleep(claimWithin)
	out := 0
	for _, d := range routers {
		if d.mayTry(t) {
			out++
		}
	}
	return out
}

// TestOneRouterTriesAtATime guards against routers whose tries are due at the same time making all of them.
func TestOneRouterTriesAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &slow{values: map[string]store.Value{}}
		routers := claimants(t, s, 20)
		is.Equal(granted(t, routers, 1), 1)
		is.Equal(granted(t, routers, 1), 0) // somebody is at it
		is.Equal(granted(t, routers[:1], 2), 1)
		time.Sleep(tryFor)
		is.Equal(granted(t, routers, 1), 1)

		// Those of other requests at the same moment take nothing from it.
		time.Sleep(tryFor)
		for i, d := range routers[:4] {
			d.ask(model.Fingerprint(10 + i))
		}
		time.Sleep(claimWithin)
		for _, d := range routers[:4] {
			is.True(d.mayTry(t))
		}
	})
}

// TestNobodyTriesWithoutTheStore lets the store be out, lose answers, and hold what can't be read.
func TestNobodyTriesWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &slow{values: map[string]store.Value{}, out: true}
		routers := claimants(t, s, 5)
		is.Equal(granted(t, routers, 1), 0)
		s.change(func() { s.out, s.lost = false, true })
		is.Equal(granted(t, routers[:1], 1), 0) // it may have been written
		s.change(func() { s.lost = false })
		is.Equal(granted(t, routers, 1), 0)
		time.Sleep(tryFor)
		s.change(func() { s.values[TriesKey] = store.Value{Data: []byte("no document"), Revision: 90} })
		is.Equal(granted(t, routers, 1), 1)
	})
}
