// Package claim claims the keys of requests that may not be repeated in the
// platform's store; package claims in core holds the decisions.
package claim

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/core/claims"
	"github.com/tamarindstep/tamarindstep/internal/clock"
	"github.com/tamarindstep/tamarindstep/kernel"
	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/peer"
	"github.com/tamarindstep/tamarindstep/scheduler"
	"github.com/tamarindstep/tamarindstep/store"
	"github.com/tamarindstep/tamarindstep/telemetry"
	"github.com/tamarindstep/tamarindstep/wire"
)

// ServiceName is the name that the service is found by.
const ServiceName = "claim"

const (
	// shards is the number of shards; all routers must have the same.
	shards = 16
	// writesPart is what the claims of the whole fleet may take of the store's
	// writes.
	writesPart = 0.5
	burst      = 6.0
	// forwardTimeout is how long a router waits for the one that commits.
	forwardTimeout = 2 * time.Second
)

// The types and results of the decisions, for those who use this service.
type (
	// Key is the hash of a client account and its idempotency key.
	Key = claims.Key
	// Holder is unique to one attempt to send a request.
	Holder = claims.Holder
	// Result is the outcome of a claim.
	Result = claims.Result
)

// The outcomes of a claim.
const (
	Unavailable = claims.Unavailable
	Held        = claims.Held
	Taken       = claims.Taken
)

// NewHolder returns a holder that no other attempt has.
func NewHolder() Holder {
	var h Holder
	_, _ = rand.Read(h[:])
	return h
}

// KeyOf returns the key under which a request is claimed.
func KeyOf(account model.AccountID, key string) Key {
	var out Key
	name := strconv.FormatUint(uint64(account), 16) + "\x00" + key
	binary.BigEndian.PutUint64(out[:8], xxhash.Sum64String(name))
	binary.BigEndian.PutUint64(out[8:], xxhash.Sum64String("second\x00"+name))
	return out
}

func shardOf(key Key) int { return int(key[0]) % shards }

// Service claims keys.
type Service struct {
	store   store.Store
	writes  float64 // a second, of all shards together
	metrics *telemetry.Platform
	began   time.Duration

	peers     *peer.Service
	scheduler *scheduler.Service

	mu     sync.Mutex
	shards [shards]*runner
	cancel context.CancelFunc
	run    context.Context
	ended  sync.WaitGroup
}

// New returns the service; storeWrites is how many writes a second the store takes
// from the whole fleet.
func New(store store.Store, storeWrites float64, metrics *telemetry.Platform) *Service {
	return &Service{store: store, writes: storeWrites * writesPart, metrics: metrics, began: clock.System.Now()}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Needs implements kernel.Service.
func (s *Service) Needs() []string { return []string{peer.ServiceName, scheduler.ServiceName} }

// Start implements kernel.Service.
func (s *Service) Start(ctx context.Context, k *kernel.Kernel) error {
	var err error
	if s.peers, err = kernel.Lookup[*peer.Service](k, peer.ServiceName); err != nil {
		return err
	}
	if s.scheduler, err = kernel.Lookup[*scheduler.Service](k, scheduler.ServiceName); err != nil {
		return err
	}
	s.run, s.cancel = context.WithCancel(context.WithoutCancel(ctx))
	for i := range s.shards {
		s.shards[i] = newRunner(s, i)
		s.ended.Add(1)
		go s.shards[i].loop(s.run)
	}
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	s.ended.Wait()
	return nil
}

// Claim claims a key for a holder: through the router that commits its shard,
// or itself where that one can't be reached.
func (s *Service) Claim(ctx context.Context, key Key, holder Holder) claims.Result {
	result, ok := s.forward(ctx, key, holder)
	if !ok {
		result = s.Commit(ctx, key, holder)
	}
	s.metrics.Claims.WithLabelValues(result.String()).Inc()
	return result
}

// Release gives a key back after nothing was sent for it. It doesn't wait.
func (s *Service) Release(key Key, holder Holder) {
	s.shards[shardOf(key)].ask(claims.Op{Key: key, Holder: holder, Release: true}, nil)
}

// forward asks the router that commits the key's shard. ok is false where that
// is this router, or where its answer didn't come: the claim is then made here,
// for the same holder, which settles it either way.
func (s *Service) forward(ctx context.Context, key Key, holder Holder) (claims.Result, bool) {
	address := s.committer(shardOf(key))
	if address == "" {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	var result claims.Result
	err := s.peers.Call(ctx, address, func(ctx context.Context, c wire.DRPCPeerClient) error {
		out, err := c.Claim(ctx, &wire.ClaimRequest{Key: key[:], Holder: holder[:]})
		if err != nil {
			return err
		}
		result = resultOf(out.Result)
		return nil
	})
	return result, err == nil
}

// committer returns the address of the router that commits a shard, "" where
// that is this one.
func (s *Service) committer(shard int) string {
	var address string
	s.scheduler.Look(func(c *core.Core) { address = c.Responsible("claims/" + strconv.Itoa(shard)) })
	return address
}

// Commit claims a key in the store from this router.
func (s *Service) Commit(ctx context.Context, key Key, holder Holder) claims.Result {
	answer := make(chan claims.Result, 1)
	s.shards[shardOf(key)].ask(claims.Op{Key: key, Holder: holder}, answer)
	select {
	case r := <-answer:
		return r
	case <-ctx.Done():
		return claims.Unavailable
	case <-s.run.Done():
		return claims.Unavailable
	}
}

// Answer answers another router's claim.
func (s *Service) Answer(ctx context.Context, in *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	if len(in.Key) != len(Key{}) || len(in.Holder) != len(Holder{}) {
		return nil, peer.Malformed.New("a claim with a key of %d bytes and a holder of %d", len(in.Key), len(in.Holder))
	}
	result := s.Commit(ctx, Key(in.Key), Holder(in.Holder))
	return &wire.ClaimResponse{Result: toWire(result)}, nil
}

func resultOf(r wire.ClaimResult) claims.Result {
	switch r {
	case wire.ClaimResult_CLAIM_HELD:
		return claims.Held
	case wire.ClaimResult_CLAIM_TAKEN:
		return claims.Taken
	}
	return claims.Unavailable
}

func toWire(r claims.Result) wire.ClaimResult {
	switch r {
	case claims.Held:
		return wire.ClaimResult_CLAIM_HELD
	case claims.Taken:
		return wire.ClaimResult_CLAIM_TAKEN
	}
	return wire.ClaimResult_CLAIM_UNAVAILABLE
}
