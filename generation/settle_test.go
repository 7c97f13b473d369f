package generation

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/tamarindstep/tamarindstep/config"
	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/wire"
)

// storeModel is a model of a store that is restored from backups: its entries, their versions, and the changes that a
// watch returns.
type storeModel struct {
	era      uint32
	revision int64
	servers  map[string]bool   // by name: whether it leaves
	states   []map[string]bool // by revision, of this era and of the backup
	changes  []Announcement    // since the last list or watch
}

func newStoreModel() *storeModel {
	return &storeModel{servers: map[string]bool{}, states: []map[string]bool{{}}}
}

func (m *storeModel) version() uint64 { return uint64(model.VersionOf(m.era, m.revision)) }

func cloneOf(in map[string]bool) map[string]bool {
	out := map[string]bool{}
	for name, leaving := range in {
		out[name] = leaving
	}
	return out
}

func announcement(name string, leaving bool, version uint64) Announcement {
	return Announcement{Key: "key of " + name, Revision: version, Backend: &config.Discovered{Incarnation: model.Incarnation{Name: name}, Pool: "pool", Leaving: leaving}}
}

// write writes or withdraws an entry.
func (m *storeModel) write(name string, there, leaving bool) {
	_, was := m.servers[name]
	if !there && !was {
		return
	}
	m.revision++
	m.servers = cloneOf(m.servers)
	if !there {
		delete(m.servers, name)
		m.changes = append(m.changes, Announcement{Key: "key of " + name, Revision: m.version()})
	} else {
		m.servers[name] = leaving
		m.changes = append(m.changes, announcement(name, leaving, m.version()))
	}
	m.states = append(m.states, m.servers)
}

// restore restores the store from the backup of a revision.
func (m *storeModel) restore(revision int64) {
	m.era++
	m.revision = revision
	m.states = m.states[:revision+1]
	m.servers = m.states[revision]
	m.changes = nil
}

func (m *storeModel) list() []Announcement {
	var out []Announcement
	for name, leaving := range m.servers {
		out = append(out, announcement(name, leaving, m.version()))
	}
	slices.SortFunc(out, func(a, b Announcement) int { return compareNames(entryOf(a.Backend), entryOf(b.Backend)) })
	return out
}

// settleRun is a router that lists and watches a storeModel.
type settleRun struct {
	store   *storeModel
	router  *Service
	before  map[string]bool // state before the last restore
	written map[string]bool // names that were written since
	highest uint64          // highest version that was published
}

func (r *settleRun) list() {
	r.router.mu.Lock()
	defer r.router.mu.Unlock()
	all := r.store.list()
	before := r.router.catalog.entries
	r.router.catalog.entries = map[string]*wire.CatalogEntry{}
	r.router.settleCatalog(all, r.store.version())
	r.router.applyAnnouncements(all, r.store.version(), before)
	r.store.changes = nil
}

func (r *settleRun) watch() {
	r.router.mu.Lock()
	defer r.router.mu.Unlock()
	for _, change := range r.store.changes {
		r.router.recordWritten(change)
		r.router.applyAnnouncements([]Announcement{change}, change.Revision, r.router.catalog.entries)
	}
	r.store.changes = nil
}

func (r *settleRun) held() map[string]bool {
	out := map[string]bool{}
	for _, e := range r.router.catalog.held.GetEntries() {
		out[e.Name] = e.Leaving
	}
	return out
}

// check fails if a server that has not been written since the restore differs from its previous state, if one that
// has been written differs from that, or if the published version has decreased.
func (r *settleRun) check(t *rapid.T) {
	held := r.held()
	version := r.router.catalog.held.GetRevision()
	if version < r.highest {
		t.Fatalf("version %v is published after %v", model.Version(version), model.Version(r.highest))
	}
	r.highest = version
	for _, name := range serverNames {
		was, had := r.before[name]
		leaving, has := held[name]
		truth, there := r.store.servers[name]
		switch {
		case r.written[name] && (has != there || leaving != truth):
			t.Fatalf("%s was written: there %v, leaving %v; held: %v, %v", name, there, truth, has, leaving)
		case !r.written[name] && had && (!has || was && !leaving):
			t.Fatalf("%s existed, leaving %v, and has not been written; held: %v, %v", name, was, has, leaving)
		}
	}
}

