package generation

import (
	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/wire"
)

// incarnationOf returns the run that an entry is of.
func incarnationOf(e *wire.CatalogEntry) model.Incarnation {
	return model.Incarnation{Name: e.Name, Born: e.BornMs}
}

// noteRestarts tells of the backend servers that a newer catalog has another run of. All that is known of the run
// before ends with it, as it is kept by the run's identity. The caller holds the lock.
func (s *Service) noteRestarts(before, after *wire.Catalog) {
	old := byNames(before)
	for _, e := range after.GetEntries() {
		o := old[e.Name]
		if o == nil || !incarnationOf(e).Follows(incarnationOf(o)) {
			continue
		}
		s.metrics.Restarts.Inc()
		s.log.Info().Str("backend", e.Name).Uint64("born_ms", e.BornMs).Uint64("before_ms", o.BornMs).
			Uint64("catalog", after.Revision).Msg("backend server started again")
	}
}
