package daemon

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

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
	"github.com/tamarindstep/tamarindstep/streamstore"
	"github.com/tamarindstep/tamarindstep/telemetry"
	"github.com/tamarindstep/tamarindstep/vmlist"
)

// requestsPerMB is the maximum number of concurrent requests per MB of memory. A request needs memory
// for its body, of some ten kilobytes, and for the buffers of two connections.
const requestsPerMB = 5

// heldFraction is the fraction of the memory available for data held for callers. More than a third of the data held
// for callers that don't read their answers is in kernel buffers.
const heldFraction = 0.75

const (
	// reservedFiles is the number of file descriptors reserved for uses other than connections
	// to callers and backend servers: other routers, the store, and the runtime.
	reservedFiles = 300
	// callersFraction is the fraction of the remaining descriptors available for callers'
	// connections. Each request also needs a connection to a backend server, and some
	// connections of both kinds are idle.
	callersFraction = 0.45
)

// refusalsPerCore is the maximum number of connections refused per second and core. At some 80 microseconds each
// (BenchmarkPlatformRefusal) they use a third of a core, which leaves the rest for serving requests and for the
// messages between routers.
const refusalsPerCore = 4000

// retryWindow is the period over which the retry budget is measured.
const retryWindow = 10 * time.Second

// callers is a service that serves callers.
type callers interface {
	kernel.Service
	// BeginDrain makes each answer from now on tell its caller to close the connection.
	BeginDrain()
	// Drain returns once no request is being served or ctx is done. New requests are refused, in some
	// implementations only after a grace period.
	Drain(ctx context.Context)
}

// router is a running router.
type router struct {
	log          zerolog.Logger
	kernel       *kernel.Kernel
	callers      callers
	scheduler    *scheduler.Service
	drainTimeout time.Duration
	drainOnce    sync.Once
	draining     chan struct{}
	leave        func(context.Context) error // removes the router from the router list
}

// drain starts the router's graceful shutdown. It may be called several times. Callers are told before the router stops
// being ready, so that none keeps a connection to one that no longer is.
func (r *router) drain() {
	r.drainOnce.Do(func() {
		r.callers.BeginDrain()
		close(r.draining)
	})
}

func (r *router) isDraining() bool {
	select {
	case <-r.draining:
		return true
	default:
		return false
	}
}

// close removes the router from the router list.
func (r *router) close() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := r.leave(ctx); err != nil {
		r.log.Warn().Err(err).Msg("router not removed from the router list; its entry remains until its lease expires")
	}
}

// leaveTimeout limits the time for removing a stopping router from the router list.
const leaveTimeout = 500 * time.Millisecond

// environment contains the parts of a router that depend on the interface: the store, the
// router list and the service for callers.
type environment struct {
	source  generation.Source
	routers vmlist.List
	key     string
	callers callers
	leave   func(context.Context) error
	// probe is for back.New, nil for its default.
	probe func(*fasthttp.RequestHeader)
	// keyService returns the service that maintains the peer key in the store. It is nil if there is none.
	keyService func(*peer.Service, *generation.Service) kernel.Service
}

func ownEnvironment(s Settings, log zerolog.Logger, metrics *telemetry.Metrics) environment {
	return environment{
		source:  generation.Source{Store: store.NewEtcd(s.Store)},
		routers: vmlist.NewHTTP(s.VMList),
		key:     s.PeerKey,
		callers: front.New(s.CallerListen, s.CallerStall, fingerprint.NewHasher([]byte(s.PeerKey)), log, metrics),
		leave:   func(context.Context) error { return nil },
	}
}

