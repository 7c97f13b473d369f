// Package staticsplit is the baseline policy that divides each backend
// server's slots evenly over the routers, each fair among its own requests.
package staticsplit

import "github.com/tamarindstep/tamarindstep/policy"

// Policy is the documented policy.
var Policy = &policy.Policy{
	Name: "static-split",
	Doc: policy.Doc{
		Title: "An even part of every backend server for each router",
		Text: "Each router hands out an equal part of every backend server's slots, fairly " +
			"among the requests it received itself. No router tells another anything. Slots idle " +
			"and accounts fall behind where accounts are spread unevenly over the routers.",
		Since: "0.1",
	},
	Order: policy.ByRouterService,
	Slots: slots,
	// as for fleet-fair, so that the two differ in nothing else
	LookAhead: 100,
}

// slots gives the remainder of the division to routers that differ from
// backend server to backend server.
func slots(s policy.Share) int {
	part := s.Slots / s.Routers
	rest := s.Slots % s.Routers
	turn := (s.Rank + int(s.Backend)) % s.Routers
	if turn < rest {
		part++
	}
	return part
}
