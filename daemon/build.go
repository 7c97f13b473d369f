package daemon

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/tamarindstep/tamarindstep/admin"
	"github.com/tamarindstep/tamarindstep/back"
	"github.com/tamarindstep/tamarindstep/claim"
	"github.com/tamarindstep/tamarindstep/core/cold"
	"github.com/tamarindstep/tamarindstep/core/member"
	"github.com/tamarindstep/tamarindstep/core/retry"
	"github.com/tamarindstep/tamarindstep/fingerprint"
	"github.com/tamarindstep/tamarindstep/fleet"
	"github.com/tamarindstep/tamarindstep/front"
	"github.com/tamarindstep/tamarindstep/gateway"
	"github.com/tamarindstep/tamarindstep/generation"
	"github.com/tamarindstep/tamarindstep/heldstore"
	"github.com/tamarindstep/tamarindstep/kernel"
	"github.com/tamarindstep/tamarindstep/peer"
	"github.com/tamarindstep/tamarindstep/peerkey"
	"github.com/tamarindstep/tamarindstep/platform"
	"github.com/tamarindstep/tamarindstep/policy/policies"
	"github.com/tamarindstep/tamarindstep/scheduler"
	"github.com/tamarindstep/tamarindstep/status"
	"github.com/tamarindstep/tamarindstep/store"
	"github.com/tamarindstep/tamarindstep/telemetry"
	"github.com/tamarindstep/tamarindstep/vmlist"
)

// requestsPerMB is how many requests are served at once for each MB of memory:
// one holds its body, of some ten kilobytes, and the buffers of two connections.
const requestsPerMB = 5

// heldPart is the part of the memory that may be held for callers. A good third of what is held of answers to callers that
// take nothing lies in the system's buffers.
const heldPart = 0.75

const (
	// filesKept is how many descriptors are for other things than connections to callers
	// and backend servers: routers, the store, and the runtime.
	filesKept = 300
	// callersPart is the part of the others that callers' connections may take. Each request
	// takes one to a backend server as well, and some connections of both kinds rest.
	callersPart = 0.45
)

// turnAwaysPerCore is how many connections a second a whole core may turn away: at some 80 microseconds each
// (BenchmarkPlatformRefusal) a third of it, so that the rest is left for requests that are served, and
// for what the routers tell each other.
const turnAwaysPerCore = 4000

// retryWindow is the span over which the retry budget is counted.
const retryWindow = 10 * time.Second

// callers is a service for callers.
type callers interface {
	kernel.Service
	// Drain lets a stopping router finish its requests.
	Drain(ctx context.Context)
}

// router is a running router.
type router struct {
	log       zerolog.Logger
	kernel    *kernel.Kernel
	callers   callers
	scheduler *scheduler.Service
	drainFor  time.Duration
	once      sync.Once
	draining  chan struct{}
	leave     func(context.Context) error // takes it out of the list of routers
}

// drain begins the router's orderly end.
func (r *router) drain() { r.once.Do(func() { close(r.draining) }) }

func (r *router) isDraining() bool {
	select {
	case <-r.draining:
		return true
	default:
		return false
	}
}

// close takes the router out of the list of routers.
func (r *router) close() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := r.leave(ctx); err != nil {
		r.log.Warn().Err(err).Msg("the router stays in the list until its lease ends")
	}
}

// leaveTimeout is how long a stopping router tries to leave the list.
const leaveTimeout = 500 * time.Millisecond

// surroundings are what a router stands in: the store, the list of routers and
// the callers, each in the form that the interface says.
type surroundings struct {
	source  generation.Source
	routers vmlist.List
	key     string
	callers callers
	leave   func(context.Context) error
	// keep returns the services that keep what lies in the store, nil for none.
	keep func(*peer.Service, *generation.Service) kernel.Service
}

func own(s Settings, log zerolog.Logger, metrics *telemetry.Metrics) surroundings {
	return surroundings{
		source:  generation.Source{Store: store.NewEtcd(s.Store)},
		routers: vmlist.NewHTTP(s.VMList),
		key:     s.PeerKey,
		callers: front.New(s.CallerListen, s.CallerStall, fingerprint.NewMaker([]byte(s.PeerKey)), log, metrics),
		leave:   func(context.Context) error { return nil },
	}
}

