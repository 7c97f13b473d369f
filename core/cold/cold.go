// Package cold bounds what a fleet of routers sends to a backend server that is slow from
// its start, with no message between the routers.
//
// A cold backend server bears few requests a second from all routers together, and falls
// over well above that. Routers can't ask each other before each request, and what they
// hear of each other is late. So only a few of them, its senders, may send to it at all:
// the first on a ring of the routers that are known, the dead ones included, as a cut makes
// others seem dead that send on. Each sender has a fixed part of half of
// the bound; the other half is left to routers that know other routers, and so take others
// for the senders. The senders of different backend servers differ, so that together the
// routers use all that the cold ones bear.
//
// # Limits
//
// The bound holds while the fleet has no more than two views of which routers there are. A
// router that hasn't been told of the others must not send to a cold backend server.
package cold

import (
	"cmp"
	"slices"
	"time"

	"github.com/tamarindstep/tamarindstep/model"
)

// senders is how many routers send to a cold backend server. More would have less than two
// requests a second each at the usual bound of 14, which a single caller's burst takes up.
const senders = 3

// span is the time over which requests are counted: the second of the bound, and what two
// messages of one router may differ by on their way.
const span = time.Second + 50*time.Millisecond

// Limits say how far above its rate a cold backend server may be sent to.
type Limits struct {
	Overshoot float64 // times the rate
	Slack     float64 // requests beyond that
}

// Bound returns how many requests a cold backend server may get in any second, given the
// rate that it takes, in requests a second.
func (l Limits) Bound(rate float64) int { return int(rate*l.Overshoot + l.Slack) }

// Ring is the routers that are known, in the order of the hashes of their names. The senders
// of a backend server are the first from the hash of its name on, so that another router
// changes the senders of few backend servers, and finding them takes 0.1 us however many
// routers there are: when a data hall comes back, a thousand are looked up at once.
type Ring struct{ points []point }

type point struct {
	hash   uint64
	router string
}

// NewRing returns the ring of all routers that are known, dead ones and this one included.
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

// Part returns how many requests in any second a router may send to a cold backend server,
// for a bound over the fleet.
func (r *Ring) Part(self, server string, bound int) int {
	n := min(senders, len(r.points))
	first, _ := slices.BinarySearchFunc(r.points, hashOf(server), func(p point, hash uint64) int {
		return cmp.Compare(p.hash, hash)
	})
	half := (bound + 1) / 2
	if bound > 1 {
		half = bound / 2
	}
	for rank := range n {
		if r.points[(first+rank)%len(r.points)].router != self {
			continue
		}
		part := half / n
		if rank < half%n {
			part++
		}
		return part
	}
	return 0
}

// Meter counts what this router has sent to one backend server of late.
type Meter struct{ sent []model.Time }

// Note counts a request that is sent.
func (m *Meter) Note(now model.Time) {
	m.forget(now)
	m.sent = append(m.sent, now)
}

// Sent returns how many requests were sent of late.
func (m *Meter) Sent(now model.Time) int {
	m.forget(now)
	return len(m.sent)
}

func (m *Meter) forget(now model.Time) {
	m.sent = slices.DeleteFunc(m.sent, func(at model.Time) bool { return at+span <= now })
}
