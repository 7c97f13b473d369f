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

// The values that stand where the file gives none.
const (
	defaultWeight = 1.0
	defaultWait   = 60 * time.Second
	defaultCost   = 100.0 // of a call of a service, in tokens
)

// InForce is a generation of the configuration in the form the services use.
// It is never changed.
type InForce struct {
	Generation uint64
	File       *File
	Core       *core.Config
	accounts   map[string]model.AccountID // by key hash
	models     map[string]*CompiledRoute
	services   map[string][]*CompiledRoute // by service, the longest path first
	addresses  map[model.BackendID]string
}

// CompiledRoute is a route ready for use.
type CompiledRoute struct {
	Name       string
	Path       string
	Pool       model.PoolID
	Class      model.Class
	Repeatable bool
	BestEffort bool // keyed requests are sent unclaimed while the store is out
	Wait       time.Duration
	CallCost   float64
}

// Compile puts a file that passed its checks into the form the services use.
func Compile(generation uint64, f *File) *InForce {
	c := &InForce{
		Generation: generation,
		File:       f,
		Core: &core.Config{
			Generation: generation,
			Policy:     policies.Find(f.Policy),
			Accounts:   map[model.AccountID]core.Account{},
			Pools:      map[model.PoolID]core.Pool{},
			Backends:   map[model.BackendID]core.Backend{},
		},
		accounts:  map[string]model.AccountID{},
		models:    map[string]*CompiledRoute{},
		services:  map[string][]*CompiledRoute{},
		addresses: map[model.BackendID]string{},
	}
	if c.Core.Policy == nil {
		c.Core.Policy = policies.Default
	}
	c.compileAccounts()
	costs := c.compilePools()
	c.compileRoutes(costs)
	return c
}

func (c *InForce) compileAccounts() {
	for _, a := range c.File.Accounts {
		id := model.Account(a.Name)
		c.Core.Accounts[id] = core.Account{
			Name:   a.Name,
			Weight: cmp.Or(a.Weight, defaultWeight),
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

// compilePools returns what a call of each pool costs.
func (c *InForce) compilePools() map[string]float64 {
	costs := map[string]float64{}
	for _, p := range c.File.Pools {
		id := model.Pool(p.Name)
		c.Core.Pools[id] = core.Pool{
			Name:           p.Name,
			FollowLoad:     p.Kind == KindEngine,
			ExpectedOutput: p.ExpectedOutput,
		}
		if p.Kind == KindService {
			c.Core.Pools[id] = core.Pool{Name: p.Name, ExpectedOutput: 1}
			costs[p.Name] = cmp.Or(p.CallCost, defaultCost)
		}
		for _, b := range p.Backends {
			backend := model.Backend(b.Name)
			c.Core.Backends[backend] = core.Backend{Name: b.Name, Pool: id, DataHall: b.DataHall, Slots: b.Slots}
			c.addresses[backend] = b.Address
		}
	}
	return costs
}

func (c *InForce) compileRoutes(costs map[string]float64) {
	for _, r := range c.File.Routes {
		class := model.Interactive
		if r.Class == model.Batch.String() {
			class = model.Batch
		}
		route := &CompiledRoute{
			Name: r.Name, Path: r.Path, Pool: model.Pool(r.Pool), Class: class,
			Repeatable: r.Repeatable, BestEffort: r.Claims == ClaimsBestEffort,
			Wait: cmp.Or(r.Wait, defaultWait), CallCost: costs[r.Pool],
		}
		if r.Model != "" {
			c.models[r.Model] = route
			continue
		}
		c.services[r.Service] = append(c.services[r.Service], route)
	}
	for _, routes := range c.services {
		slices.SortStableFunc(routes, func(a, b *CompiledRoute) int { return cmp.Compare(len(b.Path), len(a.Path)) })
	}
}

// HashKey returns a key's hash as the file gives it.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return "sha256:" + hex.EncodeToString(sum[:])
}

// AccountOf returns the client account that a key belongs to.
func (c *InForce) AccountOf(key string) (model.AccountID, bool) {
	id, ok := c.accounts[HashKey(key)]
	return id, ok
}

// ModelRoute returns the route of a model, or nil.
func (c *InForce) ModelRoute(name string) *CompiledRoute { return c.models[name] }

// ServiceRoute returns the route of a path of a service, or nil.
func (c *InForce) ServiceRoute(service, path string) *CompiledRoute {
	for _, r := range c.services[service] {
		if strings.HasPrefix(path, r.Path) {
			return r
		}
	}
	return nil
}

// AddressOf returns the IP and port of a backend server.
func (c *InForce) AddressOf(id model.BackendID) string { return c.addresses[id] }
