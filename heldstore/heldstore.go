// Package heldstore stores the held-back requests in the platform's store, so that they survive the end of all
// routers at once. Routers that start while others run receive them from those, with the first datagrams.
//
// The store holds one small document. A router that observed the cause of a change merges the change into the
// document by compare-and-swap. A router reads the document once when it starts. While the store is unavailable,
// changes are queued.
//
// A second small document holds the requests that are being tried: if a try is due at several routers at the same
// time, the store grants it to one of them.
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

// ServiceName is the name under which the service is registered in the kernel.
const ServiceName = "heldstore"

// Key is the store key of the document.
const Key = "tamarindstep/held"

const (
	// maxKept is the maximum number of requests in the document, of some 60 bytes each; the oldest are evicted.
	maxKept = 64
	// writeDelay is how long changes are collected before they are written: backend servers end in bursts.
	writeDelay = 50 * time.Millisecond
	// retryDelay is the delay after a failed call of the store.
	retryDelay = time.Second
)

// Scheduler receives the content of the store, and sends changes to its observer.
type Scheduler interface {
	Enqueue(core.Event)
	Observe(scheduler.Observer)
}

// Service maintains the document.
type Service struct {
	store     store.Store
	log       zerolog.Logger
	metrics   *telemetry.Platform
	scheduler Scheduler

	mu      sync.Mutex
	changes []core.HeldChanged // to be written
	wake    chan struct{}

	run    context.Context
	cancel context.CancelFunc
	ended  chan struct{}
	claims sync.WaitGroup
}

// New returns a Service.
func New(s store.Store, log zerolog.Logger, metrics *telemetry.Platform) *Service {
	return &Service{store: s, log: log, metrics: metrics, wake: make(chan struct{}, 1), ended: make(chan struct{})}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Dependencies implements kernel.Service.
func (s *Service) Dependencies() []string { return []string{scheduler.ServiceName} }

// Start implements kernel.Service. It does not wait for the store.
func (s *Service) Start(ctx context.Context, k *kernel.Kernel) error {
	sched, err := kernel.Lookup[*scheduler.Service](k, scheduler.ServiceName)
	if err != nil {
		return err
	}
	s.begin(ctx, sched)
	return nil
}

func (s *Service) begin(ctx context.Context, sched Scheduler) {
	s.scheduler = sched
	s.run, s.cancel = context.WithCancel(context.WithoutCancel(ctx))
	sched.Observe(scheduler.Observer{HeldChanged: s.enqueue, RequestTry: s.try})
	go s.loop(s.run)
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	<-s.ended
	s.claims.Wait()
	return nil
}

// enqueue queues a change to be written, if this router observed its cause. It does not block.
func (s *Service) enqueue(c core.HeldChanged) {
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

func (s *Service) loop(ctx context.Context) {
	defer close(s.ended)
	held := s.read(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		if pause.For(ctx, writeDelay) != nil {
			return
		}
		held = s.write(ctx, held)
	}
}

// read reads the document as soon as the store answers, and sends its content to the scheduler.
func (s *Service) read(ctx context.Context) store.Value {
	for {
		s.metrics.StoreCalls.WithLabelValues("held").Inc()
		v, err := s.store.GetStale(ctx, Key)
		if err == nil {
			if held := s.decode(v); len(held.Suspicions) > 0 {
				s.log.Info().Int("requests", len(held.Suspicions)).Msg("held-back requests read from the store")
				s.scheduler.Enqueue(core.HeldRequestsLoaded{Suspicions: held.Suspicions})
			}
			return v
		}
		s.metrics.StoreFailures.WithLabelValues("held").Inc()
		if pause.For(ctx, retryDelay) != nil {
			return store.Value{}
		}
	}
}

// write merges the queued changes into the document and returns the resulting value.
func (s *Service) write(ctx context.Context, known store.Value) store.Value {
	s.mu.Lock()
	changes := s.changes
	s.changes = nil
	s.mu.Unlock()
	for len(changes) > 0 {
		data, same := s.merge(known, changes)
		if same {
			return known
		}
		s.metrics.StoreCalls.WithLabelValues("held").Inc()
		v, swapped, err := s.store.Swap(ctx, Key, known.Revision, data)
		switch {
		case err != nil:
			s.metrics.StoreFailures.WithLabelValues("held").Inc()
			if pause.For(ctx, retryDelay) != nil {
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

// merge returns the document with the changes, and whether it is unchanged.
func (s *Service) merge(known store.Value, changes []core.HeldChanged) (data []byte, same bool) {
	held := s.decode(known)
	before := proto.Clone(held)
	for _, c := range changes {
		held.Suspicions = slices.DeleteFunc(held.Suspicions, func(o *wire.Suspicion) bool {
			return o.Fingerprint == c.Suspicion.Fingerprint
		})
		if c.Held {
			held.Suspicions = append(held.Suspicions, withoutAges(c.Suspicion))
		}
	}
	held.Suspicions = held.Suspicions[max(len(held.Suspicions)-maxKept, 0):]
	if proto.Equal(before, held) {
		return nil, true
	}
	data, err := proto.Marshal(held)
	if err != nil {
		s.log.Error().Err(err).Msg("can't encode held-back requests")
		return nil, true
	}
	return data, false
}

// withoutAges returns a suspicion without the ages of its events. These have no meaning for a router that starts
// later, which counts the ends from its own start.
func withoutAges(in *wire.Suspicion) *wire.Suspicion {
	return &wire.Suspicion{
		Fingerprint: in.Fingerprint, Account: in.Account, Backends: in.Backends,
		EndedMs: make([]uint32, len(in.Backends)), RanUs: in.RanUs, Marks: in.Marks,
		Pool: in.Pool, Part: in.Part,
	}
}

// decode decodes the document. One that cannot be decoded is treated as empty, and replaced by the next change.
func (s *Service) decode(v store.Value) *wire.HeldBack {
	out := &wire.HeldBack{}
	if v.Revision == 0 {
		return out
	}
	if err := proto.Unmarshal(v.Data, out); err != nil {
		s.log.Warn().Err(err).Int64("revision", v.Revision).Msg("can't decode the store's held-back requests")
		return &wire.HeldBack{}
	}
	return out
}
