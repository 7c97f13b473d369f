package drain

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSends guards against a stopping router that sends a request for which there is no time, and against one that refuses
// requests for which there is.
func TestSends(t *testing.T) {
	for name, test := range map[string]struct {
		request Request
		want    bool
	}{
		"unknown duration, just after the signal":   {Request{SinceStop: 100 * time.Millisecond, Left: 7 * time.Second}, true},
		"unknown duration, last accepted":           {Request{SinceStop: AcceptTime, Left: 5 * time.Second}, true},
		"unknown duration, later":                   {Request{SinceStop: AcceptTime + 1, Left: 5 * time.Second}, false},
		"short, as long as there is time":           {Request{SinceStop: 7 * time.Second, Left: 300 * time.Millisecond, Expected: 200 * time.Millisecond}, true},
		"as long as the time left":                  {Request{SinceStop: time.Second, Left: 6 * time.Second, Expected: 6 * time.Second}, false},
		"longer than the time left, at the signal":  {Request{Left: 7 * time.Second, Expected: 10 * time.Second}, false},
		"long, accepted and with time for it":       {Request{SinceStop: time.Second, Left: 6 * time.Second, Expected: 4 * time.Second}, true},
		"no time left, and hardly any is needed":    {Request{SinceStop: 8 * time.Second, Left: -time.Millisecond, Expected: time.Millisecond}, false},
		"whole long after requests were accepted":   {Request{SinceStop: 4 * time.Second, Left: 3 * time.Second, Expected: 6 * time.Second}, false},
		"whole after requests were accepted, short": {Request{SinceStop: 4 * time.Second, Left: 3 * time.Second, Expected: time.Second}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(Sends(test.request), test.want)
		})
	}
}

func TestExpectedDurations(t *testing.T) {
	is := is.New(t)
	d := NewDurations()
	is.Equal(d.Expected("a", false), time.Duration(0)) // unknown
	d.Observe("a", time.Second, 5*time.Second)
	for i := range 100 {
		d.Observe("a", time.Second+time.Duration(i)*100*time.Millisecond, time.Second)
	}
	is.Equal(d.Expected("a", false), 5*time.Second)
	is.True(d.Expected("a", true) < 1100*time.Millisecond)
	is.Equal(d.Expected("b", true), time.Duration(0))
	d.Observe("a", time.Minute, time.Second)
	is.Equal(d.Expected("a", false), 5*time.Second) // of the period before
	d.Observe("a", 2*time.Minute, time.Second)
	is.Equal(d.Expected("a", false), time.Second)
}

// TestUnusedRoutesAreForgotten guards against a record that grows with each route that a configuration has ever had.
func TestUnusedRoutesAreForgotten(t *testing.T) {
	is := is.New(t)
	d := NewDurations()
	for i := range 10 * pruneSize {
		d.Observe(fmt.Sprint("route-", i), time.Duration(i)*time.Second, time.Second)
	}
	is.True(len(d.routes) <= pruneSize)
	is.Equal(d.Expected(fmt.Sprint("route-", 10*pruneSize-1), true), time.Second)
}
