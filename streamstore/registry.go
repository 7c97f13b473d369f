package streamstore

import (
	"context"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/store"
	"github.com/tamarindstep/tamarindstep/wire"
)

// document is the content of the registry. The lineages are sorted.
type document struct {
	listed []model.Lineage
	marked []model.Lineage // those of the listed ones that are to be removed
}

// syncRegistry reads the registry, and changes it if needed, in the background.
func (s *Service) syncRegistry(a core.SyncRegistry) {
	s.background(func() {
		got, err := s.sync(s.run, a)
		if err != nil {
			s.log.Warn().Err(err).Int("add", len(a.Add)).Int("mark", len(a.Mark)).Int("remove", len(a.Remove)).Msg("registry of lineages not reached")
		}
		s.scheduler.Enqueue(core.RegistrySynced{Sync: a.Sync, Listed: got.listed, Marked: got.marked, Reached: err == nil})
	})
}

// sync returns the registry after the requested changes. If another router changes it meanwhile, nothing is marked or
// removed: that router may have seen a lineage served again.
func (s *Service) sync(ctx context.Context, a core.SyncRegistry) (document, error) {
	known, err := s.get(ctx, RegistryKey, "lineages")
	for range maxSwaps {
		if err != nil {
			return document{}, err
		}
		before := s.decode(known)
		after := before.changed(a)
		if before.equal(after) {
			return after, nil
		}
		var swapped bool
		known, swapped, err = s.swap(ctx, RegistryKey, "lineages", known.Revision, after.encode())
		if swapped {
			s.logChange(a, after, known.Revision)
			return after, nil
		}
		a.Mark, a.Remove = nil, nil
	}
	return document{}, store.Unavailable.New("registry changed by other routers %d times", maxSwaps)
}

func (s *Service) logChange(a core.SyncRegistry, after document, revision int64) {
	s.log.Info().Int("added", len(a.Add)).Int("marked", len(a.Mark)).Int("removed", len(a.Remove)).
		Int("listed", len(after.listed)).Int64("revision", revision).Msg("registry of lineages changed")
}

// changed returns the registry after a change. Only what has been marked is removed.
func (d document) changed(a core.SyncRegistry) document {
	removed := intersection(a.Remove, d.marked)
	return document{
		listed: union(without(d.listed, removed), a.Add),
		marked: without(union(d.marked, intersection(a.Mark, d.listed)), slices.Concat(removed, a.Add)),
	}
}

func (d document) equal(other document) bool {
	return slices.Equal(d.listed, other.listed) && slices.Equal(d.marked, other.marked)
}

// union returns the sorted lineages of two sets.
func union(a, b []model.Lineage) []model.Lineage {
	out := slices.Concat(a, b)
	slices.SortFunc(out, model.CompareLineages)
	return slices.Compact(out)
}

// without returns the lineages of a set that aren't in another one.
func without(set, other []model.Lineage) []model.Lineage {
	return slices.DeleteFunc(slices.Clone(set), func(l model.Lineage) bool { return slices.Contains(other, l) })
}

// intersection returns the lineages of a set that are in another one as well.
func intersection(set, other []model.Lineage) []model.Lineage {
	return slices.DeleteFunc(slices.Clone(set), func(l model.Lineage) bool { return !slices.Contains(other, l) })
}

// markAge is the age of the lineages in the document that are marked; that of the others is 0.
const markAge = 1

func (d document) encode() []byte {
	out := &wire.LineageHistory{}
	for _, l := range d.listed {
		out.Pools = append(out.Pools, uint32(l.Pool))
		out.Builds = append(out.Builds, uint32(l.Build))
		age := uint32(0)
		if slices.Contains(d.marked, l) {
			age = markAge
		}
		out.AgesMs = append(out.AgesMs, age)
	}
	data, err := proto.Marshal(out)
	if err != nil {
		panic("lineages can't be encoded: " + err.Error()) // a message of numbers only
	}
	return data
}

// decode returns the content of the document. One that can't be decoded is treated as empty, and replaced by the next
// change.
func (s *Service) decode(v store.Value) document {
	in := &wire.LineageHistory{}
	if err := proto.Unmarshal(v.Data, in); err != nil {
		s.log.Warn().Err(err).Int64("revision", v.Revision).Msg("can't decode the registry of lineages")
		return document{}
	}
	var out document
	for i := range min(len(in.Pools), len(in.Builds)) {
		l := model.Lineage{Pool: model.PoolID(in.Pools[i]), Build: model.Build(in.Builds[i])}
		out.listed = append(out.listed, l)
		if i < len(in.AgesMs) && in.AgesMs[i] == markAge {
			out.marked = append(out.marked, l)
		}
	}
	return document{listed: union(out.listed, nil), marked: union(out.marked, nil)}
}
