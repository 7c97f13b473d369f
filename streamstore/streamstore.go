// Package streamstore keeps in the platform's store what the routers need to know of streams after all of them have ended
// at once: the registry, which lists the lineages that may have begun streams, and the streams that each router has begun
// and not finished.
//
// A lineage is registered before it begins streams. A read of the registry that starts after a stream has begun
// therefore includes the stream's lineage, whichever router began it, and however old the reader's own list of the
// backend servers is.
package streamstore

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/kernel"
	"github.com/tamarindstep/tamarindstep/scheduler"
	"github.com/tamarindstep/tamarindstep/store"
	"github.com/tamarindstep/tamarindstep/telemetry"
)

// ServiceName is the name under which the service is registered in the kernel.
const ServiceName = "streamstore"

const (
	// RegistryKey is the store key of the registry.
	RegistryKey = "tamarindstep/lineages"
	// recordsPrefix precedes a router's name in the store key of its unfinished streams.
	recordsPrefix = "tamarindstep/streams/"
)

const (
	// callTimeout limits each call of the store: whoever resumes a stream waits for a read of the registry.
	callTimeout = 500 * time.Millisecond
	// retryDelay is the delay after a failed read of the router's streams.
	retryDelay = 200 * time.Millisecond
	// maxSwaps is the maximum number of swaps that can fail because other routers change the registry at the same time.
	maxSwaps = 8
)

// Scheduler receives the content of the store, and sends requests for changes to its observer.
type Scheduler interface {
	Enqueue(core.Event)
	Observe(scheduler.Observer)
}

// Service reads and writes the registry and the streams of one router.
type Service struct {
	store     store.Store
	key       string // of this router's streams
	log       zerolog.Logger
	metrics   *telemetry.Platform
	scheduler Scheduler

	mu      sync.Mutex
	newest  *core.StoreStreams // to be written, nil for none
	stopped bool
	wake    chan struct{}

	run    context.Context
	cancel context.CancelFunc
	ended  sync.WaitGroup
}

// New returns the service of the router with the given name.
func New(name string, s store.Store, log zerolog.Logger, metrics *telemetry.Platform) *Service {
	return &Service{store: s, key: recordsPrefix + name, log: log, metrics: metrics, wake: make(chan struct{}, 1)}
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
	sched.Observe(scheduler.Observer{SyncRegistry: s.syncRegistry, StoreStreams: s.storeStreams})
	s.background(func() { s.maintainStreams(s.run) })
}

// background runs a function that ends with the service, unless the service has been stopped.
func (s *Service) background(run func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopped {
		s.ended.Go(run)
	}
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.cancel()
	s.ended.Wait()
	return nil
}

// get reads a key.
func (s *Service) get(ctx context.Context, key, call string) (store.Value, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	v, err := s.store.Get(ctx, key)
	s.countCall(call, err)
	return v, err
}

// swap sets a key if its revision is the given one.
func (s *Service) swap(ctx context.Context, key, call string, revision int64, data []byte) (store.Value, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	v, swapped, err := s.store.Swap(ctx, key, revision, data)
	s.countCall(call, err)
	return v, swapped, err
}

// countCall counts a call of the store, and its failure.
func (s *Service) countCall(call string, err error) {
	s.metrics.StoreCalls.WithLabelValues(call).Inc()
	if err != nil {
		s.metrics.StoreFailures.WithLabelValues(call).Inc()
	}
}
