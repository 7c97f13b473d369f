// Package generation brings every accepted configuration into force, and takes
// new ones from the operators into the platform's store.
//
// The store holds one document. An apply swaps it for the next generation,
// only if the generation it builds on is still there, with the apply's own
// identifier inside: where the swap's answer is lost, reading back tells
// whether it took effect. A few routers of each data hall watch the store; the
// others see the generation in the datagrams and fetch the document from
// whoever has it. No router ever goes back to a lower generation.
//
// A router that starts reads the store. While the store is out it asks the other
// routers, takes the highest generation any of them has, and serves only once
// more than half of those in the VM list have answered: an accepted
// configuration is in force at all but those that were cut off.
//
// A router that is cut off from the store and from the others goes on serving
// with what it has: refusing would turn every outage of the store into one of
// the fleet.
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

// ServiceName is the name that the service is found by.
const ServiceName = "generation"

// Key is where the store holds the configuration.
const Key = "tamarindstep/configuration"

const (
	fetchTimeout = 2 * time.Second
	applyTimeout = 10 * time.Second
)

// The errors of an apply.
var (
	namespace = errorx.NewNamespace("generation")
	// Conflict is the error for an apply that builds on a generation that isn't
	// the last any more.
	Conflict = namespace.NewType("conflict")
	// Unknown is the error for an apply of which it isn't known whether it took
	// hold. The same apply, with the same identifier, may be made again.
	Unknown = namespace.NewType("unknown")
	// Foreign is the error for an apply where the configuration isn't put into
	// the store by routers.
	Foreign = namespace.NewType("foreign")
)

// Peers lists the routers that can be asked, by name and address.
type Peers interface {
	Routers() map[string]string
}

// Decisions are told what is in force, and say what is to be done for it.
type Decisions interface {
	Tell(core.Event)
	Configure(*config.InForce)
	Observe(scheduler.Observer)
}

// Calls makes calls of other routers, as peer.Service does.
type Calls interface {
	Call(ctx context.Context, address string, do func(context.Context, wire.DRPCPeerClient) error) error
}

// Format is the form in which the store holds the configuration.
type Format interface {
	// Key is where the store holds it.
	Key() string
	// Document returns the document that a value of the store holds.
	Document(value []byte) (*wire.Document, error)
	// Parse reads and checks a document's text.
	Parse(text []byte) (*config.File, finding.List)
}

// ownFormat is the product's own: a document with an operators' file inside.
type ownFormat struct{}

func (ownFormat) Key() string { return Key }

func (ownFormat) Document(value []byte) (*wire.Document, error) {
	d := &wire.Document{}
	return d, proto.Unmarshal(value, d)
}

func (ownFormat) Parse(text []byte) (*config.File, finding.List) {
	return checks.File("configuration", text)
}

// Source is where the service gets the configuration, and the backend servers
// that announce themselves.
type Source struct {
	Store store.Store
	// Format is the configuration's, nil for the product's own. A configuration
	// in another form is put into the store by others: it can't be applied here.
	Format Format
	// Operators is nil where the configuration stands in the store by itself, and the
	// operators evacuate data halls by it.
	Operators Operators
	// Discovery is nil where no backend servers announce themselves.
	Discovery Discovery
}

// Service keeps the configuration in force.
type Service struct {
	store   store.Store
	format  Format
	foreign bool // the configuration is put into the store by others
	log     zerolog.Logger
	metrics *telemetry.Platform

	decisions Decisions
	calls     Calls
	peers     Peers

	inForce atomic.Pointer[config.InForce]
	ready   atomic.Bool

	began     time.Time
	mu        sync.Mutex
	document  *wire.Document
	file      *config.InForce // of the document, with no backend servers but its own
	revision  int64           // of the document in the store, 0 where it came from a router
	fetching  bool
	fetchFrom string    // the router to fetch from: the one that was seen first, or one nearby
	fetched   time.Time // when that ended last
	asked     time.Time // when the router that is fetched from was asked, zero for not yet
	second    bool      // another one is asked as well
	catalog   catalog
	halls     halls

	watch   chan bool
	reached atomic.Bool   // the store, when it was asked last
	seen    core.Versions // the newest that another router has, but for the catalog
	stale   stale
	waits   waits
	cancel  context.CancelFunc
	run     context.Context
	ended   sync.WaitGroup
}

