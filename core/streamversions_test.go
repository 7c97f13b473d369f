package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/core/streams"
	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/policy/promptaffinity"
)

// routersBeginningNext returns the number of live routers at which the next version may begin streams.
func (f *streamFleet) routersBeginningNext() int {
	out := 0
	for _, n := range f.routers {
		if !n.down && len(n.core.unsettled(model.Pool(assistant))) == 0 {
			out++
		}
	}
	return out
}

// TestVersionKnownToAllBeginsAtOnce guards against a new version that begins no streams for seconds though every router
// knows of it.
func TestVersionKnownToAllBeginsAtOnce(t *testing.T) {
	t.Parallel()
	for _, routers := range []int{2, 9, 59, 295} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			is := is.New(t)
			f := newStreamFleet(promptaffinity.Policy, routers, "v1")
			f.configureAt(f.routers, released(f.config, 2, "v2"))
			began := f.time.Now()
			for f.routersBeginningNext() < routers && f.time.Now() < began+streams.SettlePeriod {
				f.runUntil(f.time.Now() + 10*time.Millisecond)
			}
			t.Logf("%d routers: after %v", routers, f.time.Now()-began)
			is.True(f.time.Now()-began < time.Second)
		})
	}
}

// TestVersionUnknownToOneRouterBeginsNoStreams guards against streams at a version that a router doesn't know of, which would
// resume them at another one: it hasn't got the list, is cut off, or has just been taken for dead.
func TestVersionUnknownToOneRouterBeginsNoStreams(t *testing.T) {
	for name, fail := range map[string]func(*streamFleet, *testRouter){
		"without the list": func(*streamFleet, *testRouter) {},
		"cut off": func(f *streamFleet, unknowing *testRouter) {
			f.cut = func(a, b *testRouter) bool { return (a == unknowing) != (b == unknowing) }
		},
		"killed": func(f *streamFleet, unknowing *testRouter) { f.kill(unknowing) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newStreamFleet(promptaffinity.Policy, 9, "v1")
			fail(f, f.routers[0])
			f.configureAt(f.routers[1:], released(f.config, 2, "v2"))
			for range 40 {
				f.runUntil(f.time.Now() + 100*time.Millisecond)
				is.Equal(f.routersBeginningNext(), 1-boolToInt(f.routers[0].down)) // the one with the old list
			}
			f.runUntil(f.time.Now() + 2*streams.SettlePeriod)
			is.Equal(f.routersBeginningNext(), 9-boolToInt(f.routers[0].down))
		})
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
