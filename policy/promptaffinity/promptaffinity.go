// Package promptaffinity defines the policy that sends requests to backend servers that
// have their prompts in cache, with max-min fair shares of the engines' output over the fleet.
package promptaffinity

import (
	"github.com/tamarindstep/tamarindstep/core/prompt"
	"github.com/tamarindstep/tamarindstep/policy"
)

// Policy is the policy prompt-affinity.
var Policy = &policy.Policy{
	Name: "prompt-affinity",
	Doc: policy.Doc{
		Title: "Where the prompt has been read, each account its max-min share",
		Text: "A request goes where its answer begins soonest, counting the part of its prompt that is " +
			"to be read there and all that is to be read before it. It waits shortly in the router that " +
			"received it, and is refused at once where it couldn't begin in time. Over four seconds each " +
			"account may begin its max-min share of tokens-per-second; what is beyond goes where " +
			"capacity would idle.",
		Since: "0.2",
	},
	Order:          policy.ByArrival,
	GrantableSlots: func(policy.Share) int { return policy.Unlimited },
	ByPrompt:       &prompt.Tuning{},
}
