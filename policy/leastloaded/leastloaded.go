// Package leastloaded defines the baseline policy that sends each request at once
// to the backend server with the least load, without fairness between accounts.
package leastloaded

import "github.com/tamarindstep/tamarindstep/policy"

// Policy is the policy least-loaded.
var Policy = &policy.Policy{
	Name: "least-loaded",
	Doc: policy.Doc{
		Title: "The least loaded backend server, at once",
		Text: "Each request goes, as it arrives, to the backend server with the least load known " +
			"to the router. Nothing waits in the routers, so the engines' own queues decide the order.",
		Since: "0.1",
	},
	Order:          policy.ByArrival,
	GrantableSlots: func(policy.Share) int { return policy.Unlimited },
}
