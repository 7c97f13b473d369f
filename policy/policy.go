// Package policy defines the parameters of a routing policy. Each policy has its own
// package below this one; package policies lists them.
package policy

import (
	"github.com/tamarindstep/tamarindstep/core/prompt"
	"github.com/tamarindstep/tamarindstep/model"
)

// Order is the order in which waiting accounts are served.
type Order uint8

// The orders.
const (
	// ByFleetService serves the account with the least service in the fleet.
	ByFleetService Order = iota
	// ByRouterService serves the account with the least service at this router.
	ByRouterService
	// ByArrival serves the request that has waited longest.
	ByArrival
)

// Unlimited is the number of slots of a backend server without a limit.
const Unlimited = 1 << 30

// Doc is a policy's documentation.
type Doc struct {
	Title string
	Text  string
	Since string // version that introduced the policy
}

// Share is the input for computing how many slots of a backend server one
// router may grant.
type Share struct {
	Backend model.BackendID
	Slots   int // of the backend server
	Routers int // number of live routers
	Rank    int // of this router among them, from 0
}

// Policy defines how the capacity of pools is shared.
type Policy struct {
	Name string
	Doc  Doc
	// Owned reports whether each backend server's slots are granted by one
	// router, its owner, to all routers. Otherwise each router grants its share to
	// the requests that it received itself.
	Owned bool
	Order Order
	// GrantableSlots returns the number of a backend server's slots that the router grants.
	GrantableSlots func(Share) int
	// FollowLoad reports whether the slots are reduced while the engine reports a queue.
	FollowLoad bool
	// LookAhead limits the expected remaining output that a running request is charged
	// in advance, in tokens; see package fleetfair.
	LookAhead float64
	// ChargeExpected reports whether a request is charged its whole expected cost until it ends.
	ChargeExpected bool
	// CatchUpTokens is the difference in service between two waiting accounts, in tokens at
	// weight 1, above which a part of the grants goes to the account that has waited longest without one, so
	// that the one ahead doesn't starve while the other catches up. 0 for none.
	CatchUpTokens float64
	// ByPrompt is set if package core/prompt decides, at the router that has
	// received a request. The other fields except Name and Doc are unused then.
	ByPrompt *prompt.Tuning
}
