package generation

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/tamarindstep/tamarindstep/wire"
)

const (
	// maxHistory is the number of catalog changes that are kept. Routers receive a change from each other within
	// about a second, in which a watch of the store brings a few.
	maxHistory = 64
	// maxChangePart is the part of the catalog from which on a change is as large as the full catalog.
	maxChangePart = 0.5
)

// history holds the last changes of the catalog, the oldest first. A router that is a few revisions behind gets only
// these, instead of some hundred bytes per backend server at each change of one of them.
type history struct{ changes []*wire.CatalogChange }

// add appends the change from one catalog to the next. Mixed catalogs of the same revision differ, so that a change from or
// to one applies to no other router's, and the changes before it lead to none that is in force.
func (h *history) add(before, after *wire.Catalog) {
	if before == nil {
		return
	}
	if before.Mixed || after.Mixed {
		h.changes = nil
		return
	}
	h.changes = append(h.changes, changeBetween(before, after))
	if n := len(h.changes) - maxHistory; n > 0 {
		h.changes = slices.Delete(h.changes, 0, n)
	}
}

// changeBetween returns the difference of two catalogs.
func changeBetween(before, after *wire.Catalog) *wire.CatalogChange {
	out := &wire.CatalogChange{Base: before.Revision, Revision: after.Revision}
	old := entriesByName(before)
	for _, e := range after.Entries {
		if o := old[e.Name]; o == nil || !proto.Equal(o, e) {
			out.Changed = append(out.Changed, e)
		}
		delete(old, e.Name)
	}
	out.Removed = slices.Sorted(maps.Keys(old))
	return out
}

func entriesByName(c *wire.Catalog) map[string]*wire.CatalogEntry {
	out := make(map[string]*wire.CatalogEntry, len(c.GetEntries()))
	for _, e := range c.GetEntries() {
		out[e.Name] = e
	}
	return out
}

// since returns the changes after a revision, merged into one, or nil if they are not available or about as large as
// the full catalog, which has the given number of entries.
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
	if float64(len(changed)+len(removed)) >= maxChangePart*float64(entries) {
		return nil
	}
	out.Changed = slices.SortedFunc(maps.Values(changed), compareNames)
	out.Removed = slices.Sorted(maps.Keys(removed))
	return out
}

// applyChange applies a change to a catalog. ok is false if the change is based on another revision.
func applyChange(c *wire.Catalog, change *wire.CatalogChange) (next *wire.Catalog, ok bool) {
	if c == nil || c.Revision != change.Base {
		return nil, false
	}
	entries := entriesByName(c)
	for _, e := range change.Changed {
		entries[e.Name] = e
	}
	for _, name := range change.Removed {
		delete(entries, name)
	}
	return &wire.Catalog{
		Revision: change.Revision, Entries: slices.SortedFunc(maps.Values(entries), compareNames),
	}, true
}
