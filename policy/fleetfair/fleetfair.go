// Package fleetfair is the policy that shares each pool fairly over the whole
// fleet. Each backend server has an owner, a router that grants its slots to
// whichever router has the account that is furthest behind.
package fleetfair

import "github.com/tamarindstep/tamarindstep/policy"

// lookAhead was chosen by measurement; see docs/DESIGN.md. Counting the
// whole rest that is expected of each running request lets the service
// delivered drift apart by as much as the rests differ. Counting none of it
// gives an account that has fallen behind every free slot until its tokens
// show, which is too many. A part that is about the same for each running
// request damps this and adds no difference of its own.
const lookAhead = 100

// catchUpTokens is some ten of the largest requests.
const catchUpTokens = 100_000

// Policy is the documented policy.
var Policy = &policy.Policy{
	Name: "fleet-fair",
	Doc: policy.Doc{
		Title: "Fair shares over the whole fleet",
		Text: "The slots of each backend server are granted by the router that owns it, " +
			"to the waiting client account with the least service over the fleet: tokens " +
			"delivered, and a little for each running request, divided by its weight.",
		Since: "0.1",
	},
	Owned:         true,
	Order:         policy.ByFleetService,
	Slots:         func(s policy.Share) int { return s.Slots },
	FollowLoad:    true,
	LookAhead:     lookAhead,
	CatchUpTokens: catchUpTokens,
}
