package generation

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/config"
	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/wire"
)

// TestUnreadableAnnouncementEndsAsALeavingServer lets what can't be read replace a good
// announcement, come where there was none, and be replaced by a good one: the server that was named
// gets nothing new and isn't taken for lapsed, all others hold, and a good one counts again.
func TestUnreadableAnnouncementEndsAsALeavingServer(t *testing.T) {
	is := is.New(t)
	s := newTestService()
	s.catalog.entries = map[string]*wire.CatalogEntry{}
	good := func(key string) Announcement {
		return Announcement{Key: key, Backend: &config.Discovered{Incarnation: model.Incarnation{Name: key}, Pool: "engines", Address: "10.0.0.1:1", Slots: 2}}
	}
	bad := func(key string) Announcement { return Announcement{Key: key, Problem: errors.New("no entry")} }
	leaving := func() map[string]bool {
		out := map[string]bool{}
		for _, e := range s.withLapsed() {
			out[e.Name] = e.Leaving
		}
		return out
	}
	s.takeAnnouncements([]Announcement{good("a"), good("b"), good("c")}, 1, nil)
	s.takeAnnouncements([]Announcement{bad("a"), bad("b"), bad("new")}, 2, s.catalog.entries)
	is.Equal(leaving(), map[string]bool{"a": true, "b": true, "c": false})
	is.Equal(len(s.catalog.lapsed.entries), 0)

	before := s.catalog.entries // and so where all is listed anew
	s.catalog.entries = map[string]*wire.CatalogEntry{}
	s.takeAnnouncements([]Announcement{bad("a"), good("b"), good("c"), bad("new")}, 3, before)
	is.Equal(leaving(), map[string]bool{"a": true, "b": false, "c": false})

	s.takeAnnouncements([]Announcement{{Key: "a"}}, 4, s.catalog.entries) // taken back
	is.Equal(leaving(), map[string]bool{"b": false, "c": false})
}
