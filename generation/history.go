package generation

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/tamarindstep/tamarindstep/wire"
)

const (
	// maxHistory is how many changes of the catalog are kept. Routers follow each other
	// within a second or so, in which a watch of the store brings a few.
	maxHistory = 64
	// wholeFrom is the part of the catalog from which on a change is as large as the whole.
	wholeFrom = 0.5
)

// history holds the last changes of the catalog, the oldest first, so that a router which
// is a little behind is told what changed, and not some hundred bytes of each backend
// server at each change of one of them.
type history struct{ changes []*wire.CatalogChange }

// add notes that one catalog has followed another.
func (h *history) add(before, after *wire.Catalog) {
	if before == nil {
		return
	}
	h.changes = append(h.changes, changeBetween(before, after))
	if n := len(h.changes) - maxHistory; n > 0 {
		h.changes = slices.Delete(h.changes, 0, n)
	}
}

// changeBetween returns what leads from one catalog to another.
func changeBetween(before, after *wire.Catalog) *wire.CatalogChange {
	out := &wire.CatalogChange{Base: before.Revision, Revision: after.Revision}
	old := byNames(before)
	for _, e := range after.Entries {
		if o := old[e.Name]; o == nil || !proto.Equal(o, e) {
			out.Changed = append(out.Changed, e)
		}
		delete(old, e.Name)
	}
	out.Removed = slices.Sorted(maps.Keys(old))
	return out
}

func byNames(c *wire.Catalog) map[string]*wire.CatalogEntry {
	out := make(map[string]*wire.CatalogEntry, len(c.GetEntries()))
	for _, e := range c.GetEntries() {
		out[e.Name] = e
	}
	return out
}

// since returns the changes from a revision to the last one as one change, nil where they
// aren't known or as large as the whole catalog of so many entries.
func (h *history) since(revision uint64, entries int) *wire.CatalogChange {
	first := slices.IndexFunc(h.changes, func(c *wire.CatalogChange) bool { return c.Base == revision })
	if first < 0 {
		return nil
	}
	changed := map[string]*wire.CatalogEntry{}
	removed := map[string]bool{}
	out := &wire.CatalogChange{Base: revision}
	for _, c := range h.changes[first:] {
		out.Revision = c.Revision
		for _, e := range c.Changed {
			changed[e.Name] = e
			delete(removed, e.Name)
		}
		for _, name := range c.Removed {
			delete(changed, name)
			removed[name] = true
		}
	}
	if float64(len(changed)+len(removed)) >= wholeFrom*float64(entries) {
		return nil
	}
	out.Changed = slices.SortedFunc(maps.Values(changed), byName)
	out.Removed = slices.Sorted(maps.Keys(removed))
	return out
}

// applied returns the catalog that a change leads to; ok is false where it isn't of the
// catalog's revision.
func applied(c *wire.Catalog, change *wire.CatalogChange) (next *wire.Catalog, ok bool) {
	if c == nil || c.Revision != change.Base {
		return nil, false
	}
	entries := byNames(c)
	for _, e := range change.Changed {
		entries[e.Name] = e
	}
	for _, name := range change.Removed {
		delete(entries, name)
	}
	return &wire.Catalog{
		Revision: change.Revision, Entries: slices.SortedFunc(maps.Values(entries), byName),
	}, true
}
