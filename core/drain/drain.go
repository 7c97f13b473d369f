// Package drain decides which requests a stopping router still sends to backend servers.
//
// A router that stops has a limited time for the requests in flight. One that is sent and cut has an unknown outcome: its
// caller can't repeat it if it may run only once. One that isn't sent is refused as not run, and another router serves it.
package drain

import "time"

const (
	// AcceptTime is how long a stopping router accepts requests on open and new connections: callers keep sending until
	// they learn that it stops.
	AcceptTime = 2500 * time.Millisecond
	// margin is the fraction by which a request may last longer than expected.
	margin = 0.25
)

// Request is a request that a stopping router is about to send.
type Request struct {
	SinceStop time.Duration // time since the stop began
	Left      time.Duration // time until the requests in flight are cut
	Expected  time.Duration // how long requests like it have taken, 0 if unknown
}

// Sends reports whether the request is sent; otherwise it is refused as not run. A request of unknown duration is sent
// while requests are accepted.
func Sends(r Request) bool {
	if r.Expected == 0 {
		return r.SinceStop <= AcceptTime
	}
	return time.Duration(float64(r.Expected)*(1+margin)) <= r.Left
}
