// Package fleetfair defines the policy that shares each pool fairly over the whole
// fleet. Each backend server has an owner, a router that grants its slots to
// the router with a waiting request of the account with the least service.
package fleetfair

import "github.com/tamarindstep/tamarindstep/policy"

// lookAhead is in tokens. Charging the whole expected remaining output of running
// requests lets the service delivered to accounts differ by as much as the
// remaining outputs do. Charging none of it gives an account that is behind every
// free slot until its tokens are counted, which is too many. An amount that is about the
// same for each running request damps this without a difference of its own.
// See docs/DESIGN.md.
const lookAhead = 100

// catchUpTokens is about the cost of ten of the largest requests.
const catchUpTokens = 100_000

// Policy is the policy fleet-fair.
var Policy = &policy.Policy{
	Name: "fleet-fair",
	Doc: policy.Doc{
		Title: "Fair shares over the whole fleet",
		Text: "The slots of each backend server are granted by the router that owns it, " +
			"to the waiting client account with the least service over the fleet: tokens " +
			"delivered, and a little for each running request, divided by its weight.",
		Since: "0.1",
	},
	Owned:          true,
	Order:          policy.ByFleetService,
	GrantableSlots: func(s policy.Share) int { return s.Slots },
	FollowLoad:     true,
	LookAhead:      lookAhead,
	CatchUpTokens:  catchUpTokens,
}
