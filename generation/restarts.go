package generation

import (
	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/wire"
)

// incarnationOf returns the incarnation of a catalog entry.
func incarnationOf(e *wire.CatalogEntry) model.Incarnation {
	return model.Incarnation{Name: e.Name, Born: e.BornMs}
}

// reportRestarts logs and counts the backend servers that have a newer incarnation in a newer catalog. State of the
// previous incarnation needs no reset, as it is stored by incarnation. The caller holds the lock.
func (s *Service) reportRestarts(before, after *wire.Catalog) {
	old := entriesByName(before)
	for _, e := range after.GetEntries() {
		o := old[e.Name]
		if o == nil || !incarnationOf(e).IsRestartOf(incarnationOf(o)) {
			continue
		}
		s.metrics.Restarts.Inc()
		s.log.Info().Str("backend", e.Name).Uint64("born_ms", e.BornMs).Uint64("before_ms", o.BornMs).
			Uint64("catalog", after.Revision).Msg("backend server started again")
	}
}
