package config

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"time"

	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/policy/policies"
)

// The values used for fields that are missing from the file.
const (
	defaultWeight   = 1.0
	defaultWait     = 60 * time.Second
	defaultCallCost = 100.0 // tokens per call of a service
)

// Compiled is a compiled generation of the configuration, as the services use it.
// It is immutable.
type Compiled struct {
	Generation uint64
	File       *File
	Core       *core.Config
	accounts   map[string]model.AccountID // by key hash
	pools      map[string]model.PoolID    // by name, those that only routes name, too
	models     map[string]*CompiledRoute
	services   map[string][]*CompiledRoute // by service, longest path first
	hosts      map[string][]*CompiledRoute // by host, longest path first
	addresses  map[model.BackendID]string
	// SharedHashes are the names that share a hash with another of their kind.
	SharedHashes SharedHashes
	RuntimeState
}

// SharedHashes are names that share a hash with another of their kind, and have another identity for that.
type SharedHashes struct {
	Accounts []string
	Pools    []string
	Backends []string // with their start times, as in model.Incarnation
}

// Count returns the number of names.
func (s SharedHashes) Count() int { return len(s.Accounts) + len(s.Pools) + len(s.Backends) }

// RuntimeState is the state that routers read from sources other than the operators' file.
type RuntimeState struct {
	// Catalog is the revision of Discovered.
	Catalog    uint64
	Discovered []Discovered
	// Halls is the revision of Evacuated, the data halls that are evacuated in addition to
	// those of the file.
	Halls     uint64
	Evacuated []string
}

// Equal reports whether the names are the same.
func (s SharedHashes) Equal(o SharedHashes) bool {
	return slices.Equal(s.Accounts, o.Accounts) && slices.Equal(s.Pools, o.Pools) && slices.Equal(s.Backends, o.Backends)
}

// CompiledRoute is a route with its defaults set and its names resolved.
type CompiledRoute struct {
	Name       string
	Path       string
	Pool       model.PoolID
	Class      model.Class
	Repeatable bool
	BestEffort bool // keyed requests are sent without a claim while the store is unavailable
	Wait       time.Duration
	CallCost   float64
	Split      []PoolShare // set for host routes only
	Through    HostOptions
}

// PoolShare is the fraction of a route's requests that a pool serves, from 0 to 1.
type PoolShare struct {
	Pool     model.PoolID
	Fraction float64
}

// PoolFor returns the pool for a request. The argument is a uniformly distributed
// number from 0 to 1.
func (r *CompiledRoute) PoolFor(draw float64) model.PoolID {
	for _, share := range r.Split {
		if draw < share.Fraction {
			return share.Pool
		}
		draw -= share.Fraction
	}
	return r.Pool
}

// Pools returns the pools that serve the route.
func (r *CompiledRoute) Pools() []model.PoolID {
	if len(r.Split) == 0 {
		return []model.PoolID{r.Pool}
	}
	out := make([]model.PoolID, 0, len(r.Split))
	for _, share := range r.Split {
		if !slices.Contains(out, share.Pool) {
			out = append(out, share.Pool)
		}
	}
	return out
}

// Discovered is a process of a backend server that has registered itself.
type Discovered struct {
	model.Incarnation
	Pool     string
	Address  string // IP and port
	DataHall string
	Slots    int
	Leaving  bool
	Cold     bool   // started recently and still slow
	Version  string // of its software, "" if not announced
	// Lapsed reports that its registration expired during an outage of the store.
	Lapsed bool
}

// Compile compiles a file that has passed all checks.
func Compile(generation uint64, f *File) *Compiled {
	return CompileWith(generation, f, RuntimeState{})
}

// CompileWith compiles a file that has passed all checks together with state from other sources.
func CompileWith(generation uint64, f *File, state RuntimeState) *Compiled {
	c := &Compiled{
		Generation: generation,
		File:       f,
		Core: &core.Config{
			Generation:      generation,
			Policy:          policies.Find(f.Policy),
			Accounts:        map[model.AccountID]core.Account{},
			TokensPerSecond: f.TokensPerSecond,
			Pools:           map[model.PoolID]core.Pool{},
			Backends:        map[model.BackendID]core.Backend{},
		},
		accounts:  map[string]model.AccountID{},
		models:    map[string]*CompiledRoute{},
		services:  map[string][]*CompiledRoute{},
		hosts:     map[string][]*CompiledRoute{},
		addresses: map[model.BackendID]string{},
	}
	if c.Core.Policy == nil {
		c.Core.Policy = policies.Default
	}
	c.compileAccounts()
	c.identifyPools()
	c.compileRoutes(c.compilePools())
	return c.With(state)
}

