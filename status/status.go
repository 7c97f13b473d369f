// Package status serves the calls between routers, and merges the routers' states
// into the state of the fleet.
package status

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"go.opentelemetry.io/otel/trace"

	"github.com/tamarindstep/tamarindstep/claim"
	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/fleet"
	"github.com/tamarindstep/tamarindstep/generation"
	"github.com/tamarindstep/tamarindstep/kernel"
	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/peer"
	"github.com/tamarindstep/tamarindstep/scheduler"
	"github.com/tamarindstep/tamarindstep/telemetry"
	"github.com/tamarindstep/tamarindstep/wire"
)

// ServiceName is the name that the service is registered under.
const ServiceName = "status"

const callTimeout = 2 * time.Second

// Service serves the calls of other routers and calls them for their state.
type Service struct {
	self        string
	drain       func()
	scheduler   *scheduler.Service
	generations *generation.Service
	claims      *claim.Service
	peers       *peer.Service
	fleet       *fleet.Service
	traces      *telemetry.Traces
}

// New returns the service. It calls drain when an operator requests that the router stops.
func New(self string, drain func()) *Service { return &Service{self: self, drain: drain} }

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Dependencies implements kernel.Service.
func (s *Service) Dependencies() []string {
	return []string{
		scheduler.ServiceName, generation.ServiceName, claim.ServiceName, peer.ServiceName, fleet.ServiceName,
		telemetry.TracesName,
	}
}

// Start implements kernel.Service.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	var err error
	if s.scheduler, err = kernel.Lookup[*scheduler.Service](k, scheduler.ServiceName); err != nil {
		return err
	}
	if s.generations, err = kernel.Lookup[*generation.Service](k, generation.ServiceName); err != nil {
		return err
	}
	if s.claims, err = kernel.Lookup[*claim.Service](k, claim.ServiceName); err != nil {
		return err
	}
	if s.peers, err = kernel.Lookup[*peer.Service](k, peer.ServiceName); err != nil {
		return err
	}
	if s.fleet, err = kernel.Lookup[*fleet.Service](k, fleet.ServiceName); err != nil {
		return err
	}
	if s.traces, err = kernel.Lookup[*telemetry.Traces](k, telemetry.TracesName); err != nil {
		return err
	}
	s.peers.HandleCalls(s)
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error { return nil }

// Fetch implements wire.DRPCPeerServer.
func (s *Service) Fetch(ctx context.Context, in *wire.FetchRequest) (*wire.FetchResponse, error) {
	return s.generations.Fetch(ctx, in)
}

// Claim implements wire.DRPCPeerServer.
func (s *Service) Claim(ctx context.Context, in *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	ctx, span := s.traces.StartSpan(telemetry.FromPeer(ctx), "commit claim", trace.SpanKindServer)
	defer span.End()
	return s.claims.HandleClaim(ctx, in)
}

// Status implements wire.DRPCPeerServer.
func (s *Service) Status(context.Context, *wire.StatusRequest) (*wire.StatusResponse, error) {
	out := &wire.StatusResponse{Ready: s.generations.Ready()}
	s.scheduler.Inspect(func(c *core.Core) { c.View(out) })
	return out, nil
}

// Drain implements wire.DRPCPeerServer.
func (s *Service) Drain(context.Context, *wire.DrainRequest) (*wire.DrainResponse, error) {
	s.drain()
	return &wire.DrainResponse{}, nil
}

// DrainRouter drains the named router, which may be this one. The error is peer.Unreachable if
// no live router has the name.
func (s *Service) DrainRouter(ctx context.Context, name string) error {
	if name == s.self {
		s.drain()
		return nil
	}
	var address string
	s.scheduler.Inspect(func(c *core.Core) { address = c.Address(name) })
	if address == "" {
		return peer.Unreachable.New("no live router is named %q", name)
	}
	return s.peers.Call(ctx, address, func(ctx context.Context, c wire.DRPCPeerClient) error {
		_, err := c.Drain(ctx, &wire.DrainRequest{})
		return err
	})
}

// Fleet is the state of the fleet as collected by one router.
type Fleet struct {
	Routers    []Router  `json:"routers"`
	Backends   []Backend `json:"backends"`
	Accounts   []Account `json:"accounts"`
	GapTokens  int64     `json:"gap_tokens"` // the largest difference between backlogged accounts of a pool
	Generation uint64    `json:"generation"` // the highest in force at any router
	// Evacuated lists the data halls that are evacuated in the configuration of any router.
	Evacuated []string `json:"evacuated,omitempty"`
	// Held lists the requests that any router holds back.
	Held []HeldRequest `json:"held,omitempty"`
}

