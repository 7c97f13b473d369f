// Package relay selects, in each data hall, the routers that forward messages from the
// others to the whole fleet.
//
// A router sends to one relay of its data hall. The relay sends to the other relays, and
// each relay sends to the routers that it serves, so that a message reaches every router in
// three hops. With about as many routers per relay as there are relays, an exchange takes two
// messages for each ordinary router and about twice the square root of the fleet's size
// for each relay. Sending directly would take as many messages for each router as there are
// routers, and forwarding by every router as many as a relay sends here.
//
// Relays are the routers with the largest processor share. Ties are broken by rendezvous
// hashing, which also selects the relay that a router sends to: the death of an ordinary router
// changes nothing for the others, that of a relay only the relay of the routers that it served.
//
// Limits. Each router computes the plan from its own view of the fleet. Where two views
// differ, a message may arrive twice or not at all until they agree; receivers must
// tolerate both.
package relay

import (
	"cmp"
	"math"
	"slices"

	"github.com/tamarindstep/tamarindstep/model"
)

// maxDirect is the size of the largest fleet in which every router is a relay and sends to all
// others directly: up to it more hops save too few messages for the latency that they add.
const maxDirect = 16

// tieSubject is the rendezvous subject that orders routers with equal processor shares.
const tieSubject = "relay"

// Router is a router of the fleet that a plan is computed for.
type Router struct {
	Name     string
	DataHall string
	// Processor is the router's share of a core, 0 if unknown, in the precision of the
	// messages: it orders routers, and must be equal at all of them.
	Processor float32
}

// Plan lists the routers that one router exchanges messages with.
type Plan struct {
	// Relay is the relay that the router sends to, "" if it is a relay itself.
	Relay string
	// Relays are the fleet's relays without the router itself: those of its own data hall
	// first, in the order in which it falls back to them when the earlier ones don't respond.
	Relays []string
	// Serves are the routers that send to it, if it is a relay.
	Serves []string
}

// PlanFor returns a router's plan. The fleet must contain the router itself; otherwise the
// plan is empty.
func PlanFor(self string, fleet []Router) Plan {
	at := slices.IndexFunc(fleet, func(r Router) bool { return r.Name == self })
	if at < 0 {
		return Plan{}
	}
	halls := byHall(fleet)
	own := fleet[at].DataHall
	group := groupSize(len(fleet))
	var out Plan
	for _, name := range sortedNames(halls) {
		relays := relaysOf(halls[name], group)
		if name == own {
			out.Relays = slices.Concat(without(byPreference(self, relays), self), out.Relays)
			out.Relay, out.Serves = hallPlan(self, halls[name], relays)
			continue
		}
		out.Relays = append(out.Relays, relays...)
	}
	return out
}

// groupSize returns the largest number of routers per relay, the relay included.
func groupSize(routers int) int {
	if routers <= maxDirect {
		return 1
	}
	return int(math.Ceil(math.Sqrt(float64(routers))))
}

func byHall(fleet []Router) map[string][]Router {
	out := map[string][]Router{}
	for _, r := range fleet {
		out[r.DataHall] = append(out[r.DataHall], r)
	}
	return out
}

func sortedNames(halls map[string][]Router) []string {
	out := make([]string, 0, len(halls))
	for name := range halls {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// relaysOf returns the relays of a data hall.
func relaysOf(hall []Router, group int) []string {
	order := slices.Clone(hall)
	slices.SortFunc(order, func(a, b Router) int {
		return cmp.Or(
			cmp.Compare(b.Processor, a.Processor),
			cmp.Compare(model.Rendezvous(b.Name, tieSubject), model.Rendezvous(a.Name, tieSubject)),
			cmp.Compare(a.Name, b.Name),
		)
	})
	n := (len(hall) + group - 1) / group
	out := make([]string, 0, n)
	for _, r := range order[:n] {
		out = append(out, r.Name)
	}
	return out
}

func without(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
}

// hallPlan returns the relay that a router of a data hall sends to or, if it is a relay,
// the routers that send to it.
func hallPlan(self string, hall []Router, relays []string) (relay string, serves []string) {
	if !slices.Contains(relays, self) {
		return byPreference(self, relays)[0], nil
	}
	for _, r := range hall {
		if !slices.Contains(relays, r.Name) && byPreference(r.Name, relays)[0] == self {
			serves = append(serves, r.Name)
		}
	}
	slices.Sort(serves)
	return "", serves
}

// byPreference returns relays in the order in which a router selects them.
func byPreference(router string, relays []string) []string {
	out := slices.Clone(relays)
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Compare(model.Rendezvous(b, router), model.Rendezvous(a, router))
	})
	return out
}
