package generation

import (
	"context"
	"slices"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/tamarindstep/tamarindstep/config"
	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/wire"
)

// announcementModel is a model of the store's announcements: a list of changes, each with the next revision.
type announcementModel struct{ changes []Announcement }

func (m *announcementModel) revision() uint64 { return uint64(len(m.changes)) }

// put writes the announcement of a backend server, or withdraws it if backend is nil.
func (m *announcementModel) put(key string, backend *config.Discovered) {
	m.changes = append(m.changes, Announcement{Key: key, Revision: m.revision() + 1, Backend: backend})
}

// at returns the announcement of a key at a revision, with nil for none.
func (m *announcementModel) at(key string, revision uint64) *config.Discovered {
	var out *config.Discovered
	for _, c := range m.changes[:revision] {
		if c.Key == key {
			out = c.Backend
		}
	}
	return out
}

// modelPages are the keys of the backend servers, by page of a list.
var modelPages = [][]string{{"a", "b"}, {"c", "d"}, {"e", "f"}}

// list returns a list whose pages are from the given revisions, and the revision up to which the oldest is complete.
func (m *announcementModel) list(pages []uint64) ([]Announcement, uint64) {
	var out []Announcement
	for i, keys := range modelPages {
		for _, key := range keys {
			if b := m.at(key, pages[i]); b != nil {
				out = append(out, Announcement{Key: key, Backend: b})
			}
		}
	}
	return out, slices.Min(pages)
}

// catalogRun is a drawn run of routers that list, watch, restart and fetch from each other.
type catalogRun struct {
	model   announcementModel
	routers []*Service
}

// start starts a router, which reads a stale list whose pages are up to some changes old.
func (r *catalogRun) start(t *rapid.T, i int) {
	r.routers[i] = newTestService()
	now := r.model.revision()
	var pages []uint64
	for range modelPages {
		pages = append(pages, rapid.Uint64Range(now-min(now, 6), now).Draw(t, "page"))
	}
	r.list(i, pages, true)
}

// list makes a router read a list whose pages are from the given revisions.
func (r *catalogRun) list(i int, pages []uint64, stale bool) {
	s := r.routers[i]
	s.mu.Lock()
	defer s.mu.Unlock()
	all, at := r.model.list(pages)
	s.applyList(all, at, stale)
}

// listNow makes a router read the current list.
func (r *catalogRun) listNow(i int) {
	now := r.model.revision()
	r.list(i, []uint64{now, now, now}, false)
}

// watch makes a router receive all changes since its last list.
func (r *catalogRun) watch(i int) {
	s := r.routers[i]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyWatched(r.model.changes[s.catalog.watchedTo:], r.model.revision())
}

// fetch makes a router fetch from another one if that announces a newer catalog.
func (r *catalogRun) fetch(t rapid.TB, to, from int) {
	if r.routers[from].versions().Catalog <= r.routers[to].versions().Catalog {
		return
	}
	out, err := r.routers[from].Fetch(context.Background(), r.routers[to].fetchRequest())
	if err != nil {
		t.Fatal(err)
	}
	r.routers[to].installFetched(out)
}

// check checks that no router announces a revision without having seen all changes up to it.
func (r *catalogRun) check(t *rapid.T) {
	for i, s := range r.routers {
		held := entriesByName(s.catalog.held)
		for _, key := range slices.Concat(modelPages...) {
			if !r.wasAtOrAfter(key, held[key], s.catalog.held.GetRevision()) {
				t.Fatalf("router %d announces revision %d of %d, but holds of %s: %v", i, s.catalog.held.GetRevision(), r.model.revision(), key, held[key])
			}
		}
	}
}

// wasAtOrAfter reports whether a backend server's entry was this one at a revision or after it.
func (r *catalogRun) wasAtOrAfter(key string, entry *wire.CatalogEntry, revision uint64) bool {
	for at := revision; at <= r.model.revision(); at++ {
		b := r.model.at(key, at)
		if b == nil && entry == nil || b != nil && proto.Equal(entryOf(b), entry) {
			return true
		}
	}
	return false
}

