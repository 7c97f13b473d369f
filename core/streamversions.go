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
	recent := c.streams.tracker.Recent(c.now, c.isFresh)
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
	for _, name := range c.members.Names() {
		if c.members.Get(name).DeadFor(c.now) < streams.SettlePeriod && !c.isKnownTo(name, l) {
			return false
		}
	}
	return true
}

// isKnownToMost reports whether more than half of all routers know of a version. Any router that asks as many finds one of
// them.
func (c *Core) isKnownToMost(l model.Lineage) bool {
	others := 0
	for _, name := range c.members.Names() {
		if c.isKnownTo(name, l) {
			others++
		}
	}
	return c.isMajority(others)
}

// isKnownTo reports whether another router has told that it knows of a version.
func (c *Core) isKnownTo(name string, l model.Lineage) bool {
	report := c.streams.knownVersions.byRouter[model.NameHash(name)]
	boot := c.members.Get(name).Boot
	restarted := boot != 0 && report.process != uint32(boot) // routers that have not met don't know each other's process
	return !restarted && slices.Contains(report.versions, l.ID())
}