// With returns a copy of the configuration with other Surroundings. These change more often
// than the file, and the file's routes take longer to compile.
func (c *Compiled) With(state RuntimeState) *Compiled {
	out := *c
	coreConfig := *c.Core
	out.Core = &coreConfig
	out.RuntimeState = state
	out.Core.Catalog, out.Core.Halls = state.Catalog, state.Halls
	out.compileServers(append(out.staticServers(), out.discoveredServers()...))
	out.compileEvacuated()
	return &out
}

// compileEvacuated marks the backend servers in evacuated data halls.
func (c *Compiled) compileEvacuated() {
	if len(c.File.Evacuated)+len(c.Evacuated) == 0 {
		return
	}
	evacuated := map[string]bool{}
	for _, hall := range append(slices.Clone(c.File.Evacuated), c.Evacuated...) {
		evacuated[hall] = true
	}
	for id, b := range c.Core.Backends {
		b.Evacuated = evacuated[b.DataHall]
		c.Core.Backends[id] = b
	}
}

func (c *Compiled) compileAccounts() {
	var names []string
	for _, a := range c.File.Accounts {
		names = append(names, a.Name)
	}
	ids, shared := model.Identities(names)
	c.SharedHashes.Accounts = shared
	for i, a := range c.File.Accounts {
		id := model.AccountID(ids[i])
		c.Core.Accounts[id] = core.Account{
			Name:     a.Name,
			Weight:   cmp.Or(a.Weight, defaultWeight),
			Priority: a.Priority,
			Limits: core.Limits{
				Concurrent: a.Limits.Concurrent,
				Queue:      a.Limits.Queue,
				PerMinute:  a.Limits.RequestsPerMinute,
			},
		}
		for _, key := range a.Keys {
			c.accounts[key] = id
		}
	}
}

// identifyPools determines the identities of the pools. A pool that only a route names must not have that of another.
func (c *Compiled) identifyPools() {
	var names []string
	for _, p := range c.File.Pools {
		names = append(names, p.Name)
	}
	for _, r := range c.File.Routes {
		names = append(names, r.Pool)
		for _, share := range r.Split {
			names = append(names, share.Pool)
		}
	}
	ids, shared := model.Identities(names)
	c.SharedHashes.Pools = shared
	c.pools = make(map[string]model.PoolID, len(names))
	for i, name := range names {
		c.pools[name] = model.PoolID(ids[i])
	}
}

// compilePools returns the cost of a call by pool, in tokens.
func (c *Compiled) compilePools() map[string]float64 {
	costs := map[string]float64{}
	for _, p := range c.File.Pools {
		id := c.pools[p.Name]
		c.Core.Pools[id] = core.Pool{
			Name:           p.Name,
			FollowLoad:     p.Kind == KindEngine,
			ExpectedOutput: p.ExpectedOutput,
			MemoryTokens:   p.MemoryTokens,
			CopyRate:       p.CopyRate,
			ColdRate:       p.ColdRate,
			ColdFor:        p.ColdFor,
		}
		if p.Kind == KindService {
			c.Core.Pools[id] = core.Pool{Name: p.Name, ExpectedOutput: 1, ColdRate: p.ColdRate, ColdFor: p.ColdFor}
			costs[p.Name] = cmp.Or(p.CallCost, defaultCallCost)
		}
	}
	return costs
}

// server is a backend server and what it is identified by.
type server struct {
	key     string
	backend core.Backend
	address string
}

// staticServers returns the backend servers listed in the file.
func (c *Compiled) staticServers() []server {
	var out []server
	for _, p := range c.File.Pools {
		for _, b := range p.Backends {
			out = append(out, server{b.Name, core.Backend{
				Name: b.Name, Pool: c.pools[p.Name], DataHall: b.DataHall, Slots: b.Slots, Version: b.Version,
			}, b.Address})
		}
	}
	return out
}