// HeldRequest is a request, or a part of prompts, that is held back because backend servers ended while running it.
type HeldRequest struct {
	Fingerprint string `json:"fingerprint"`
	// Part is the part of prompts that is held back in Pool instead of a request, "" for a request.
	Part    string `json:"part,omitempty"`
	Pool    string `json:"pool,omitempty"`
	Account string `json:"account"` // "" if there is none
	Ends    uint32 `json:"ends"`
	SinceMS uint32 `json:"since_ms"` // time since the first of them
	TryMS   uint32 `json:"try_ms"`   // time until a router tries it
	Routers int    `json:"routers"`  // number of routers that hold it back
}

// Router is the state of a router.
type Router struct {
	Name       string `json:"name"`
	DataHall   string `json:"data_hall"`
	Status     string `json:"status"`
	Generation uint64 `json:"generation"`
	Ready      bool   `json:"ready"`
	Policy     string `json:"policy"`
	Error      string `json:"error,omitempty"` // why its state couldn't be fetched
}

// Backend is the state of a backend server at the router that owns it.
type Backend struct {
	Name     string `json:"name"`
	BornMS   uint64 `json:"born_ms,omitempty"` // start time of its process by its own clock, in Unix ms; 0 if not reported
	Version  string `json:"version,omitempty"` // of its software
	Pool     string `json:"pool"`
	Owner    string `json:"owner"`
	Slots    uint32 `json:"slots"`
	Limit    uint32 `json:"limit"`
	Occupied uint32 `json:"occupied"`
	Leaving  bool   `json:"leaving"`
	// Evacuated reports whether its data hall is evacuated.
	Evacuated bool `json:"evacuated"`
}

// Account is the state of a client account in a pool, over the fleet.
type Account struct {
	Name           string `json:"name"`
	Pool           string `json:"pool"`
	Delivered      int64  `json:"delivered_tokens"` // since the start of each router
	VirtualService int64  `json:"virtual_service"`
	Waiting        uint32 `json:"waiting"`
	Running        uint32 `json:"running"`
	Backlogged     bool   `json:"backlogged"`
	Gap            int64  `json:"gap_tokens"` // ahead of the backlogged account with the lowest virtual service
}

// Gather fetches the state of every router and merges them.
func (s *Service) Gather(ctx context.Context) Fleet {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	own, _ := s.Status(ctx, nil)
	routers, answers := gather(ctx, own.Members[1:], s.fetchStatus)
	return merge(append(routers, routerOf(own, wire.Status_STATUS_ALIVE)), append(answers, own))
}

// gather asks the live ones of some routers for their status, and returns the state of all and the answers.
func gather(ctx context.Context, members []*wire.Rumour, fetch func(context.Context, string) (*wire.StatusResponse, error)) (routers []Router, answers []*wire.StatusResponse) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, m := range members {
		if m.Status == wire.Status_STATUS_DEAD {
			mu.Lock()
			routers = append(routers, Router{Name: m.Name, DataHall: m.DataHall, Status: statusName(m.Status)})
			mu.Unlock()
			continue
		}
		wg.Go(func() {
			answer, err := fetch(ctx, m.Address)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				routers = append(routers, Router{Name: m.Name, DataHall: m.DataHall, Status: statusName(m.Status), Error: err.Error()})
				return
			}
			answers = append(answers, answer)
			routers = append(routers, routerOf(answer, m.Status))
		})
	}
	wg.Wait()
	return routers, answers
}

func (s *Service) fetchStatus(ctx context.Context, address string) (*wire.StatusResponse, error) {
	var out *wire.StatusResponse
	err := s.peers.Call(ctx, address, func(ctx context.Context, c wire.DRPCPeerClient) error {
		var err error
		out, err = c.Status(ctx, &wire.StatusRequest{})
		return err
	})
	return out, err
}

func statusName(s wire.Status) string {
	return map[wire.Status]string{
		wire.Status_STATUS_ALIVE: "live", wire.Status_STATUS_SUSPECT: "suspect",
		wire.Status_STATUS_LEAVING: "leaving", wire.Status_STATUS_DEAD: "dead",
	}[s]
}

