// Package heldstore keeps the requests that are held back in the platform's store, so that
// they stay known where all routers end at once. Routers that start while others live hear of them from
// those, with the first datagrams.
//
// The store holds one small document. A router that has seen what led to a change merges it in
// by a swap; one that starts reads it once. While the store is out, changes wait.
//
// Another small document holds which requests are being tried: of routers at which a try is due at the same time, the
// store lets one make it.
package heldstore

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/internal/pause"
	"github.com/tamarindstep/tamarindstep/kernel"
	"github.com/tamarindstep/tamarindstep/scheduler"
	"github.com/tamarindstep/tamarindstep/store"
	"github.com/tamarindstep/tamarindstep/telemetry"
	"github.com/tamarindstep/tamarindstep/wire"
)

// ServiceName is the name that the service is found by.
const ServiceName = "heldstore"

// Key is where the store holds the document.
const Key = "tamarindstep/held"

const (
	// maxKept is how many requests the document holds at the most, of some 60 bytes each; the oldest go.
	maxKept = 64
	// settle is how long changes are gathered before they are written: ends come in bursts.
	settle = 50 * time.Millisecond
	// again is how long the store is left alone after a failure.
	again = time.Second
)

// Decisions are told what the store holds, and tell what changes.
type Decisions interface {
	Tell(core.Event)
	Observe(scheduler.Observer)
}

// Service keeps the document.
type Service struct {
	store     store.Store
	log       zerolog.Logger
	metrics   *telemetry.Platform
	decisions Decisions

	mu      sync.Mutex
	changes []core.HeldChanged // that are to be written
	wake    chan struct{}

	run    context.Context
	cancel context.CancelFunc
	ended  chan struct{}
	claims sync.WaitGroup
}

// New returns the service.
func New(s store.Store, log zerolog.Logger, metrics *telemetry.Platform) *Service {
	return &Service{store: s, log: log, metrics: metrics, wake: make(chan struct{}, 1), ended: make(chan struct{})}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Needs implements kernel.Service.
func (s *Service) Needs() []string { return []string{scheduler.ServiceName} }

// Start implements kernel.Service. It doesn't wait for the store.
func (s *Service) Start(ctx context.Context, k *kernel.Kernel) error {
	decisions, err := kernel.Lookup[*scheduler.Service](k, scheduler.ServiceName)
	if err != nil {
		return err
	}
	s.begin(ctx, decisions)
	return nil
}

func (s *Service) begin(ctx context.Context, decisions Decisions) {
	s.decisions = decisions
	s.run, s.cancel = context.WithCancel(context.WithoutCancel(ctx))
	decisions.Observe(scheduler.Observer{Held: s.changed, Try: s.try})
	go s.follow(s.run)
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	<-s.ended
	s.claims.Wait()
	return nil
}

// changed takes a change that is to be written. It doesn't block.
func (s *Service) changed(c core.HeldChanged) {
	if !c.Seen {
		return
	}
	s.mu.Lock()
	s.changes = append(s.changes, c)
	s.changes = s.changes[max(len(s.changes)-maxKept, 0):]
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Service) follow(ctx context.Context) {
	defer close(s.ended)
	held := s.read(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		if pause.For(ctx, settle) != nil {
			return
		}
		held = s.write(ctx, held)
	}
}

// read reads the document, as soon as the store answers, and tells what it holds.
func (s *Service) read(ctx context.Context) store.Value {
	for {
		s.metrics.StoreCalls.WithLabelValues("held").Inc()
		v, err := s.store.GetStale(ctx, Key)
		if err == nil {
			if held := s.decoded(v); len(held.Suspicions) > 0 {
				s.log.Info().Int("requests", len(held.Suspicions)).Msg("held-back requests read from the store")
				s.decisions.Tell(core.HeldInStore{Suspicions: held.Suspicions})
			}
			return v
		}
		s.metrics.StoreFailures.WithLabelValues("held").Inc()
		if pause.For(ctx, again) != nil {
			return store.Value{}
		}
	}
}

// write merges the changes into the document, and returns what the store holds then.
func (s *Service) write(ctx context.Context, known store.Value) store.Value {
	s.mu.Lock()
	changes := s.changes
	s.changes = nil
	s.mu.Unlock()
	for len(changes) > 0 {
		data, same := s.merged(known, changes)
		if same {
			return known
		}
		s.metrics.StoreCalls.WithLabelValues("held").Inc()
		v, swapped, err := s.store.Swap(ctx, Key, known.Revision, data)
		switch {
		case err != nil:
			s.metrics.StoreFailures.WithLabelValues("held").Inc()
			if pause.For(ctx, again) != nil {
				return known
			}
		case swapped:
			return v
		default:
			known = v
		}
	}
	return known
}

// merged returns the document with the changes in it, and whether it is the same as before.
func (s *Service) merged(known store.Value, changes []core.HeldChanged) (data []byte, same bool) {
	held := s.decoded(known)
	before := proto.Clone(held)
	for _, c := range changes {
		held.Suspicions = slices.DeleteFunc(held.Suspicions, func(o *wire.Suspicion) bool {
			return o.Fingerprint == c.Suspicion.Fingerprint
		})
		if c.Held {
			held.Suspicions = append(held.Suspicions, kept(c.Suspicion))
		}
	}
	held.Suspicions = held.Suspicions[max(len(held.Suspicions)-maxKept, 0):]
	if proto.Equal(before, held) {
		return nil, true
	}
	data, err := proto.Marshal(held)
	if err != nil {
		s.log.Error().Err(err).Msg("held-back requests can't be written")
		return nil, true
	}
	return data, false
}

// kept returns a suspicion without its times, which mean nothing to a router that starts later: to it,
// the ends count from its own start.
func kept(in *wire.Suspicion) *wire.Suspicion {
	return &wire.Suspicion{
		Fingerprint: in.Fingerprint, Account: in.Account, Backends: in.Backends,
		EndedMs: make([]uint32, len(in.Backends)), RanUs: in.RanUs, Marks: in.Marks,
	}
}

// decoded reads the document; one that can't be read holds nothing, and is replaced by the next change.
func (s *Service) decoded(v store.Value) *wire.HeldBack {
	out := &wire.HeldBack{}
	if v.Revision == 0 {
		return out
	}
	if err := proto.Unmarshal(v.Data, out); err != nil {
		s.log.Warn().Err(err).Int64("revision", v.Revision).Msg("the store's held-back requests can't be read")
		return &wire.HeldBack{}
	}
	return out
}
