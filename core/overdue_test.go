package core

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

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
