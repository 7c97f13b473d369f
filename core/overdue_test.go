package core

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/core/member"
	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/wire"
)

// TestOverdueReportsAreReportedOnce drops the load reports of one router: each other router must report it as overdue
// once, and once more when its reports arrive again.
func TestOverdueReportsAreReportedOnce(t *testing.T) {
	is := is.New(t)
	f := loadedFleet(9, 100_000)
	silenced := f.routers[3]
	f.sendOne(silenced)
	f.runUntil(f.time.Now() + 300*time.Millisecond)
	f.modify = func(d *wire.Datagram) *wire.Datagram {
		d.Loads = slices.DeleteFunc(d.Loads, func(l *wire.Loads) bool { return l.Router == model.NameHash(silenced.name) })
		return d
	}
	reported := map[bool]int{}
	f.onOverdue = func(_ *testRouter, a LoadsOverdue) {
		if a.Router == silenced.name {
			reported[a.Resumed]++
		}
	}
	sends := func(seconds int) {
		for range 20 * seconds {
			for _, n := range f.routers {
				f.sendLong(n)
			}
			f.runUntil(f.time.Now() + 50*time.Millisecond)
		}
	}
	sends(3)
	is.Equal(reported, map[bool]int{false: 8})
	f.modify = nil
	sends(1)
	is.Equal(reported, map[bool]int{false: 8, true: 8})
}

// TestOverdueTimeCountsFromReturn guards against reporting half a minute without reports of a router that was
// considered dead for a moment, which discards its recorded state.
func TestOverdueTimeCountsFromReturn(t *testing.T) {
	is := is.New(t)
	f := loadedFleet(9, 100_000)
	reported := 0
	f.onOverdue = func(_ *testRouter, _ LoadsOverdue) { reported++ }
	n, name := f.routers[0], f.routers[3].name
	f.runUntil(f.time.Now() + 2*overdueCheckInterval)
	n.core.memberChanged(member.Change{Name: name, Status: wire.Status_STATUS_DEAD})
	n.core.overdue.lastCheck = 0
	for _, a := range n.core.Step(f.time.Now(), Tick{}) {
		f.act(n, a)
	}
	is.Equal(reported, 0)
}
