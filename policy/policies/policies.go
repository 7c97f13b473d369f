// Package policies lists every policy by name.
package policies

import (
	"github.com/tamarindstep/tamarindstep/policy"
	"github.com/tamarindstep/tamarindstep/policy/fleetfair"
	"github.com/tamarindstep/tamarindstep/policy/leastloaded"
	"github.com/tamarindstep/tamarindstep/policy/promptaffinity"
	"github.com/tamarindstep/tamarindstep/policy/staticsplit"
)

// All lists the policies, the default first.
var All = []*policy.Policy{
	fleetfair.Policy,
	staticsplit.Policy,
	leastloaded.Policy,
	promptaffinity.Policy,
}

// Default is the policy used if the configuration names none.
var Default = All[0]

// Find returns the policy with the given name, or nil.
func Find(name string) *policy.Policy {
	for _, p := range All {
		if p.Name == name {
			return p
		}
	}
	return nil
}
