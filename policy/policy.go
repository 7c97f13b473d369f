// Package policy defines what a routing policy decides. Each policy has a
// directory of its own below this one; package policies lists them.
package policy

import (
	"github.com/tamarindstep/tamarindstep/core/prompt"
	"github.com/tamarindstep/tamarindstep/model"
)

// Order is the order in which waiting accounts are served.
type Order uint8

// The orders.
const (
	// ByFleetService serves the account with the least service over the fleet.
	ByFleetService Order = iota
	// ByRouterService serves the account with the least service at this router.
	ByRouterService
	// ByArrival serves the request that has waited longest.
	ByArrival
)

// Unlimited is the number of slots of a backend server that isn't limited.
const Unlimited = 1 << 30

// Doc is a policy's documentation.
type Doc struct {
	Title string
	Text  string
	Since string
}

// Share is what a policy knows when it sets how many slots of a backend
// server one router may hand out.
type Share struct {
	Backend model.BackendID
	Slots   int // of the backend server
	Routers int // live routers
	Rank    int // of this router among them
}

// Policy is one way of sharing the pools.
type Policy struct {
	Name string
	Doc  Doc
	// Owned tells whether each backend server's slots are handed out by one
	// router, its owner, to all. If not, each router hands out its share to
	// the requests it received itself.
	Owned bool
	Order Order
	// Slots returns how many of a backend server's slots the router hands out.
	Slots func(Share) int
	// FollowLoad tells whether the slots shrink while the engine reports a queue.
	FollowLoad bool
	// LookAhead bounds what a running request counts for beyond what it has
	// delivered, in tokens; see package fleetfair.
	LookAhead float64
	// SettleAtEnd counts a request as its whole expected cost until it ends.
	SettleAtEnd bool
	// CatchUpTokens is the gap between two waiting accounts, in tokens at
	// weight 1, beyond which a part of the grants goes round all of them, so
	// that the one ahead doesn't starve while the other catches up. 0 for none.
	CatchUpTokens float64
	// ByPrompt is set where package core/prompt decides, at the router that has
	// received a request; nothing above but the name matters then.
	ByPrompt *prompt.Tuning
}
