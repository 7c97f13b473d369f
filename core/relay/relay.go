// Package relay chooses, in each data hall, the routers that pass on what the others
// have to tell the whole fleet.
//
// A router tells one relay of its data hall. The relay tells the other relays, and each
// relay tells the routers that it serves, so that a message reaches everybody in three
// hops. With about as many routers to a relay as there are relays, an exchange takes two
// messages for each ordinary router and about twice the square root of the fleet's size
// for each relay, where telling everybody would take as many for each router as there are
// routers, and passing on by everybody as many as relays take here.
//
// Relays are the routers with the most processor. Of equals they are chosen by rendezvous
// hashing, and so is the relay that a router tells: the death of an ordinary router
// changes nothing for the others, that of a relay only for those that it served.
//
// Limits. Each router works out the plan from its own view of the fleet. Where two views
// differ, a message may come twice or not at all until they agree; a receiver must take
// no harm from either.
package relay

import (
	"cmp"
	"math"
	"slices"

	"github.com/tamarindstep/tamarindstep/model"
)

// direct is the largest fleet in which all are relays, so that everybody tells everybody:
// further hops save too few messages for the time that they take.
const direct = 16

// subject is what the order of equal routers is hashed with.
const subject = "relay"

// Router is a router as the plan sees it.
type Router struct {
	Name     string
	DataHall string
	// Processor is the router's part of a core, as far as known, no finer than messages tell
	// it: it orders routers, and must be the same to all.
	Processor float32
}

// Plan is whom one router exchanges messages with.
type Plan struct {
	// Relay is the router that it tells, "" where it is a relay itself.
	Relay string
	// Relays are the fleet's relays but for the router itself: those of its own data hall
	// first, in the order in which it would tell them where the ones before are silent.
	Relays []string
	// Serves are the routers that tell it, where it is a relay.
	Serves []string
}

// Of returns a router's plan. The fleet holds the router itself; where it doesn't, the
// plan is empty.
func Of(self string, fleet []Router) Plan {
	at := slices.IndexFunc(fleet, func(r Router) bool { return r.Name == self })
	if at < 0 {
		return Plan{}
	}
	halls := byHall(fleet)
	own := fleet[at].DataHall
	width := widthOf(len(fleet))
	var out Plan
	for _, name := range sortedNames(halls) {
		relays := relaysOf(halls[name], width)
		if name == own {
			out.Relays = slices.Concat(without(preferred(self, relays), self), out.Relays)
			out.Relay, out.Serves = within(self, halls[name], relays)
			continue
		}
		out.Relays = append(out.Relays, relays...)
	}
	return out
}

// widthOf returns how many routers share a relay at the most, the relay included.
func widthOf(routers int) int {
	if routers <= direct {
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
func relaysOf(hall []Router, width int) []string {
	order := slices.Clone(hall)
	slices.SortFunc(order, func(a, b Router) int {
		return cmp.Or(
			cmp.Compare(b.Processor, a.Processor),
			cmp.Compare(model.Rendezvous(b.Name, subject), model.Rendezvous(a.Name, subject)),
			cmp.Compare(a.Name, b.Name),
		)
	})
	n := (len(hall) + width - 1) / width
	out := make([]string, 0, n)
	for _, r := range order[:n] {
		out = append(out, r.Name)
	}
	return out
}

func without(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
}

// within returns the relay that a router of a data hall tells and, where it is a relay,
// those that tell it.
func within(self string, hall []Router, relays []string) (relay string, serves []string) {
	if !slices.Contains(relays, self) {
		return preferred(self, relays)[0], nil
	}
	for _, r := range hall {
		if !slices.Contains(relays, r.Name) && preferred(r.Name, relays)[0] == self {
			serves = append(serves, r.Name)
		}
	}
	slices.Sort(serves)
	return "", serves
}

// preferred returns relays in the order in which a router would tell them.
func preferred(router string, relays []string) []string {
	out := slices.Clone(relays)
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Compare(model.Rendezvous(b, router), model.Rendezvous(a, router))
	})
	return out
}
