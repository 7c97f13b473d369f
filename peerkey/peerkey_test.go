package peerkey

import (
	"context"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/store"
)

// memoryStore is a store with one value, in a given era.
type memoryStore struct {
	store.Store
	era      uint32
	revision int64
	data     []byte
}

func (m *memoryStore) value() store.Value {
	if m.data == nil {
		return store.Value{}
	}
	return store.Value{Data: m.data, Revision: int64(model.VersionOf(m.era, m.revision))}
}

func (m *memoryStore) Get(context.Context, string) (store.Value, error) { return m.value(), nil }

func (m *memoryStore) Swap(_ context.Context, _ string, revision int64, data []byte) (store.Value, bool, error) {
	if m.value().Revision != revision {
		return m.value(), false, nil
	}
	m.revision++
	m.data = data
	return m.value(), true, nil
}

// TestKeysConverge lets groups of routers with different keys check the store repeatedly in random order. One key must
// remain: that of the routers with a key of an earlier era, if there is one such group.
func TestKeysConverge(t *testing.T) {
	for _, c := range []struct {
		name   string
		groups []string // the key of each router; old ones are of the previous era
		stored string   // key in the store, "" for none
		want   string   // "" for any
	}{
		{"no key in the store", []string{"old", "old", "old"}, "", "old"},
		{"created by a new router", []string{"old", "old", "new"}, "new", "old"},
		{"two new routers", []string{"old", "new", "new"}, "new", "old"},
		{"two previous fleets", []string{"old", "old", "old too", "old too"}, "", ""},
		{"two previous fleets and a new router", []string{"old", "old", "old too", "old too", "new"}, "new", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(200) {
				remaining := reconcileAll(t, rand.New(rand.NewPCG(seed, 1)), c.groups, c.stored)
				if len(remaining) != 1 || c.want != "" && !remaining[c.want] {
					t.Fatalf("seed %d: %v", seed, remaining)
				}
			}
		})
	}
}

// reconcileAll lets routers with these keys check a store that contains the key stored, and returns the remaining keys.
func reconcileAll(t *testing.T, random *rand.Rand, groups []string, stored string) map[string]bool {
	is := is.New(t)
	shared := &memoryStore{era: 3, revision: 8}
	if stored != "" {
		shared.data = []byte(stored)
	}
	var all []*Service
	for _, key := range groups {
		era := shared.era - 1
		if key == stored {
			era = shared.era
		}
		held := store.Value{Data: []byte(key), Revision: int64(model.VersionOf(era, 5))}
		s := New(Settings{Store: shared, Current: held, OnAdopt: func([]byte) {}}, zerolog.Nop())
		s.EraBegan()
		all = append(all, s)
	}
	for range 40 * len(all) {
		is.NoErr(all[random.IntN(len(all))].reconcile(context.Background()))
	}
	remaining := map[string]bool{string(shared.data): true}
	for _, s := range all {
		remaining[string(s.settings.Current.Data)] = true
	}
	return remaining
}