// settle makes one router list and watch, and the others fetch from it, and checks that all agree with the store.
func (r *catalogRun) settle(t *rapid.T) {
	now := r.model.revision()
	r.listNow(0)
	for range r.routers {
		for to := range r.routers {
			for from := range r.routers {
				r.fetch(t, to, from)
			}
		}
	}
	for i, s := range r.routers {
		if s.versions() != r.routers[0].versions() {
			t.Fatalf("router %d would fetch again: %v, %v", i, s.versions(), r.routers[0].versions())
		}
		held := entriesByName(s.catalog.held)
		for _, key := range slices.Concat(modelPages...) {
			b := r.model.at(key, now)
			if (b == nil) != (held[key] == nil) || b != nil && !proto.Equal(entryOf(b), held[key]) {
				t.Fatalf("router %d holds of %s at the end: %v, want %v", i, key, held[key], b)
			}
		}
	}
}

// TestCatalogsMatchModel guards against a router that announces a revision of which it hasn't seen all changes, as one did
// that had started with a list of pages of different ages: others would replace newer content by its.
func TestCatalogsMatchModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &catalogRun{routers: make([]*Service, 3)}
		for i := range r.routers {
			r.start(t, i)
		}
		pick := func(t *rapid.T) int { return rapid.IntRange(0, len(r.routers)-1).Draw(t, "router") }
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				key := rapid.SampledFrom(slices.Concat(modelPages...)).Draw(t, "key")
				if rapid.IntRange(0, 3).Draw(t, "withdrawn") == 0 {
					r.model.put(key, nil)
					return
				}
				r.model.put(key, &config.Discovered{
					Incarnation: model.Incarnation{Name: key}, Pool: "engines", Address: "10.0.0.1:1", Slots: 2,
					Leaving: rapid.Bool().Draw(t, "leaving"),
				})
			},
			"restart": func(t *rapid.T) { r.start(t, pick(t)) },
			"list":    func(t *rapid.T) { r.listNow(pick(t)) },
			"watch":   func(t *rapid.T) { r.watch(pick(t)) },
			"fetch":   func(t *rapid.T) { r.fetch(t, pick(t), pick(t)) },
			"":        r.check,
		})
		r.settle(t)
	})
}

// TestCatalogOfOlderPagesIsNotTakenOver guards against the catalog of a router that starts with an old first page replacing
// the newer one of another router, in which a backend server drains.
func TestCatalogOfOlderPagesIsNotTakenOver(t *testing.T) {
	is := is.New(t)
	server := func(leaving bool) *config.Discovered {
		return &config.Discovered{Incarnation: model.Incarnation{Name: "a"}, Pool: "engines", Address: "10.0.0.1:1", Slots: 2, Leaving: leaving}
	}
	r := &catalogRun{routers: []*Service{newTestService(), newTestService()}}
	r.model.put("a", server(false))
	r.listNow(0)
	for range 4 { // the drain, and heartbeats that leave the catalog as it is
		r.model.put("a", server(true))
		r.watch(0)
	}
	r.list(1, []uint64{1, r.model.revision(), r.model.revision()}, true)
	r.fetch(t, 0, 1)
	is.True(r.routers[0].catalog.held.Entries[0].Leaving)
}

// TestOlderCatalogIsNotTakenOver guards against the catalog of another router replacing newer content of this one, where
// changes that leave the catalog as it is have not raised its revision: a backend server that came and went would be back.
func TestOlderCatalogIsNotTakenOver(t *testing.T) {
	is := is.New(t)
	r := &catalogRun{routers: []*Service{newTestService(), newTestService()}}
	r.model.put("a", nil)
	r.listNow(0)
	r.model.put("b", &config.Discovered{Incarnation: model.Incarnation{Name: "b"}, Pool: "engines", Address: "10.0.0.1:1", Slots: 2})
	r.listNow(1)
	r.model.put("b", nil)
	r.watch(0)
	r.fetch(t, 0, 1)
	is.Equal(len(r.routers[0].catalog.held.Entries), 0)
	r.fetch(t, 1, 0)
	is.Equal(len(r.routers[1].catalog.held.Entries), 0) // the other one follows
}
