package generation

import (
	"context"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/tamarindstep/tamarindstep/wire"
)

// TestSmallChangeIsSentAsDelta removes one backend server out of many and adds one: a router that is one revision
// behind must get these two, and a router that has no catalog or has missed more than is kept must get the full
// catalog.
func TestSmallChangeIsSentAsDelta(t *testing.T) {
	is := is.New(t)
	s := newTestService()
	many := func(from, to int) []int {
		var out []int
		for n := from; n < to; n++ {
			out = append(out, n)
		}
		return out
	}
	s.installCatalog(catalogOf(1, many(0, 300)...))
	s.installCatalog(catalogOf(2, many(1, 301)...))
	out, err := s.Fetch(context.Background(), &wire.FetchRequest{Catalog: 1})
	is.NoErr(err)
	is.True(out.Catalog == nil)
	is.Equal(len(out.Change.Changed), 1)
	is.Equal(out.Change.Removed, []string{"engine-0"})
	is.True(proto.Size(out) < 200)
	out, err = s.Fetch(context.Background(), &wire.FetchRequest{})
	is.NoErr(err)
	is.Equal(len(out.Catalog.Entries), 300)
	for revision := range maxHistory {
		s.installCatalog(catalogOf(uint64(revision)+3, many(revision, revision+300)...))
	}
	out, err = s.Fetch(context.Background(), &wire.FetchRequest{Catalog: 1})
	is.NoErr(err)
	is.Equal(len(out.Catalog.Entries), 300)
}

// TestChangeOnOtherRevisionIsIgnored sends a router the changes since a revision that it no longer has.
func TestChangeOnOtherRevisionIsIgnored(t *testing.T) {
	is := is.New(t)
	s := newTestService()
	s.installCatalog(catalogOf(5, 1, 2, 3))
	s.installFetched(&wire.FetchResponse{Change: &wire.CatalogChange{Base: 4, Revision: 6, Removed: []string{"engine-1"}}})
	is.Equal(s.versions().Catalog, uint64(5))
	is.Equal(len(s.catalog.held.Entries), 3)
}

// TestCatalogsConverge lets routers fetch a catalog from each other in drawn order: responses are lost, delayed or
// reordered, and routers restart without state. Finally all must have the backend servers of the last revision.
func TestCatalogsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := make([]*Service, rapid.IntRange(2, 6).Draw(t, "routers"))
		for i := range routers {
			routers[i] = newTestService()
		}
		truth := catalogOf(1)
		late := map[int][]*wire.FetchResponse{}
		ask := func(i, from int) *wire.FetchResponse {
			out, err := routers[from].Fetch(context.Background(), &wire.FetchRequest{Catalog: routers[i].versions().Catalog})
			if err != nil {
				t.Fatal(err)
			}
			return proto.Clone(out).(*wire.FetchResponse)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, len(routers)-1).Draw(t, "router")
			switch rapid.SampledFrom([]string{"change", "fetch", "late", "arrive", "restart"}).Draw(t, "step") {
			case "change":
				truth = changed(t, truth)
				routers[0].installCatalog(proto.Clone(truth).(*wire.Catalog))
			case "fetch":
				routers[i].installFetched(ask(i, rapid.IntRange(0, len(routers)-1).Draw(t, "from")))
			case "late":
				late[i] = append(late[i], ask(i, rapid.IntRange(0, len(routers)-1).Draw(t, "from")))
			case "arrive":
				if n := len(late[i]); n > 0 {
					routers[i].installFetched(late[i][rapid.IntRange(0, n-1).Draw(t, "which")])
				}
			case "restart":
				routers[i] = newTestService()
			}
		}
		truth = changed(t, truth)
		routers[0].installCatalog(proto.Clone(truth).(*wire.Catalog))
		for i := range routers {
			routers[i].installFetched(ask(i, 0))
			held := &wire.Catalog{Revision: truth.Revision, Entries: routers[i].catalog.held.GetEntries()}
			if !proto.Equal(held, truth) { // the revision does not change if nothing else has
				t.Fatalf("router %d has %v, want %v", i, held, truth)
			}
		}
	})
}

// changed returns a catalog in which some backend servers were added, removed, or have begun to leave.
func changed(t *rapid.T, before *wire.Catalog) *wire.Catalog {
	out := &wire.Catalog{Revision: before.Revision + uint64(rapid.IntRange(1, 3).Draw(t, "revisions"))}
	for _, e := range before.Entries {
		switch rapid.IntRange(0, 9).Draw(t, "fate") {
		case 0: // removed
		case 1:
			leaving := proto.Clone(e).(*wire.CatalogEntry)
			leaving.Leaving = true
			out.Entries = append(out.Entries, leaving)
		default:
			out.Entries = append(out.Entries, e)
		}
	}
	for n := range rapid.IntRange(0, 3).Draw(t, "new") {
		name := fmt.Sprintf("engine-%06d-%d", out.Revision, n)
		out.Entries = append(out.Entries, &wire.CatalogEntry{Name: name, Pool: "engines"})
	}
	return out
}
