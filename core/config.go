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

// Account is a client account's configuration.
type Account struct {
	Name   string
	Weight float64
	Limits Limits
	// Priority takes precedence over that of a request; 0 is the highest.
	Priority int
}

// Limits are the limits of a client account; 0 means no limit.
type Limits struct {
	Concurrent int     // requests running in the fleet
	Queue      int     // requests waiting at one router
	PerMinute  float64 // requests a minute at one router
}

// Backend is a backend server's configuration.
type Backend struct {
	Name     string
	Born     uint64 // as in model.Incarnation
	Pool     model.PoolID
	DataHall string
	Slots    int
	Leaving  bool // gets no new requests
	// Evacuated reports that its data hall is evacuated: it gets no new requests until the evacuation ends.
	Evacuated bool
	// Cold reports that it has announced a slow start.
	Cold bool
	// Version is the version of its software, "" if it announces none.
	Version string
	// Lapsed reports that its announcement expired during an outage of the store. It still gets new requests for a moment,
	// but may have ended.
	Lapsed bool
}

// Lineage returns the lineage of the streams that the backend server begins.
func (b Backend) Lineage() model.Lineage {
	return model.Lineage{Pool: b.Pool, Build: model.BuildOf(b.Version)}
}

// inService reports whether the backend server gets new requests.
func (b Backend) inService() bool { return !b.Leaving && !b.Evacuated }

// Pool is a pool's configuration.
type Pool struct {
	Name string
	// FollowLoad reports whether its backend servers report their load.
	FollowLoad bool
	// ExpectedOutput is the expected output of a request in tokens before any has been observed.
	ExpectedOutput float64
	// MemoryTokens is a backend server's capacity for cached prompts and answers, in tokens; 0 for no cache.
	MemoryTokens int
	// CopyRate is the rate in tokens a second at which a backend server copies cached parts from another, 0 if it can't.
	CopyRate float64
	// ColdRate is the rate of requests a second that a backend server accepts while it is cold, 0 for no limit; ColdFor
	// is how long it is cold after its start.
	ColdRate float64
	ColdFor  time.Duration
}

// Config is the configuration of the core. It is immutable once it is in force.
type Config struct {
	Generation uint64
	// Catalog is the revision of the catalog of backend servers that announce themselves.
	Catalog uint64
	// Halls is the revision of the set of evacuated data halls.
	Halls uint64
	// Edition is incremented by this router if its backend servers change while the catalog doesn't.
	Edition  uint64
	Policy   *policy.Policy
	Accounts map[model.AccountID]Account
	Pools    map[model.PoolID]Pool
	Backends map[model.BackendID]Backend
	// TokensPerSecond is the total output rate of all engines, 0 if unknown.
	TokensPerSecond float64
}

// Versions are the versions of the data that routers fetch from each other. A higher version replaces a lower one; 0
// means no data.
type Versions struct {
	Generation uint64 // of the configuration
	Catalog    uint64 // revision of the catalog of backend servers that announce themselves
	Halls      uint64 // revision of the set of evacuated data halls
}

// Exceed reports whether any of the versions is above that of o.
func (v Versions) Exceed(o Versions) bool {
	return v.Generation > o.Generation || v.Catalog > o.Catalog || v.Halls > o.Halls
}

// highest returns the highest of each of two versions.
func (v Versions) highest(o Versions) Versions {
	return Versions{
		Generation: max(v.Generation, o.Generation), Catalog: max(v.Catalog, o.Catalog), Halls: max(v.Halls, o.Halls),
	}
}

// Versions returns the configuration's versions.
func (c *Config) Versions() Versions {
	return Versions{Generation: c.Generation, Catalog: c.Catalog, Halls: c.Halls}
}

// sortedKeys returns a map's keys in order, so that no decision depends on the iteration order of a map.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
