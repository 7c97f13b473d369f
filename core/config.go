package core

import (
	"cmp"
	"maps"
	"slices"

	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/policy"
)

// RequestID identifies a request inside one process.
type RequestID = model.RequestID

// Account is what the core needs to know of a client account.
type Account struct {
	Name   string
	Weight float64
	Limits Limits
	// Priority goes before that of a request; 0 is the highest.
	Priority int
}

// Limits are the limits of a client account; 0 is none.
type Limits struct {
	Concurrent int     // requests running over the fleet
	Queue      int     // requests waiting at one router
	PerMinute  float64 // requests a minute at one router
}

// Backend is what the core needs to know of a backend server.
type Backend struct {
	Name     string
	Pool     model.PoolID
	DataHall string
	Slots    int
	Leaving  bool // gets nothing new
}

// Pool is what the core needs to know of a pool.
type Pool struct {
	Name string
	// FollowLoad tells whether its backend servers report their load.
	FollowLoad bool
	// ExpectedOutput is the output expected of a request before any is known, in tokens.
	ExpectedOutput float64
	// MemoryTokens is what a backend server keeps of prompts and answers, in
	// tokens; 0 where it keeps nothing.
	MemoryTokens int
	// CopyRate is how many tokens a second one backend server copies of what
	// another keeps, 0 where they can't.
	CopyRate float64
}

// Config is the configuration as the core needs it. It is never changed once
// it is in force.
type Config struct {
	Generation uint64
	// Catalog is the revision of the backend servers that announce themselves.
	Catalog uint64
	// Edition is raised by this router where its backend servers change while the
	// catalog doesn't.
	Edition  uint64
	Policy   *policy.Policy
	Accounts map[model.AccountID]Account
	Pools    map[model.PoolID]Pool
	Backends map[model.BackendID]Backend
	// TokensPerSecond is what all engines make together, 0 where it is not known.
	TokensPerSecond float64
}

// sortedKeys returns a map's keys in order, so that no decision depends on the
// order of a map.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