// New returns the service.
func New(source Source, log zerolog.Logger, metrics *telemetry.Platform) *Service {
	s := &Service{
		store: source.Store, format: source.Format, foreign: source.Format != nil,
		log: log, metrics: metrics, watch: make(chan bool, 16), began: time.Now(),
		catalog: catalog{discovery: source.Discovery},
		halls:   halls{operators: source.Operators},
	}
	if !s.foreign {
		s.format = ownFormat{}
	}
	return s
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Needs implements kernel.Service.
func (s *Service) Needs() []string {
	return []string{peer.ServiceName, scheduler.ServiceName, "fleet"}
}

// Start implements kernel.Service. It doesn't wait for a configuration.
func (s *Service) Start(ctx context.Context, k *kernel.Kernel) error {
	var err error
	if s.decisions, err = kernel.Lookup[*scheduler.Service](k, scheduler.ServiceName); err != nil {
		return err
	}
	if s.calls, err = kernel.Lookup[*peer.Service](k, peer.ServiceName); err != nil {
		return err
	}
	if s.peers, err = kernel.Lookup[Peers](k, "fleet"); err != nil {
		return err
	}
	s.begin(ctx)
	return nil
}

// begin begins to follow the configuration.
func (s *Service) begin(ctx context.Context) {
	s.run, s.cancel = context.WithCancel(context.WithoutCancel(ctx))
	s.storeReturned()
	s.decisions.Observe(scheduler.Observer{Generation: s.generationSeen, Store: s.watchWanted, Contact: s.contactStore, Returned: s.storeReturned, Slept: s.slept})
	s.ended.Add(2)
	go s.getFirst()
	go s.followStore()
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	s.ended.Wait()
	return nil
}

// InForce returns the configuration in force, or nil.
func (s *Service) InForce() *config.InForce { return s.inForce.Load() }

// Ready tells whether the configuration in force is known to be recent. A router that knows that it isn't must
// not serve by it: it would refuse keys and routes that are there, and run what may not be run any more.
func (s *Service) Ready() bool {
	return s.ready.Load() && s.InForce() != nil && !s.stale.isStale(clock.System.Now())
}

// Document returns the document in force, or nil.
func (s *Service) Document() *wire.Document {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.document
}

// getFirst gets the first configuration: from the store, or while that is out from
// the other routers.
func (s *Service) getFirst() {
	defer s.ended.Done()
	for s.run.Err() == nil && !s.ready.Load() {
		if s.readConfiguration() && s.readCatalog() || s.askRouters() {
			s.ready.Store(true)
			return
		}
		s.pause()
	}
}

func (s *Service) pause() { s.restUnlessBack(s.run, retryPause) }

// readConfiguration reads what the operators have written, and tells whether that was
// possible.
func (s *Service) readConfiguration() bool {
	if s.halls.operators == nil {
		return s.readStore()
	}
	_, err := s.readOperators(s.run, true)
	return err == nil
}

// readStore reads the store and tells whether it answered. What it reads may be seconds
// old: the routers that watch the store, and the others' datagrams, tell of what is newer.
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

// rest waits for so long, or until the context ends, which whoever calls it looks at by itself.
func rest(ctx context.Context, long time.Duration) { _ = pause.For(ctx, long) }

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

// install brings a document into force, if it is newer than what is.
func (s *Service) install(d *wire.Document, revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = max(s.revision, revision)
	if d.Generation <= s.document.GetGeneration() {
		return
	}
	text, err := config.DocumentText(d)
	if err != nil {
		s.log.Error().Err(err).Msg("a configuration can't be read")
		return
	}
	f, findings := s.format.Parse(text)
	if findings.Failed() {
		s.log.Error().Err(findings).Uint64("generation", d.Generation).Msg("a configuration isn't valid here")
		return
	}
	s.document = d
	s.file = config.Compile(d.Generation, f)
	c := s.compile()
	s.metrics.Generation.Set(float64(d.Generation))
	s.log.Info().Uint64("generation", d.Generation).Str("policy", c.Core.Policy.Name).Msg("configuration in force")
}

// compile brings the document, the catalog and the evacuations into force together; the
// caller holds the lock.
func (s *Service) compile() *config.InForce {
	c := s.file.With(config.Surroundings{
		Catalog: s.catalog.held.GetRevision(), Discovered: discovered(s.withLapsed()),
		Halls: s.halls.held.GetRevision(), Evacuated: s.halls.held.GetEvacuated(),
	})
	c.Core.Edition = s.catalog.edition
	s.inForce.Store(c)
	s.noteWhetherStale()
	s.decisions.Configure(c)
	return c
}
