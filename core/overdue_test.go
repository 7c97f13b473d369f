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

// TestOverdueReportsAreTold drops what one router tells: the others name it once each, and once more
// when it is heard again.
func TestOverdueReportsAreTold(t *testing.T) {
	is := is.New(t)
	f := loadedFleet(9, 100_000)
	mute := f.nodes[3]
	f.sendOne(mute)
	f.runUntil(f.time.Now() + 300*time.Millisecond)
	f.tamper = func(d *wire.Datagram) *wire.Datagram {
		d.Loads = slices.DeleteFunc(d.Loads, func(l *wire.Loads) bool { return l.Router == model.HashName(mute.name) })
		return d
	}
	told := map[bool]int{}
	f.onOverdue = func(_ *node, a LoadsOverdue) {
		if a.Router == mute.name {
			told[a.Again]++
		}
	}
	sends := func(seconds int) {
		for range 20 * seconds {
			for _, n := range f.nodes {
				f.sendLong(n)
			}
			f.runUntil(f.time.Now() + 50*time.Millisecond)
		}
	}
	sends(3)
	is.Equal(told, map[bool]int{false: 8})
	f.tamper = nil
	sends(1)
	is.Equal(told, map[bool]int{false: 8, true: 8})
}

// TestSilenceCountsFromTheReturn guards against telling of half a minute's silence of a router that was held
// for dead for a moment: what was known of it is forgotten then.
func TestSilenceCountsFromTheReturn(t *testing.T) {
	is := is.New(t)
	f := loadedFleet(9, 100_000)
	told := 0
	f.onOverdue = func(_ *node, _ LoadsOverdue) { told++ }
	n, name := f.nodes[0], f.nodes[3].name
	f.runUntil(f.time.Now() + 2*overdueEvery)
	n.core.memberChanged(member.Change{Name: name, Status: wire.Status_STATUS_DEAD})
	n.core.overdue.looked = 0
	for _, a := range n.core.Step(f.time.Now(), Tick{}) {
		f.act(n, a)
	}
	is.Equal(told, 0)
}