// discoveredServers returns the backend servers that have registered themselves for a pool of the file.
func (c *Compiled) discoveredServers() []server {
	out := make([]server, 0, len(c.Discovered))
	for _, d := range c.Discovered {
		pool := c.pools[d.Pool]
		if known, ok := c.Core.Pools[pool]; !ok || known.Name != d.Pool {
			continue
		}
		out = append(out, server{d.Key(), core.Backend{
			Name: d.Name, Born: d.Born, Pool: pool, DataHall: d.DataHall, Slots: d.Slots, Leaving: d.Leaving,
			Cold: d.Cold, Version: d.Version, Lapsed: d.Lapsed,
		}, d.Address})
	}
	return out
}

// compileServers sets the backend servers.
func (c *Compiled) compileServers(servers []server) {
	keys := make([]string, len(servers))
	for i, s := range servers {
		keys[i] = s.key
	}
	ids, shared := model.Identities(keys)
	c.SharedHashes.Backends = shared
	c.Core.Backends = make(map[model.BackendID]core.Backend, len(servers))
	c.addresses = make(map[model.BackendID]string, len(servers))
	for i, s := range servers {
		id := model.BackendID(ids[i])
		c.Core.Backends[id] = s.backend
		c.addresses[id] = s.address
	}
}

func (c *Compiled) compileRoutes(costs map[string]float64) {
	for _, r := range c.File.Routes {
		class := model.Interactive
		if r.Class == model.Batch.String() {
			class = model.Batch
		}
		route := &CompiledRoute{
			Name: r.Name, Path: r.Path, Pool: c.pools[r.Pool], Class: class,
			Repeatable: r.Repeatable, BestEffort: r.Claims == ClaimsBestEffort,
			Wait: cmp.Or(r.Wait, defaultWait), CallCost: costs[r.Pool], Through: r.Through,
		}
		if r.Host != "" {
			route.Split = c.splitFractions(r)
			c.hosts[r.Host] = append(c.hosts[r.Host], route)
			continue
		}
		if r.Model != "" {
			c.models[r.Model] = route
			continue
		}
		c.services[r.Service] = append(c.services[r.Service], route)
	}
	for _, routes := range c.services {
		sortByPathLength(routes)
	}
	for _, routes := range c.hosts {
		sortByPathLength(routes)
	}
}

func sortByPathLength(routes []*CompiledRoute) {
	slices.SortStableFunc(routes, func(a, b *CompiledRoute) int { return cmp.Compare(len(b.Path), len(a.Path)) })
}

// splitFractions returns the fractions of a route's pools, which add up to 1.
func (c *Compiled) splitFractions(r Route) []PoolShare {
	if len(r.Split) == 0 {
		return []PoolShare{{Pool: c.pools[r.Pool], Fraction: 1}}
	}
	sum := 0.0
	for _, share := range r.Split {
		sum += share.Weight
	}
	var out []PoolShare
	for _, share := range r.Split {
		if share.Weight > 0 {
			out = append(out, PoolShare{Pool: c.pools[share.Pool], Fraction: share.Weight / sum})
		}
	}
	return out
}

// HashKey returns the hash of an API key in the format used in the file.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return "sha256:" + hex.EncodeToString(sum[:])
}

// AccountOf returns the client account of an API key.
func (c *Compiled) AccountOf(key string) (model.AccountID, bool) {
	id, ok := c.accounts[HashKey(key)]
	return id, ok
}

// ModelRoute returns the route for a model, or nil.
func (c *Compiled) ModelRoute(name string) *CompiledRoute { return c.models[name] }

// ServiceRoute returns the route for a path of a service, or nil.
func (c *Compiled) ServiceRoute(service, path string) *CompiledRoute {
	for _, r := range c.services[service] {
		if strings.HasPrefix(path, r.Path) {
			return r
		}
	}
	return nil
}

// HostRoute returns the route for a host and path, or nil.
func (c *Compiled) HostRoute(host, path string) *CompiledRoute {
	for _, r := range c.hosts[host] {
		if strings.HasPrefix(path, r.Path) {
			return r
		}
	}
	return nil
}

// AddressOf returns the IP and port of a backend server.
func (c *Compiled) AddressOf(id model.BackendID) string { return c.addresses[id] }