func routerOf(r *wire.StatusResponse, state wire.Status) Router {
	if r.Draining {
		state = wire.Status_STATUS_LEAVING
	}
	return Router{
		Name: r.Name, DataHall: r.DataHall, Status: statusName(state),
		Generation: r.Generation, Ready: r.Ready, Policy: r.Policy,
	}
}

func merge(routers []Router, answers []*wire.StatusResponse) Fleet {
	f := Fleet{Routers: routers}
	slices.SortFunc(f.Routers, func(a, b Router) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(answers, func(a, b *wire.StatusResponse) int { return cmp.Compare(a.Name, b.Name) })
	for _, a := range answers {
		f.Generation = max(f.Generation, a.Generation)
		f.Evacuated = append(f.Evacuated, a.Evacuated...)
		for _, b := range a.Backends {
			f.Backends = append(f.Backends, Backend{
				Name: b.Name, BornMS: b.BornMs, Version: b.Version, Pool: b.Pool, Owner: a.Name, Slots: b.Slots, Limit: b.Limit,
				Occupied: b.Occupied, Leaving: b.Leaving, Evacuated: b.Evacuated,
			})
		}
	}
	slices.Sort(f.Evacuated)
	f.Evacuated = slices.Compact(f.Evacuated)
	slices.SortFunc(f.Backends, func(a, b Backend) int { return cmp.Compare(a.Name+a.Owner, b.Name+b.Owner) })
	f.Held = mergeHeld(answers)
	f.Accounts = sumAccounts(answers)
	f.GapTokens = setGaps(f.Accounts)
	return f
}

// partName returns the name of the part of prompts that is held back, "" for a request.
func partName(h *wire.HeldStatus) string {
	if h.Pool == "" {
		return ""
	}
	return model.PromptPart{ID: h.Part}.String()
}

// mergeHeld merges the routers' states of each request that is held back.
func mergeHeld(answers []*wire.StatusResponse) []HeldRequest {
	merged := map[string]*HeldRequest{}
	for _, a := range answers {
		for _, h := range a.Held {
			name := model.Fingerprint(h.Fingerprint).String()
			if merged[name] == nil {
				merged[name] = &HeldRequest{Fingerprint: name, Account: h.Account, TryMS: h.TryMs, Part: partName(h), Pool: h.Pool}
			}
			held := merged[name]
			held.Ends, held.SinceMS = max(held.Ends, h.Ends), max(held.SinceMS, h.SinceMs)
			held.TryMS = min(held.TryMS, h.TryMs)
			held.Routers++
		}
	}
	var out []HeldRequest
	for _, name := range slices.Sorted(maps.Keys(merged)) {
		out = append(out, *merged[name])
	}
	return out
}

// Release clears the record of backend servers ended by a request, at all routers.
func (s *Service) Release(f model.Fingerprint) { s.scheduler.Enqueue(core.Answered{Fingerprint: f}) }

// sumAccounts adds up the figures of each account at the routers. The virtual service is that of the
// whole fleet, and the highest value is the most recent.
func sumAccounts(answers []*wire.StatusResponse) []Account {
	type key struct{ pool, name string }
	sums := map[key]*Account{}
	for _, answer := range answers {
		for _, a := range answer.Accounts {
			k := key{a.Pool, a.Name}
			if sums[k] == nil {
				sums[k] = &Account{Name: a.Name, Pool: a.Pool}
			}
			sum := sums[k]
			sum.Delivered += a.DeliveredTokens
			sum.Waiting += a.Waiting
			sum.Running += a.Running
			sum.VirtualService = max(sum.VirtualService, a.VirtualService)
			sum.Backlogged = sum.Backlogged || a.Waiting > 0
		}
	}
	var out []Account
	for _, a := range sums {
		out = append(out, *a)
	}
	slices.SortFunc(out, func(a, b Account) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// setGaps sets how far each backlogged account is ahead of the backlogged account with the lowest
// virtual service in its pool, and returns the largest gap.
func setGaps(accounts []Account) int64 {
	least := map[string]int64{}
	for _, a := range accounts {
		if v, ok := least[a.Pool]; a.Backlogged && (!ok || a.VirtualService < v) {
			least[a.Pool] = a.VirtualService
		}
	}
	var largest int64
	for i := range accounts {
		a := &accounts[i]
		if a.Backlogged {
			a.Gap = a.VirtualService - least[a.Pool]
			largest = max(largest, a.Gap)
		}
	}
	return largest
}
