// Package generation distributes the configuration: it brings each accepted configuration into force on this router
// and writes new ones from the operators to the platform's store.
//
// The store holds one document. An apply replaces it with the next generation by compare-and-swap, only if the
// generation it is based on is still current. The document contains the apply's identifier, so that reading it back
// shows whether a swap whose response was lost took effect. A few routers of each data hall watch the store. The
// others receive the current generation number in datagrams and fetch the document from a router that has it. A
// router never reverts to a lower generation.
//
// A router reads the store when it starts. While the store is unavailable, it asks the other routers, uses the
// highest generation that any of them has, and serves only once more than half of the routers in the VM list have
// answered. An accepted configuration is thus in force on all routers but those that are cut off.
//
// A router that can reach neither the store nor other routers keeps serving with the configuration it has: refusing
// requests would turn each outage of the store into an outage of the fleet.
package generation

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/tamarindstep/tamarindstep/config"
	"github.com/tamarindstep/tamarindstep/config/check/checks"
	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/finding"
	"github.com/tamarindstep/tamarindstep/internal/clock"
	"github.com/tamarindstep/tamarindstep/internal/pause"
	"github.com/tamarindstep/tamarindstep/kernel"
	"github.com/tamarindstep/tamarindstep/peer"
	"github.com/tamarindstep/tamarindstep/scheduler"
	"github.com/tamarindstep/tamarindstep/store"
	"github.com/tamarindstep/tamarindstep/telemetry"
	"github.com/tamarindstep/tamarindstep/wire"
)

// ServiceName is the name under which the service is registered in the kernel.
const ServiceName = "generation"

// Key is the store key of the configuration document.
const Key = "tamarindstep/configuration"

const (
	fetchTimeout = 2 * time.Second
	applyTimeout = 10 * time.Second
)

// Errors of an apply.
var (
	namespace = errorx.NewNamespace("generation")
	// Conflict is the error of an apply whose base is no longer the last generation.
	Conflict = namespace.NewType("conflict")
	// OutcomeUnknown is the error of an apply whose outcome could not be determined. The apply can be retried with the
	// same identifier.
	OutcomeUnknown = namespace.NewType("unknown")
	// ReadOnly is the error of an apply where the configuration is written to the store by another system.
	ReadOnly = namespace.NewType("foreign")
)

// Peers lists the other routers: addresses by name.
type Peers interface {
	Routers() map[string]string
}

// Scheduler receives the configuration in force and sends requests for store access to its observer.
type Scheduler interface {
	Enqueue(core.Event)
	Configure(*config.Compiled)
	Observe(scheduler.Observer)
	// SinceStoreOutage returns the time since the end of the last outage of the store, 0 during one. The result is false
	// if there was none.
	SinceStoreOutage() (time.Duration, bool)
}

// Caller calls other routers, as peer.Service does.
type Caller interface {
	Call(ctx context.Context, address string, do func(context.Context, wire.DRPCPeerClient) error) error
}

// Format is the encoding of the configuration in the store.
type Format interface {
	// Key returns the store key of the configuration.
	Key() string
	// Document decodes a value of the store into a document.
	Document(value []byte) (*wire.Document, error)
	// Parse reads and checks the text of a document.
	Parse(text []byte) (*config.File, finding.List)
}

// nativeFormat is the default format: a wire.Document that contains the operators' file.
type nativeFormat struct{}

func (nativeFormat) Key() string { return Key }

func (nativeFormat) Document(value []byte) (*wire.Document, error) {
	d := &wire.Document{}
	return d, proto.Unmarshal(value, d)
}

func (nativeFormat) Parse(text []byte) (*config.File, finding.List) {
	return checks.File("configuration", text)
}

// Source is the origin of the configuration and of the discovered backend servers.
type Source struct {
	Store store.Store
	// Format is the format of the configuration, nil for the default. A configuration in another format is written to
	// the store by another system and cannot be applied here.
	Format Format
	// Operators is nil where the store holds just the configuration, and operators evacuate data halls through it.
	Operators Operators
	// Discovery is nil where backend servers do not announce themselves.
	Discovery Discovery
}

// Service maintains the configuration in force.
type Service struct {
	store    store.Store
	format   Format
	readOnly bool // the configuration is written to the store by another system
	log      zerolog.Logger
	metrics  *telemetry.Platform

	scheduler Scheduler
	caller    Caller
	peers     Peers

	inForce atomic.Pointer[config.Compiled]
	ready   atomic.Bool

	began      time.Time
	mu         sync.Mutex
	document   *wire.Document
	file       *config.Compiled // compiled from document, without discovered backend servers
	revision   int64            // of the document in the store, 0 if it came from a router
	fetching   bool
	fetchFrom  string    // address of the router to fetch from: the first that was seen, or one in the same data hall
	fetchEnded time.Time // when the last fetch ended
	fetchBegan time.Time // when the fetch from fetchFrom began, zero if it has not
	hedged     bool      // the fetch was also sent to a second router
	catalog    catalog
	halls      halls
	shared     config.SharedHashes // as last logged

	watch      chan bool
	reached    atomic.Bool   // whether the last ping of the store was answered
	seen       core.Versions // newest versions seen from other routers, without the catalog
	stale      staleness
	storeCalls storeCalls
	cancel     context.CancelFunc
	run        context.Context
	ended      sync.WaitGroup
}

