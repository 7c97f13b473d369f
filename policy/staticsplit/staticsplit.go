// Package staticsplit defines the baseline policy that divides each backend
// server's slots evenly among the routers, each of which is fair among its own requests.
package staticsplit

import "github.com/tamarindstep/tamarindstep/policy"

// Policy is the policy static-split.
var Policy = &policy.Policy{
	Name: "static-split",
	Doc: policy.Doc{
		Title: "An even part of every backend server for each router",
		Text: "Each router hands out an equal part of every backend server's slots, fairly " +
			"among the requests it received itself. No router tells another anything. Slots idle " +
			"and accounts fall behind where accounts are spread unevenly over the routers.",
		Since: "0.1",
	},
	Order:          policy.ByRouterService,
	GrantableSlots: slots,
	// As for fleet-fair, so that the two don't differ in this.
	LookAhead: 100,
}

// slots assigns the remainder of the division to routers that depend on the
// backend server.
func slots(s policy.Share) int {
	share := s.Slots / s.Routers
	remainder := s.Slots % s.Routers
	position := (s.Rank + int(s.Backend)) % s.Routers
	if position < remainder {
		share++
	}
	return share
}
