package generation

import (
	"testing"

	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/wire"
)

// TestVersionsSurviveCatalogsWithoutThem guards against streams that can't be resumed while routers of a build that
// doesn't read software versions publish the catalog: their backend servers would seem to change their version each time.
func TestVersionsSurviveCatalogsWithoutThem(t *testing.T) {
	is := is.New(t)
	before := &wire.Catalog{Revision: 1, Entries: []*wire.CatalogEntry{
		{Name: "a", Version: "v1"}, {Name: "b", Version: "v1", BornMs: 5}, {Name: "c", Version: "v1"},
	}}
	after := &wire.Catalog{Revision: 2, Entries: []*wire.CatalogEntry{
		{Name: "a", Slots: 3}, {Name: "b", BornMs: 6}, {Name: "c", Version: "v2"}, {Name: "d"},
	}}
	published := after.Entries[0]
	keepVersions(before, after)
	var versions []string
	for _, e := range after.Entries {
		versions = append(versions, e.Version)
	}
	is.Equal(versions, []string{"v1", "", "v2", ""}) // b has started again
	is.Equal(after.Entries[0].Slots, uint32(3))
	is.Equal(published.Version, "") // the announcement is unchanged
}
