// Package claim claims the idempotency keys of requests that must not be repeated in the platform's store. The
// decisions are in package core/claims.
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

// ServiceName is the name under which the service is registered in the kernel.
const ServiceName = "claim"

const (
	// shards is the number of shards, which must be the same on all routers.
	shards = 16
	// writeShare is the part of the store's write rate that the claims of the fleet may use.
	writeShare = 0.5
	burst      = 6.0
	// forwardTimeout is the time-out of a claim that is forwarded to the committing router.
	forwardTimeout = 2 * time.Second
)

// Types of package core/claims, for callers of this service.
type (
	// Key is the hash of a client account and its idempotency key.
	Key = claims.Key
	// Holder identifies one attempt to send a request.
	Holder = claims.Holder
	// Result is the result of a claim.
	Result = claims.Result
)

// Results of a claim.
const (
	Unavailable = claims.Unavailable
	Held        = claims.Held
	Taken       = claims.Taken
)

// NewHolder returns a unique holder.
func NewHolder() Holder {
	var h Holder
	_, _ = rand.Read(h[:])
	return h
}

// KeyOf returns the key for an idempotency key of a client account.
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
	writes  float64 // per second, over all shards
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

// New returns a Service. storeWrites is the rate of writes that the store accepts from the whole fleet, per second.
func New(store store.Store, storeWrites float64, metrics *telemetry.Platform) *Service {
	return &Service{store: store, writes: storeWrites * writeShare, metrics: metrics, began: clock.System.Now()}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Dependencies implements kernel.Service.
func (s *Service) Dependencies() []string { return []string{peer.ServiceName, scheduler.ServiceName} }

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

// Claim claims a key for a holder. The claim is forwarded to the router that commits the shard of the key, or
// committed here if that router is unreachable.
func (s *Service) Claim(ctx context.Context, key Key, holder Holder) claims.Result {
	result, ok := s.forward(ctx, key, holder)
	if !ok {
		result = s.Commit(ctx, key, holder)
	}
	s.metrics.Claims.WithLabelValues(result.String()).Inc()
	return result
}

// Release releases a key of a request that was not sent. It does not wait for the result.
func (s *Service) Release(key Key, holder Holder) {
	s.shards[shardOf(key)].submit(s.run, claims.Op{Key: key, Holder: holder, Release: true}, nil)
}

// forward forwards a claim to the router that commits the shard of the key. ok is false if that is this router, or if
// no response arrived. The claim is then committed here for the same holder, which is correct whether or not the
// forwarded one took effect.
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

// committer returns the address of the router that commits a shard, "" if that is this router.
func (s *Service) committer(shard int) string {
	var address string
	s.scheduler.Inspect(func(c *core.Core) { address = c.Responsible("claims/" + strconv.Itoa(shard)) })
	return address
}

// Commit commits a claim to the store from this router.
func (s *Service) Commit(ctx context.Context, key Key, holder Holder) claims.Result {
	result := make(chan claims.Result, 1)
	s.shards[shardOf(key)].submit(ctx, claims.Op{Key: key, Holder: holder}, result)
	select {
	case r := <-result:
		return r
	case <-ctx.Done():
		return claims.Unavailable
	case <-s.run.Done():
		return claims.Unavailable
	}
}

// HandleClaim handles a claim that another router forwarded.
func (s *Service) HandleClaim(ctx context.Context, in *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	if len(in.Key) != len(Key{}) || len(in.Holder) != len(Holder{}) {
		return nil, peer.Malformed.New("claim with a key of %d bytes and a holder of %d bytes", len(in.Key), len(in.Holder))
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
