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

// memory is a store of one value, in some era.
type memory struct {
	store.Store
	era      uint32
	revision int64
	data     []byte
}

func (m *memory) value() store.Value {
	if m.data == nil {
		return store.Value{}
	}
	return store.Value{Data: m.data, Revision: int64(model.VersionOf(m.era, m.revision))}
}

func (m *memory) Get(context.Context, string) (store.Value, error) { return m.value(), nil }

func (m *memory) Swap(_ context.Context, _ string, revision int64, data []byte) (store.Value, bool, error) {
	if m.value().Revision != revision {
		return m.value(), false, nil
	}
	m.revision++
	m.data = data
	return m.value(), true, nil
}

// TestOneKeyIsLeft lets groups of routers with keys of their own look at the store in any order, as each hears of the others:
// one key is left, that of the routers that are older than the era where there is one such group.
func TestOneKeyIsLeft(t *testing.T) {
	for _, c := range []struct {
		name   string
		groups []string // the key of each router: old ones are of an era before
		there  string   // in the store, "" for none
		want   string   // "" for any
	}{
		{"the key is gone", []string{"old", "old", "old"}, "", "old"},
		{"a starter made one", []string{"old", "old", "new"}, "new", "old"},
		{"two starters made one", []string{"old", "new", "new"}, "new", "old"},
		{"two fleets of before", []string{"old", "old", "old too", "old too"}, "", ""},
		{"two fleets of before and a starter", []string{"old", "old", "old too", "old too", "new"}, "new", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(200) {
				left := settleAll(t, rand.New(rand.NewPCG(seed, 1)), c.groups, c.there)
				if len(left) != 1 || c.want != "" && !left[c.want] {
					t.Fatalf("seed %d: %v", seed, left)
				}
			}
		})
	}
}

// settleAll lets routers with these keys look at a store that has one of them, and returns the keys that are left.
func settleAll(t *testing.T, random *rand.Rand, groups []string, there string) map[string]bool {
	is := is.New(t)
	kept := &memory{era: 3, revision: 8}
	if there != "" {
		kept.data = []byte(there)
	}
	var all []*Service
	for _, key := range groups {
		era := kept.era - 1
		if key == there {
			era = kept.era
		}
		held := store.Value{Data: []byte(key), Revision: int64(model.VersionOf(era, 5))}
		s := New(Settings{Store: kept, Held: held, Take: func([]byte) {}}, zerolog.Nop())
		s.EraBegan(kept.era)
		all = append(all, s)
	}
	for range 40 * len(all) {
		is.NoErr(all[random.IntN(len(all))].settle(context.Background()))
	}
	left := map[string]bool{string(kept.data): true}
	for _, s := range all {
		left[string(s.settings.Held.Data)] = true
	}
	return left
}
