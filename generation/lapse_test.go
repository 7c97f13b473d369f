package generation

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/tamarindstep/tamarindstep/telemetry"
	"github.com/tamarindstep/tamarindstep/wire"
)

// catalogOf returns a catalog of one pool with the numbered backend servers.
func catalogOf(revision uint64, numbers ...int) *wire.Catalog {
	out := &wire.Catalog{Revision: revision}
	for _, n := range numbers {
		out.Entries = append(out.Entries, &wire.CatalogEntry{Name: fmt.Sprintf("engine-%d", n), Pool: "engines"})
	}
	return out
}

func newTestService() *Service {
	s := New(Source{}, zerolog.Nop(), telemetry.NewMetrics().Platform)
	s.run = context.Background()
	return s
}

// TestLapsedBackendsAreKept lets the announcements of most backend servers expire at once, as after an outage of the
// store, and some of them return.
func TestLapsedBackendsAreKept(t *testing.T) {
	is := is.New(t)
	s := newTestService()
	s.installCatalog(catalogOf(1, 1, 2, 3, 4, 5, 6))
	s.installCatalog(catalogOf(2, 1))
	is.Equal(len(s.withLapsed()), 6)
	s.installCatalog(catalogOf(3, 1, 2, 3))
	is.Equal(len(s.withLapsed()), 6)
	s.endLapse()
	is.Equal(len(s.withLapsed()), 6) // the grace period is not over
	s.catalog.lapsed.until = time.Now()
	edition := s.catalog.edition
	s.endLapse()
	is.Equal(len(s.withLapsed()), 3)
	is.True(s.catalog.edition > edition) // the core accepts the new state though the catalog is the same
}

// TestLeavingBackendsAreNotKept removes backend servers that announced that they leave, and then a minority of a
// pool.
func TestLeavingBackendsAreNotKept(t *testing.T) {
	is := is.New(t)
	s := newTestService()
	all := catalogOf(1, 1, 2, 3, 4, 5, 6)
	for _, e := range all.Entries[1:] {
		e.Leaving = true
	}
	s.installCatalog(all)
	s.installCatalog(catalogOf(2, 1))
	is.Equal(len(s.withLapsed()), 1)

	s = newTestService()
	s.installCatalog(catalogOf(1, 1, 2, 3, 4, 5, 6))
	s.installCatalog(catalogOf(2, 1, 2, 3, 4))
	is.Equal(len(s.withLapsed()), 4)
}