func onPlatform(ctx context.Context, s Settings, log zerolog.Logger, metrics *telemetry.Metrics) (surroundings, error) {
	kept := platform.NewStore(s.Store)
	key, err := platform.PeerKey(ctx, kept)
	if err != nil {
		return surroundings{}, err
	}
	log.Info().Msg("peer key read from the store")
	maker := fingerprint.NewMaker(key.Data)
	routers := &platform.Routers{Store: kept, Self: vmlist.VM{
		Name: s.Name, Address: s.PeerListen, DataHall: s.DataHall, Role: vmlist.RoleRouter, State: vmlist.StateLive,
		Processor: s.Processor,
	}}
	return surroundings{
		source: generation.Source{
			Store: kept, Format: platform.Configuration{Policy: s.Policy},
			Operators: platform.Operators{Store: kept}, Discovery: platform.Backends{Store: kept},
		},
		routers: routers,
		key:     string(key.Data),
		callers: gateway.New(gateway.Settings{
			Listen: s.CallerListen, DataHall: s.DataHall, Dialect: platform.Dialect{}, MaxRequests: int(s.MemoryMB * requestsPerMB),
			MaxConns: int((s.Files - filesKept) * callersPart), TurnAways: s.Processor * turnAwaysPerCore,
			Processor:    s.Processor,
			WriteStall:   s.CallerStall,
			HeldBytes:    int(s.MemoryMB * heldPart * bytesPerMB),
			Fingerprints: maker,
		}, log, metrics),
		leave: routers.Leave,
		keep: func(peers *peer.Service, gens *generation.Service) kernel.Service {
			keeper := peerkey.New(peerkey.Settings{
				Store: kept, Key: platform.PeerKeyKey, Held: key,
				Take: func(key []byte) { peers.Rekey(key); maker.Rekey(key) },
			}, log)
			peers.OnForged(keeper.Stranger)
			metrics.Platform.Era.Set(float64(kept.Era()))
			kept.FollowEras(&eras{log: log, metrics: metrics.Platform, keeper: keeper, gens: gens})
			return keeper
		},
	}, nil
}

func build(ctx context.Context, s Settings, log zerolog.Logger) (*router, error) {
	r := &router{log: log, draining: make(chan struct{}), drainFor: s.Drain}
	metrics := telemetry.NewMetrics()
	around := own(s, log, metrics)
	if s.Interface == interfacePlatform {
		var err error
		if around, err = onPlatform(ctx, s, log, metrics); err != nil {
			return nil, err
		}
	}
	r.callers, r.leave = around.callers, around.leave
	self := member.Member{
		Name: s.Name, Address: s.PeerListen, DataHall: s.DataHall, Processor: s.Processor, Boot: rand.Uint64() | 1,
	}
	r.scheduler = scheduler.New(self, log, metrics)
	r.scheduler.LimitRetries(retry.Limits{Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: retryWindow})
	r.scheduler.LimitCold(cold.Limits{Overshoot: s.ColdOvershoot, Slack: s.ColdSlack})
	r.scheduler.LimitLoads(s.LoadsBytes)
	if s.HallHomes {
		r.scheduler.HomesInHalls()
	}
	gens := generation.New(around.source, log, metrics.Platform)
	administration := admin.New(s.AdminListen, s.OperatorToken, metrics.Registry, r.isDraining)
	if s.Profiles {
		administration.ServeProfiles()
	}
	peers := peer.New(peer.Settings{
		Name: s.Name, Boot: self.Boot, Listen: s.PeerListen, Key: []byte(around.key), EventLoop: s.EventLoop,
	}, metrics.Peer)
	services := []kernel.Service{
		telemetry.NewTraces(s.Name, s.TraceEndpoint),
		peers,
		r.scheduler,
		fleet.New(s.Name, around.routers, log),
		gens,
		heldstore.New(around.source.Store, log, metrics.Platform),
		claim.New(around.source.Store, s.StoreWrites, metrics.Platform),
		back.New(),
		status.New(s.Name, r.drain),
		administration,
		r.callers,
	}
	if around.keep != nil {
		services = append(services, around.keep(peers, gens))
	}
	if s.Interface == interfaceOwn {
		services = append(services, fleet.NewLoads(gens.InForce))
	}
	var err error
	r.kernel, err = kernel.New(services...)
	return r, err
}

func policyNames() []string {
	var out []string
	for _, p := range policies.All {
		out = append(out, p.Name)
	}
	return out
}
