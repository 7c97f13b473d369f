package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/tamarindstep/tamarindstep/model"
)

// TestFleetStaysInBudget draws requests and failures at several routers, and
// counts second sends over every window of the fleet.
func TestFleetStaysInBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}
		routers := rapid.IntRange(1, 9).Draw(t, "routers")
		var fleet []*Budget
		for range routers {
			b := New(limits)
			b.SetRouters(routers)
			fleet = append(fleet, b)
		}
		var requests, repeats []time.Duration
		for range rapid.IntRange(100, 2000).Draw(t, "events") {
			now := time.Duration(rapid.IntRange(0, 20000).Draw(t, "gap")) * time.Microsecond
			if len(requests) > 0 {
				now += requests[len(requests)-1]
			}
			b := fleet[rapid.IntRange(0, routers-1).Draw(t, "router")]
			b.Request(now, 1)
			requests = append(requests, now)
			for range rapid.IntRange(0, 2).Draw(t, "failures") {
				if b.Take(now, 1) {
					repeats = append(repeats, now)
				}
			}
		}
		for i, from := range repeats {
			n := countUntil(repeats[i:], from, from+limits.Window)
			of := countUntil(requests, from, from+limits.Window)
			if float64(n) > limits.Ratio*float64(of)+limits.Slack+1 {
				t.Fatalf("%d second sends of %d requests in a window", n, of)
			}
		}
	})
}

// countUntil returns how many times lie from one time up to another.
func countUntil(times []time.Duration, from, until time.Duration) int {
	n := 0
	for _, at := range times {
		if at >= from && at < until {
			n++
		}
	}
	return n
}

func TestWindowMovesOn(t *testing.T) {
	is := is.New(t)
	b := New(Limits{Slack: 10, Window: 10 * time.Second})
	taken := 0
	for b.Take(0, 1) {
		taken++
	}
	is.Equal(taken, 6)                   // the margin
	is.True(!b.Take(9*time.Second, 1))   // still in the window
	is.True(b.Take(11*time.Second+1, 1)) // past it
	is.True(b.Take(0, model.PoolID(2)))  // another pool has its own
	is.True(New(Limits{}).Take(0, 1))    // no window, no limit
}
