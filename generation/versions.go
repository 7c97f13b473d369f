package generation

import (
	"google.golang.org/protobuf/proto"

	"github.com/tamarindstep/tamarindstep/wire"
)

// keepVersions sets the software version of each backend server for which the newer catalog has none to the known one.
// Routers of a build that doesn't read versions publish catalogs without them, and a process doesn't change its version.
func keepVersions(before, after *wire.Catalog) {
	known := entriesByName(before)
	for i, e := range after.Entries {
		old := known[e.Name]
		if e.Version != "" || old.GetVersion() == "" || old.BornMs != e.BornMs {
			continue
		}
		kept := proto.Clone(e).(*wire.CatalogEntry)
		kept.Version = old.Version
		after.Entries[i] = kept
	}
}