func platformEnvironment(ctx context.Context, s Settings, log zerolog.Logger, metrics *telemetry.Metrics) (environment, error) {
	kv := platform.NewStore(s.Store)
	key, err := platform.PeerKey(ctx, kv)
	if err != nil {
		return environment{}, err
	}
	log.Info().Msg("peer key read from the store")
	hasher := fingerprint.NewHasher(key.Data)
	routers := &platform.Routers{Store: kv, Self: vmlist.VM{
		Name: s.Name, Address: s.PeerListen, DataHall: s.DataHall, Role: vmlist.RoleRouter, State: vmlist.StateLive,
		Processor: s.Processor,
	}}
	return environment{
		source: generation.Source{
			Store: kv, Format: platform.Configuration{Policy: s.Policy},
			Operators: platform.Operators{Store: kv}, Discovery: platform.Backends{Store: kv},
		},
		routers: routers,
		key:     string(key.Data),
		callers: gateway.New(gateway.Settings{
			Listen: s.CallerListen, DataHall: s.DataHall, Dialect: platform.Dialect{}, MaxRequests: int(s.MemoryMB * requestsPerMB),
			MaxConns: int((s.Files - reservedFiles) * callersFraction), RejectRate: s.Processor * refusalsPerCore,
			Processor:    s.Processor,
			WriteTimeout: s.CallerStall,
			MemoryLimit:  int(s.MemoryMB * heldFraction * bytesPerMB),
			Fingerprints: hasher,
		}, log, metrics),
		leave: routers.Leave,
		probe: platform.Dialect{}.Probe,
		keyService: func(peers *peer.Service, generations *generation.Service) kernel.Service {
			keys := peerkey.New(peerkey.Settings{
				Store: kv, Key: platform.PeerKeyKey, Current: key,
				OnAdopt: func(key []byte) { peers.Rekey(key); hasher.Rekey(key) },
			}, log)
			peers.OnForged(keys.KeyMismatch)
			metrics.Platform.Era.Set(float64(kv.Era()))
			kv.ObserveEras(&eraListener{log: log, metrics: metrics.Platform, keys: keys, generations: generations})
			return keys
		},
	}, nil
}

func build(ctx context.Context, s Settings, log zerolog.Logger) (*router, error) {
	r := &router{log: log, draining: make(chan struct{}), drainTimeout: s.Drain}
	metrics := telemetry.NewMetrics()
	env := ownEnvironment(s, log, metrics)
	if s.Interface == interfacePlatform {
		var err error
		if env, err = platformEnvironment(ctx, s, log, metrics); err != nil {
			return nil, err
		}
	}
	r.callers, r.leave = env.callers, env.leave
	self := member.Member{
		Name: s.Name, Address: s.PeerListen, DataHall: s.DataHall, Processor: s.Processor, Boot: rand.Uint64() | 1,
	}
	r.scheduler = scheduler.New(self, log, metrics)
	r.scheduler.LimitRetries(retry.Limits{Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: retryWindow})
	r.scheduler.LimitCold(cold.Limits{Overshoot: s.ColdOvershoot, Slack: s.ColdSlack})
	r.scheduler.LimitLoads(s.LoadsBytes)
	if s.HallHomes {
		r.scheduler.SetHomePerHall()
	}
	generations := generation.New(env.source, log, metrics.Platform)
	adminService := admin.New(s.AdminListen, s.OperatorToken, metrics.Registry, r.isDraining)
	if s.Profiles {
		adminService.ServeProfiles()
	}
	peers := peer.New(peer.Settings{
		Name: s.Name, Boot: self.Boot, Listen: s.PeerListen, Key: []byte(env.key), EventLoop: s.EventLoop,
	}, metrics.Peer)
	services := []kernel.Service{
		telemetry.NewTraces(s.Name, s.TraceEndpoint),
		peers,
		r.scheduler,
		fleet.New(s.Name, env.routers, log),
		generations,
		heldstore.New(env.source.Store, log, metrics.Platform),
		streamstore.New(s.Name, env.source.Store, log, metrics.Platform),
		claim.New(env.source.Store, s.StoreWrites, metrics.Platform),
		back.New(env.probe),
		status.New(s.Name, r.drain),
		adminService,
		r.callers,
	}
	if env.keyService != nil {
		services = append(services, env.keyService(peers, generations))
	}
	if s.Interface == interfaceOwn {
		services = append(services, fleet.NewLoads(generations.InForce))
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
