package member

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/wire"
)

// probeSilent ticks a router whose probes are never answered from one time until another, and reports whether any
// member is suspect or dead afterwards.
func probeSilent(l *List, from, until model.Time, late func(model.Time) bool) bool {
	for now := from; now < until; now += 10 * time.Millisecond {
		if late(now) {
			l.RecordLate(now)
		}
		l.Tick(now)
	}
	for _, name := range l.Names() {
		if l.Get(name).Status != wire.Status_STATUS_ALIVE {
			return true
		}
	}
	return false
}

// TestLateRouterSuspectsNobody guards against a slow router declaring others dead. While it is late, for ten seconds,
// its own probes make no member suspect or dead; soon after it is on time again they do.
func TestLateRouterSuspectsNobody(t *testing.T) {
	is := is.New(t)
	l := New(Member{Name: "self", Boot: 1}, rand.New(rand.NewPCG(1, 2)))
	l.SetListed(0, []Listed{{Name: "a", Address: "a"}, {Name: "b", Address: "b"}, {Name: "c", Address: "c"}})
	is.True(!probeSilent(l, 0, 10*time.Second, func(model.Time) bool { return true }))
	is.True(probeSilent(l, 10*time.Second, 12*time.Second, func(model.Time) bool { return false }))

	// Late once, as after a pause: the acks that it missed are still awaited.
	l = New(Member{Name: "self", Boot: 1}, rand.New(rand.NewPCG(1, 2)))
	l.SetListed(0, []Listed{{Name: "a", Address: "a"}})
	l.Tick(0) // sends a probe
	l.RecordLate(3 * time.Second)
	l.Tick(3 * time.Second)
	is.Equal(l.Get("a").Status, wire.Status_STATUS_ALIVE)
	is.True(probeSilent(l, 3*time.Second, 6*time.Second, func(model.Time) bool { return false }))
}
