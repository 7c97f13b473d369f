// Package cold limits the rate at which a fleet of routers sends to a backend server that is slow after its start,
// without messages between the routers.
//
// A cold backend server can process few requests a second from all routers together, and fails well above that rate.
// Routers can't coordinate before each request, and their information about each other is delayed. So only a few
// routers, the senders of a backend server, may send to it at all: the first on a hash ring of all known routers. The
// ring includes dead routers, as a network partition makes routers seem dead that still send. Each sender has a fixed
// quota within half of the bound; the other half is left to routers with another view of the fleet, and so with other
// senders. Different backend servers have different senders, so that together the routers use the whole capacity of
// the cold ones.
//
// # Limits
//
// The bound holds while there are at most two different views of the fleet's routers. A router that hasn't yet
// received the fleet's members must not send to a cold backend server.
package cold

import (
	"cmp"
	"slices"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

// maxSenders is the number of routers that send to a cold backend server. With more, each would have less than two
// requests a second at the usual bound of 14, which a single caller's burst uses up.
const maxSenders = 3

// window is the period over which requests are counted: the bound's second, and the difference in latency between two
// messages of one router.
const window = time.Second + 50*time.Millisecond

// Limits define how far the rate of a cold backend server may be exceeded.
type Limits struct {
	Overshoot float64 // factor of the rate
	Slack     float64 // additional requests
}

// Bound returns the maximum number of requests to a cold backend server within any second, given its rate in requests
// a second.
func (l Limits) Bound(rate float64) int { return int(rate*l.Overshoot + l.Slack) }

// Ring is a hash ring of the known routers. The senders of a backend server are the first routers from the hash of its
// name on. So a change of one router changes the senders of few backend servers, and a lookup takes 0.1 us whatever
// the number of routers: when a data hall recovers, a thousand are looked up at once.
type Ring struct{ points []point }

type point struct {
	hash   uint64
	router string
}

// NewRing returns the ring of all known routers, including dead ones and this one.
func NewRing(routers []string) *Ring {
	r := &Ring{points: make([]point, 0, len(routers))}
	for _, name := range routers {
		r.points = append(r.points, point{hash: hashOf(name), router: name})
	}
	slices.SortFunc(r.points, func(a, b point) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.router, b.router))
	})
	return r
}

func hashOf(name string) uint64 { return model.Rendezvous(name, "cold") }

// Quota returns the maximum number of requests that a router may send to a cold backend server within any second, given
// the fleet's bound.
func (r *Ring) Quota(self, server string, bound int) int {
	n := min(maxSenders, len(r.points))
	start, _ := slices.BinarySearchFunc(r.points, hashOf(server), func(p point, hash uint64) int {
		return cmp.Compare(p.hash, hash)
	})
	half := (bound + 1) / 2
	if bound > 1 {
		half = bound / 2
	}
	for rank := range n {
		if r.points[(start+rank)%len(r.points)].router != self {
			continue
		}
		quota := half / n
		if rank < half%n {
			quota++
		}
		return quota
	}
	return 0
}

// Meter counts the requests that this router has recently sent to one backend server.
type Meter struct{ sent []model.Time }

// Record records that a request is sent.
func (m *Meter) Record(now model.Time) {
	m.removeExpired(now)
	m.sent = append(m.sent, now)
}

// Sent returns the number of requests sent within the window.
func (m *Meter) Sent(now model.Time) int {
	m.removeExpired(now)
	return len(m.sent)
}

func (m *Meter) removeExpired(now model.Time) {
	m.sent = slices.DeleteFunc(m.sent, func(at model.Time) bool { return at+window <= now })
}
