package core

import (
	"slices"
	"time"

	"github.com/tamarindstep/tamarindstep/core/streams"
	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/wire"
)

// versionsInterval is how often routers tell each other the versions that appeared lately, as messages may be lost.
const versionsInterval = 200 * time.Millisecond

// versionReports is what routers have told of the software versions that they know, with their load reports. A version
// that every router knows of may begin streams: none would resume them at another one.
type versionReports struct {
	byRouter map[uint32]versionReport // by the hash of its name
	own      []model.Lineage          // told by this router
	nextTold model.Time               // when this router tells them again
}

// versionReport is what one router has told last.
type versionReport struct {
	process  uint32
	versions []uint32
}

func newVersionReports() versionReports { return versionReports{byRouter: map[uint32]versionReport{}} }

// tellVersions makes this router tell the others which versions it knows, at once if they have changed.
func (c *Core) tellVersions() {
	s := &c.streams.knownVersions
	recent := c.streams.tracker.Recent(c.now)
	changed := !slices.Equal(recent, s.own)
	s.own = recent
	if len(recent) == 0 {
		clear(s.byRouter)
	}
	if changed || len(recent) > 0 && c.now >= s.nextTold {
		s.nextTold = c.now + versionsInterval
		c.loads.changed = true
	}
}

// versionsToTell returns the versions that appeared lately, for this router's load report.
func (c *Core) versionsToTell() []uint32 {
	var out []uint32
	for _, l := range c.streams.knownVersions.own {
		out = append(out, l.ID())
	}
	return out
}

// recordKnownVersions records which versions another router knows.
func (c *Core) recordKnownVersions(in *wire.Loads) {
	reports := c.streams.knownVersions.byRouter
	if len(in.Versions) == 0 {
		delete(reports, in.Router)
		return
	}
	reports[in.Router] = versionReport{process: in.Process, versions: in.Versions}
}

// isKnownToAll reports whether every router knows of a version. One that has not been dead for long may still run, cut
// off or paused, and rely on an older list.
func (c *Core) isKnownToAll(l model.Lineage) bool {
	id := l.ID()
	for _, name := range c.members.Names() {
		m := c.members.Get(name)
		if m.DeadFor(c.now) >= streams.SettlePeriod {
			continue
		}
		report := c.streams.knownVersions.byRouter[model.NameHash(name)]
		restarted := m.Boot != 0 && report.process != uint32(m.Boot) // routers that have not met don't know each other's process
		if restarted || !slices.Contains(report.versions, id) {
			return false
		}
	}
	return true
}