// New returns a Service.
func New(source Source, log zerolog.Logger, metrics *telemetry.Platform) *Service {
	s := &Service{
		store: source.Store, format: source.Format, readOnly: source.Format != nil,
		log: log, metrics: metrics, watch: make(chan bool, 16), began: time.Now(),
		catalog: catalog{discovery: source.Discovery, lapsed: map[string]lapse{}},
		halls:   halls{operators: source.Operators},
	}
	if !s.readOnly {
		s.format = nativeFormat{}
	}
	return s
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Dependencies implements kernel.Service.
func (s *Service) Dependencies() []string {
	return []string{peer.ServiceName, scheduler.ServiceName, "fleet"}
}

// Start implements kernel.Service. It does not wait for a configuration.
func (s *Service) Start(ctx context.Context, k *kernel.Kernel) error {
	var err error
	if s.scheduler, err = kernel.Lookup[*scheduler.Service](k, scheduler.ServiceName); err != nil {
		return err
	}
	if s.caller, err = kernel.Lookup[*peer.Service](k, peer.ServiceName); err != nil {
		return err
	}
	if s.peers, err = kernel.Lookup[Peers](k, "fleet"); err != nil {
		return err
	}
	s.begin(ctx)
	return nil
}

// begin starts reading and watching the configuration.
func (s *Service) begin(ctx context.Context) {
	s.run, s.cancel = context.WithCancel(context.WithoutCancel(ctx))
	s.cancelStoreCalls()
	s.scheduler.Observe(scheduler.Observer{NewerVersion: s.generationSeen, WatchStore: s.setWatch, ContactStore: s.pingStore, StoreRecovered: s.cancelStoreCalls, Suspended: s.handleSuspend})
	s.ended.Add(2)
	go s.loadInitial()
	go s.runWatches()
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	s.ended.Wait()
	return nil
}

// InForce returns the configuration in force, nil if there is none.
func (s *Service) InForce() *config.Compiled { return s.inForce.Load() }

// Ready reports whether there is a configuration and it is not known to be outdated. A router with an outdated
// configuration would refuse valid keys and routes, and run requests that are no longer allowed.
func (s *Service) Ready() bool {
	return s.ready.Load() && s.InForce() != nil && !s.stale.isStale(clock.System.Now())
}

// Document returns the document in force, nil if there is none.
func (s *Service) Document() *wire.Document {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.document
}

// loadInitial loads the first configuration from the store or, while the store is unavailable, from the other
// routers.
func (s *Service) loadInitial() {
	defer s.ended.Done()
	for s.run.Err() == nil && !s.ready.Load() {
		if s.readConfiguration() && s.readCatalog() || s.fetchFromAll() {
			s.ready.Store(true)
			return
		}
		s.waitToRetry()
	}
}

func (s *Service) waitToRetry() { s.sleepUnlessCanceled(s.run, retryPause) }

// readConfiguration reads the operators' configuration and reports whether that succeeded.
func (s *Service) readConfiguration() bool {
	if s.halls.operators == nil {
		return s.readStore()
	}
	_, err := s.readOperators(s.run, true)
	return err == nil
}

// readStore reads the configuration from the store and reports whether the store answered. The result may be seconds
// old; newer generations arrive through watches and datagrams.
func (s *Service) readStore() bool {
	s.metrics.StoreCalls.WithLabelValues("get").Inc()
	v, err := s.store.GetStale(s.run, s.format.Key())
	if err != nil {
		s.metrics.StoreFailures.WithLabelValues("get").Inc()
		return false
	}
	s.installValue(v)
	return true
}

// sleep waits for d or until ctx ends. Callers check ctx themselves.
func sleep(ctx context.Context, d time.Duration) { _ = pause.For(ctx, d) }

func (s *Service) installValue(v store.Value) {
	if v.Revision == 0 {
		return
	}
	d, err := s.format.Document(v.Data)
	if err != nil {
		s.log.Error().Err(err).Int64("revision", v.Revision).Msg("the store's configuration can't be read")
		s.mu.Lock()
		s.revision = max(s.revision, v.Revision)
		s.mu.Unlock()
		return
	}
	s.install(d, v.Revision)
}

// install brings a document into force if it is newer than the current one.
func (s *Service) install(d *wire.Document, revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = max(s.revision, revision)
	if d.Generation <= s.document.GetGeneration() {
		return
	}
	text, err := config.DocumentText(d)
	if err != nil {
		s.log.Error().Err(err).Msg("configuration document can't be decoded")
		return
	}
	f, findings := s.format.Parse(text)
	if findings.Failed() {
		s.log.Error().Err(findings).Uint64("generation", d.Generation).Msg("configuration rejected: not valid for this router")
		return
	}
	s.document = d
	s.file = config.Compile(d.Generation, f)
	c := s.compile()
	s.metrics.Generation.Set(float64(d.Generation))
	s.log.Info().Uint64("generation", d.Generation).Str("policy", c.Core.Policy.Name).Msg("configuration in force")
}

// compile combines the document, the catalog and the evacuations, and brings the result into force. The caller holds
// the lock.
func (s *Service) compile() *config.Compiled {
	c := s.file.With(config.RuntimeState{
		Catalog: s.catalog.held.GetRevision(), Discovered: s.backends(),
		Halls: s.halls.held.GetRevision(), Evacuated: s.halls.held.GetEvacuated(),
	})
	c.Core.Edition = s.catalog.edition
	s.inForce.Store(c)
	s.updateStale()
	s.scheduler.Configure(c)
	s.reportSharedHashes(c.SharedHashes)
	return c
}
