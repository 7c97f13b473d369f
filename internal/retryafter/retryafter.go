// Package retryafter reads the HTTP header Retry-After, by which a server says for how long it wants nothing.
//
// HTTP allows a number of seconds (RFC 9110, 10.2.3) and a date. Only numbers are taken, fractions included: a
// date says something only to whoever trusts that two machines' clocks agree.
package retryafter

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"
)

// Longest is the longest time that is heeded; whoever asks for more gets this. A server that asks for a year
// by mistake is asked again after it.
const Longest = 10 * time.Minute

// The errors of a value that says nothing.
var (
	namespace = errorx.NewNamespace("retryafter")
	// Unreadable is the error for a value that isn't a number of seconds.
	Unreadable = namespace.NewType("unreadable")
	// NotPositive is the error for a number that isn't above zero.
	NotPositive = namespace.NewType("not_positive")
)

// Parse returns the time that a value of the header stands for, which is at most Longest.
func Parse(value string) (time.Duration, error) {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || math.IsNaN(seconds) {
		return 0, Unreadable.New("%q isn't a number of seconds", value)
	}
	if seconds <= 0 {
		return 0, NotPositive.New("%q isn't above zero", value)
	}
	if seconds >= Longest.Seconds() {
		return Longest, nil
	}
	return time.Duration(seconds * float64(time.Second)), nil
}
