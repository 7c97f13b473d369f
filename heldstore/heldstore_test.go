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
	"github.com/tamarindstep/tamarindstep/scheduler"
	"github.com/tamarindstep/tamarindstep/store"
	"github.com/tamarindstep/tamarindstep/telemetry"
	"github.com/tamarindstep/tamarindstep/wire"
)

// memory is a store of one key that can be made unavailable.
type memory struct {
	store.Store
	mu    sync.Mutex
	value store.Value
	out   bool
	calls int
}

func (m *memory) GetStale(context.Context, string) (store.Value, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	if m.out {
		return store.Value{}, store.Unavailable.New("out")
	}
	return m.value, nil
}

func (m *memory) Swap(_ context.Context, _ string, revision int64, data []byte) (store.Value, bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	if m.out {
		return store.Value{}, false, store.Unavailable.New("out")
	}
	if revision != m.value.Revision {
		return m.value, false, nil
	}
	m.value = store.Value{Data: data, Revision: revision + 1}
	return m.value, true, nil
}

func (m *memory) made() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

func (m *memory) size() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.value.Data)
}

func (m *memory) set(out bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.out = out
}

// fakeScheduler records the events that it receives.
type fakeScheduler struct {
	mu       sync.Mutex
	received []uint64
	answers  []core.TryAnswered
	observer scheduler.Observer
}

func (d *fakeScheduler) Observe(o scheduler.Observer) { d.observer = o }

func (d *fakeScheduler) Enqueue(e core.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch e := e.(type) {
	case core.HeldRequestsLoaded:
		for _, s := range e.Suspicions {
			d.received = append(d.received, s.Fingerprint)
		}
	case core.TryAnswered:
		d.answers = append(d.answers, e)
	}
}

func (d *fakeScheduler) fingerprints() []uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.received
}

func (d *fakeScheduler) change(held bool, fingerprint uint64) {
	d.observer.HeldChanged(core.HeldChanged{Held: held, Seen: true, Suspicion: &wire.Suspicion{
		Fingerprint: fingerprint, Backends: []uint32{1, 2}, EndedMs: []uint32{3, 4}, RanUs: []uint32{5, 6}, Marks: []uint32{0, 1},
	}})
}

// start starts a service on a store. It is stopped at the end of the test.
func start(t *testing.T, m *memory) *fakeScheduler {
	t.Helper()
	s := New(m, zerolog.Nop(), telemetry.NewMetrics().Platform)
	d := &fakeScheduler{}
	s.begin(t.Context(), d)
	t.Cleanup(func() { _ = s.Stop(context.Background()) })
	return d
}

func TestHeldBackRequestsSurviveShutdownOfAllRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := &memory{}
		first, second := start(t, m), start(t, m)
		time.Sleep(time.Second)
		first.change(true, 1)
		second.change(true, 2) // concurrently: one of the two swaps fails
		first.change(true, 3)
		second.change(true, 3)
		time.Sleep(time.Second)
		first.change(false, 1)
		time.Sleep(time.Second)
		third := start(t, m)
		time.Sleep(time.Second)
		is.Equal(len(third.fingerprints()), 2)
		calls := m.made()
		first.change(true, 2) // already stored
		time.Sleep(time.Second)
		is.True(m.made() <= calls+2)
	})
}

func TestChangesAreQueuedWhileStoreIsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := &memory{out: true}
		d := start(t, m)
		time.Sleep(3 * time.Second)
		d.change(true, 1)
		time.Sleep(3 * time.Second)
		m.set(false)
		time.Sleep(3 * time.Second)
		later := start(t, m)
		time.Sleep(time.Second)
		is.Equal(later.fingerprints(), []uint64{1})
	})
}

func TestUndecodableDocumentIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := &memory{value: store.Value{Data: []byte("no document"), Revision: 5}}
		d := start(t, m)
		time.Sleep(time.Second)
		is.Equal(len(d.fingerprints()), 0)
		d.change(true, 1)
		time.Sleep(time.Second)
		later := start(t, m)
		time.Sleep(time.Second)
		is.Equal(later.fingerprints(), []uint64{1})
	})
}

func TestDocumentSizeIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := &memory{}
		d := start(t, m)
		time.Sleep(time.Second)
		for i := range 3 * maxKept {
			d.change(true, uint64(i+1))
			time.Sleep(time.Second)
		}
		is.True(m.size() < 64*maxKept)
		later := start(t, m)
		time.Sleep(time.Second)
		is.Equal(len(later.fingerprints()), maxKept)
	})
}