var serverNames = []string{"a", "b", "c", "d"}

// TestServersSettleAfterRestores restores a store from backups repeatedly while its servers write their entries: a
// router must keep the previous state of a server until the server has written its entry again, and use the written
// state from then on.
func TestServersSettleAfterRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &settleRun{store: newStoreModel(), router: newTestService(), written: map[string]bool{}}
		name := func() string { return rapid.SampledFrom(serverNames).Draw(t, "server") }
		for range rapid.IntRange(1, 12).Draw(t, "first") {
			r.store.write(name(), rapid.IntRange(0, 3).Draw(t, "there") > 0, rapid.Bool().Draw(t, "leaving"))
		}
		r.list()
		for range rapid.IntRange(1, 4).Draw(t, "returns") {
			for range rapid.IntRange(0, 6).Draw(t, "changes") {
				r.store.write(name(), rapid.IntRange(0, 3).Draw(t, "there") > 0, rapid.Bool().Draw(t, "leaving"))
				r.watch()
			}
			r.before, r.written = r.held(), map[string]bool{}
			r.store.restore(int64(rapid.IntRange(0, int(r.store.revision)).Draw(t, "copy")))
			r.list()
			r.check(t)
			for range rapid.IntRange(0, 6).Draw(t, "rewritten") {
				n := name()
				before := r.store.revision
				r.store.write(n, rapid.IntRange(0, 3).Draw(t, "there") > 0, rapid.Bool().Draw(t, "leaving"))
				r.written[n] = r.written[n] || r.store.revision > before
				r.watch()
				r.check(t)
			}
			if rapid.Bool().Draw(t, "settles") {
				r.router.catalog.settling.until = time.Now()
				r.router.endSettling()
				if got := r.held(); fmt.Sprint(got) != fmt.Sprint(r.store.servers) {
					t.Fatalf("settled: %v, the store has %v", got, r.store.servers)
				}
			}
		}
	})
}

// TestDepartedServersStayRemovedAfterRestore removes a server and restores the store from a backup that contains it.
func TestDepartedServersStayRemovedAfterRestore(t *testing.T) {
	is := is.New(t)
	r := &settleRun{store: newStoreModel(), router: newTestService()}
	r.store.write("a", true, false)
	r.store.write("b", true, false)
	r.list()
	r.store.write("a", false, false)
	r.watch()
	r.store.restore(2)
	r.list()
	is.Equal(r.held(), map[string]bool{"b": false})
	r.store.write("a", true, false) // it exists after all
	r.watch()
	is.Equal(r.held(), map[string]bool{"a": false, "b": false})
}

// TestInitialReadDoesNotOverrideNewerState starts a router right after a restore, with the state of the backup: other
// routers must not consider it newer, and it must take theirs.
func TestInitialReadDoesNotOverrideNewerState(t *testing.T) {
	is := is.New(t)
	old, fresh := newTestService(), newTestService()
	old.installCatalog(&wire.Catalog{Revision: 70, Entries: []*wire.CatalogEntry{{Name: "a", Leaving: true}}})
	old.installHalls(&wire.Halls{Revision: 71, Evacuated: []string{"hall"}})
	at := uint64(model.VersionOf(1, 30))
	fresh.catalog.entries = map[string]*wire.CatalogEntry{}
	fresh.applyAnnouncements([]Announcement{announcement("a", false, at)}, initialRevision(at), nil)
	fresh.replaceEvacuations(nil, at, true)
	is.True(!fresh.versions().Exceed(old.versions()))
	fresh.installCatalog(old.catalog.held)
	fresh.installHalls(old.halls.held)
	is.True(proto.Equal(fresh.catalog.held, old.catalog.held))
	is.True(proto.Equal(fresh.halls.held, old.halls.held))
	// Once it watches the store, it keeps the evacuations as the others do.
	fresh.replaceEvacuations(nil, at, false)
	is.Equal(fresh.halls.held.Evacuated, []string{"hall"})
}
