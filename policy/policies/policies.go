// Package policies lists every policy by name.
package policies

import (
	"github.com/tamarindstep/tamarindstep/policy"
	"github.com/tamarindstep/tamarindstep/policy/fleetfair"
	"github.com/tamarindstep/tamarindstep/policy/leastloaded"
	"github.com/tamarindstep/tamarindstep/policy/promptaffinity"
	"github.com/tamarindstep/tamarindstep/policy/staticsplit"
)

// All holds the policies, the default first.
var All = []*policy.Policy{
	fleetfair.Policy,
	staticsplit.Policy,
	leastloaded.Policy,
	promptaffinity.Policy,
}

// Default is the policy in force where the configuration names none.
var Default = All[0]

// Find returns the policy of that name, or nil.
func Find(name string) *policy.Policy {
	for _, p := range All {
		if p.Name == name {
			return p
		}
	}
	return nil
}
