// Package retryafter parses the HTTP header Retry-After, which specifies for how long a server must get no requests.
//
// HTTP allows a number of seconds (RFC 9110, 10.2.3) or a date. Only numbers are accepted, including fractions: a date
// is only meaningful if the clocks of both VMs agree.
package retryafter

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"
)

// Max is the longest time that Parse returns; larger values are reduced to it, so that a server that specifies a
// year by mistake receives requests again after this time.
const Max = 10 * time.Minute

// The errors of Parse.
var (
	namespace = errorx.NewNamespace("retryafter")
	// Unreadable is the error for a value that isn't a number of seconds.
	Unreadable = namespace.NewType("unreadable")
	// NotPositive is the error for a number that isn't positive.
	NotPositive = namespace.NewType("not_positive")
)

// Parse returns the duration given by a value of the header, at most Max.
func Parse(value string) (time.Duration, error) {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || math.IsNaN(seconds) {
		return 0, Unreadable.New("%q isn't a number of seconds", value)
	}
	if seconds <= 0 {
		return 0, NotPositive.New("%q isn't positive", value)
	}
	if seconds >= Max.Seconds() {
		return Max, nil
	}
	return time.Duration(seconds * float64(time.Second)), nil
}
