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

// slowStore is a store of many keys whose calls take callTakes before their effect, and reads as long again after it.
type slowStore struct {
	store.Store
	mu     sync.Mutex
	values map[string]store.Value
	out    bool
	lost   bool // swaps take effect, but their responses are lost
}

const callTakes = 10 * time.Millisecond

func (s *slowStore) Get(_ context.Context, key string) (store.Value, error) {
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

func (s *slowStore) GetStale(ctx context.Context, key string) (store.Value, error) {
	return s.Get(ctx, key)
}

func (s *slowStore) Swap(_ context.Context, key string, revision int64, data []byte) (store.Value, bool, error) {
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

// change modifies the store.
func (s *slowStore) change(to func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	to()
}

// ask requests a try.
func (d *fakeScheduler) ask(f model.Fingerprint) {
	d.mu.Lock()
	d.answers = nil
	d.mu.Unlock()
	d.observer.RequestTry(core.RequestTry{ID: 1, Fingerprint: f})
}

// mayTry reports whether the requested try was granted. Exactly one response must have arrived.
func (d *fakeScheduler) mayTry(t *testing.T) bool {
	t.Helper()
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.answers) != 1 {
		t.Fatalf("%d answers", len(d.answers))
	}
	return d.answers[0].Granted
}

// claimants starts n services on one store.
func claimants(t *testing.T, s store.Store, n int) []*fakeScheduler {
	t.Helper()
	var out []*fakeScheduler
	for range n {
		held := New(s, zerolog.Nop(), telemetry.NewMetrics().Platform)
		d := &fakeScheduler{}
		held.begin(t.Context(), d)
		t.Cleanup(func() { _ = held.Stop(context.Background()) })
		out = append(out, d)
	}
	return out
}

// granted requests a try of a request from all routers at the same time and returns the number of grants. Each router
// must get a response.
func granted(t *testing.T, routers []*fakeScheduler, f model.Fingerprint) int {
	t.Helper()
	for _, d := range routers {
		d.ask(f)
	}
	time.Sleep(claimTimeout)
	out := 0
	for _, d := range routers {
		if d.mayTry(t) {
			out++
		}
	}
	return out
}

// TestConcurrentClaimsGrantOneTry guards against several routers making the same try when it is due at the same time.
func TestConcurrentClaimsGrantOneTry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &slowStore{values: map[string]store.Value{}}
		routers := claimants(t, s, 20)
		is.Equal(granted(t, routers, 1), 1)
		is.Equal(granted(t, routers, 1), 0) // the claim has not expired
		is.Equal(granted(t, routers[:1], 2), 1)
		time.Sleep(claimTTL)
		is.Equal(granted(t, routers, 1), 1)

		// Concurrent claims of other requests do not interfere.
		time.Sleep(claimTTL)
		for i, d := range routers[:4] {
			d.ask(model.Fingerprint(10 + i))
		}
		time.Sleep(claimTimeout)
		for _, d := range routers[:4] {
			is.True(d.mayTry(t))
		}
	})
}

// TestNoTryWithoutTheStore makes the store unavailable, lose responses, and hold an undecodable document.
func TestNoTryWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &slowStore{values: map[string]store.Value{}, out: true}
		routers := claimants(t, s, 5)
		is.Equal(granted(t, routers, 1), 0)
		s.change(func() { s.out, s.lost = false, true })
		is.Equal(granted(t, routers[:1], 1), 0) // the claim may have been written
		s.change(func() { s.lost = false })
		is.Equal(granted(t, routers, 1), 0)
		time.Sleep(claimTTL)
		s.change(func() { s.values[TriesKey] = store.Value{Data: []byte("no document"), Revision: 90} })
		is.Equal(granted(t, routers, 1), 1)
	})
}
