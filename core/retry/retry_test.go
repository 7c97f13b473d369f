package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/tamarindstep/tamarindstep/model"
)

// TestFleetStaysInBudget generates requests and failures at several routers, and
// checks the number of retries in each window over the fleet.
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
		var requests, retries []time.Duration
		for range rapid.IntRange(100, 2000).Draw(t, "events") {
			now := time.Duration(rapid.IntRange(0, 20000).Draw(t, "gap")) * time.Microsecond
			if len(requests) > 0 {
				now += requests[len(requests)-1]
			}
			b := fleet[rapid.IntRange(0, routers-1).Draw(t, "router")]
			b.CountRequest(now, 1)
			requests = append(requests, now)
			for range rapid.IntRange(0, 2).Draw(t, "failures") {
				if b.TryTake(now, 1) {
					retries = append(retries, now)
				}
			}
		}
		for i, from := range retries {
			n := countBetween(retries[i:], from, from+limits.Window)
			of := countBetween(requests, from, from+limits.Window)
			if float64(n) > limits.Ratio*float64(of)+limits.Slack+1 {
				t.Fatalf("%d retries of %d requests in a window", n, of)
			}
		}
	})
}

// countBetween returns how many times are in [from, until).
func countBetween(times []time.Duration, from, until time.Duration) int {
	n := 0
	for _, at := range times {
		if at >= from && at < until {
			n++
		}
	}
	return n
}

func TestWindowSlides(t *testing.T) {
	is := is.New(t)
	b := New(Limits{Slack: 10, Window: 10 * time.Second})
	taken := 0
	for b.TryTake(0, 1) {
		taken++
	}
	is.Equal(taken, 6)                      // margin times Slack
	is.True(!b.TryTake(9*time.Second, 1))   // still in the window
	is.True(b.TryTake(11*time.Second+1, 1)) // after it
	is.True(b.TryTake(0, model.PoolID(2)))  // another pool has its own
	is.True(New(Limits{}).TryTake(0, 1))    // no window, no limit
}

// TestPartedFleetStaysInBudget guards against two parts of a fleet, each of which takes the other for dead, that together
// exceed the budget.
func TestPartedFleetStaysInBudget(t *testing.T) {
	is := is.New(t)
	limits := Limits{Slack: 50, Window: 10 * time.Second}
	taken := 0
	for range 4 {
		b := New(limits)
		b.SetRouters(4)
		b.SetRouters(2) // the others are cut off
		for b.TryTake(time.Second, 1) {
			taken++
		}
	}
	is.True(taken > 0 && taken <= 50)
}
