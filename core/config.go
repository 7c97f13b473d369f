package core

import (
	"cmp"
	"maps"
	"slices"
	"time"

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
	Born     uint64 // as in model.Incarnation
	Pool     model.PoolID
	DataHall string
	Slots    int
	Leaving  bool // gets nothing new
	// Evacuated tells that its data hall is evacuated: it gets nothing new until that is
	// taken back.
	Evacuated bool
	// Cold tells that it is slow from its start, as far as it has announced.
	Cold bool
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
	// ColdRate is how many requests a second a backend server takes while it is cold, 0
	// for no limit; ColdFor is how long after its start that lasts.
	ColdRate float64
	ColdFor  time.Duration
}

// Config is the configuration as the core needs it. It is never changed once
// it is in force.
type Config struct {
	Generation uint64
	// Catalog is the revision of the backend servers that announce themselves.
	Catalog uint64
	// Halls is the revision of the data halls that are evacuated.
	Halls uint64
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

// Versions are the versions of what routers take from each other: of each, a higher one
// replaces a lower one. 0 stands for nothing held.
type Versions struct {
	Generation uint64 // of the configuration
	Catalog    uint64 // revision of the backend servers that announce themselves
	Halls      uint64 // revision of the evacuated data halls
}

// Exceed tells whether any of the versions is above the other's.
func (v Versions) Exceed(o Versions) bool {
	return v.Generation > o.Generation || v.Catalog > o.Catalog || v.Halls > o.Halls
}

// Versions returns the versions that the configuration is of.
func (c *Config) Versions() Versions {
	return Versions{Generation: c.Generation, Catalog: c.Catalog, Halls: c.Halls}
}

// sortedKeys returns a map's keys in order, so that no decision depends on the
// order of a map.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
