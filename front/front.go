// Package front serves callers of OpenAI-style completion and chat endpoints and of plain services. Every request gets
// either its own response, whole or visibly truncated, or one refusal that says whether it was run.
package front

import (
	"context"
	"crypto/rand"
	"errors"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/fasthttp/router"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/tamarindstep/tamarindstep/back"
	"github.com/tamarindstep/tamarindstep/blame"
	"github.com/tamarindstep/tamarindstep/claim"
	"github.com/tamarindstep/tamarindstep/fingerprint"
	"github.com/tamarindstep/tamarindstep/generation"
	"github.com/tamarindstep/tamarindstep/internal/clock"
	"github.com/tamarindstep/tamarindstep/internal/socket"
	"github.com/tamarindstep/tamarindstep/internal/stall"
	"github.com/tamarindstep/tamarindstep/kernel"
	"github.com/tamarindstep/tamarindstep/notices"
	"github.com/tamarindstep/tamarindstep/scheduler"
	"github.com/tamarindstep/tamarindstep/telemetry"
)

// ServiceName is the name under which the service is registered with the kernel.
const ServiceName = "front"

const (
	maxBody     = 8 << 20
	idleTimeout = 60 * time.Second
	readTimeout = 30 * time.Second
	// drainPoll is the interval at which a draining router checks whether all requests have ended.
	drainPoll = 20 * time.Millisecond
)

// Service accepts callers' connections and serves their requests.
type Service struct {
	listen string
	// writeTimeout is how long the write of a response may make no progress.
	writeTimeout time.Duration
	// fingerprints computes the fingerprints of requests, with the same results on all routers.
	fingerprints fingerprint.Hasher
	log          zerolog.Logger
	metrics      *telemetry.Metrics

	scheduler  *scheduler.Service
	generation *generation.Service
	claims     *claim.Service
	back       *back.Service
	traces     *telemetry.Traces
	tracker    blame.Tracker
	notices    *notices.Board

	rates    rateEstimator
	server   *fasthttp.Server
	listener net.Listener
	open     atomic.Int64
	draining atomic.Bool
	stopped  chan struct{}

	sends context.Context // done when the requests in flight are cut, at the end of the time for a stop
	cut   context.CancelFunc
}

// New returns a Service that listens on an IP address and port. writeTimeout is how long the write of a response may
// make no progress.
func New(listen string, writeTimeout time.Duration, fingerprints fingerprint.Hasher, log zerolog.Logger, metrics *telemetry.Metrics) *Service {
	sends, cut := context.WithCancel(context.Background())
	return &Service{
		listen: listen, writeTimeout: writeTimeout, fingerprints: fingerprints, log: log, metrics: metrics, stopped: make(chan struct{}),
		sends: sends, cut: cut,
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Dependencies implements kernel.Service.
func (s *Service) Dependencies() []string {
	return []string{
		scheduler.ServiceName, generation.ServiceName, claim.ServiceName, back.ServiceName, telemetry.TracesName,
	}
}

// Start implements kernel.Service.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	if err := s.lookUp(k); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", s.listen)
	if err != nil {
		return err
	}
	s.listener = listener
	s.server = &fasthttp.Server{
		Handler:               s.handler(),
		Name:                  "tamarindstep",
		ErrorHandler:          refuseUnparsed,
		MaxRequestBodySize:    maxBody,
		IdleTimeout:           idleTimeout,
		ReadTimeout:           readTimeout,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
	}
	go func() {
		defer close(s.stopped)
		_ = s.server.Serve(stall.Listener{Listener: socket.RetryListener{Listener: listener}, WriteTimeout: s.writeTimeout})
	}()
	return nil
}

func (s *Service) lookUp(k *kernel.Kernel) error {
	var failures [5]error
	s.scheduler, failures[0] = kernel.Lookup[*scheduler.Service](k, scheduler.ServiceName)
	s.generation, failures[1] = kernel.Lookup[*generation.Service](k, generation.ServiceName)
	s.claims, failures[2] = kernel.Lookup[*claim.Service](k, claim.ServiceName)
	s.back, failures[3] = kernel.Lookup[*back.Service](k, back.ServiceName)
	s.tracker = blame.Tracker{
		Scheduler: s.scheduler, Servers: s.back, Fingerprints: s.fingerprints, Ended: s.metrics.Front.EndedServers,
	}
	s.notices = notices.New(s.scheduler, clock.System, s.metrics.Front.Notices)
	s.traces, failures[4] = kernel.Lookup[*telemetry.Traces](k, telemetry.TracesName)
	return errors.Join(failures[:]...)
}

func (s *Service) handler() fasthttp.RequestHandler {
	r := router.New()
	r.SaveMatchedRoutePath = false
	r.RedirectTrailingSlash = false
	r.RedirectFixedPath = false
	r.ANY("/v1/chat/completions", s.handle)
	r.ANY("/v1/completions", s.handle)
	r.ANY(servicePrefix+"{rest:*}", s.handle)
	r.NotFound = func(ctx *fasthttp.RequestCtx) {
		s.refuse(ctx, UnknownPath, string(ctx.Path()), 0)
	}
	return r.Handler
}

// refuseUnparsed answers a request that the HTTP server couldn't parse.
func refuseUnparsed(ctx *fasthttp.RequestCtx, err error) {
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		BodyTooLarge.write(ctx, "", 0)
		return
	}
	MalformedBody.write(ctx, err.Error(), 0)
}

// handle serves one request.
func (s *Service) handle(ctx *fasthttp.RequestCtx) {
	s.open.Add(1)
	s.metrics.Front.Open.Inc()
	defer s.open.Add(-1)
	defer s.metrics.Front.Open.Dec()
	if s.draining.Load() {
		ctx.SetConnectionClose()
	}
	c := s.generation.InForce()
	if c == nil || !s.generation.Ready() {
		s.refuse(ctx, NotReady, "", 0)
		return
	}
	call, p := parseCall(ctx, c)
	if p != nil {
		s.refuse(ctx, p.refusal, p.detail, 0)
		return
	}
	s.serve(ctx, call)
}

func (s *Service) refuse(ctx *fasthttp.RequestCtx, r *Refusal, detail string, retryAfter time.Duration) {
	s.metrics.Front.Refusals.WithLabelValues(r.Code).Inc()
	r.write(ctx, detail, retryAfter)
}

// BeginDrain makes each response from now on tell its caller to close the connection.
func (s *Service) BeginDrain() { s.draining.Store(true) }

// Drain refuses new requests and waits until those being served have ended. New connections are still accepted until the
// load balancer has seen that the router isn't ready; their requests are refused as not run. When ctx is done, requests
// that were sent are answered without a statement about whether they have run, and streams are broken off.
func (s *Service) Drain(ctx context.Context) {
	s.BeginDrain()
	s.awaitOpen(ctx)
	time.Sleep(handoverPause)
	s.awaitOpen(ctx)
	if s.open.Load() == 0 {
		return
	}
	s.log.Warn().Int64("open", s.open.Load()).Msg("requests still in flight at the end of the time for a stop are cut")
	s.cut()
	answered, cancel := context.WithTimeout(context.Background(), cutTime)
	defer cancel()
	s.awaitOpen(answered)
}

// cutTime is the time limit for answering the requests that are still in flight at the end of a stop.
const cutTime = 250 * time.Millisecond

// handoverPause is how long a router keeps serving after its last request, so that the other routers have received its
// notice of leaving.
const handoverPause = 300 * time.Millisecond

// awaitOpen waits until no request is being served.
func (s *Service) awaitOpen(ctx context.Context) {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for s.open.Load() > 0 {
		select {
		case <-ctx.Done():
			s.log.Warn().Int64("open", s.open.Load()).Msg("stopping with requests in flight")
			return
		case <-ticker.C:
		}
	}
}

// Stop implements kernel.Service.
func (s *Service) Stop(ctx context.Context) error {
	err := s.server.ShutdownWithContext(ctx)
	<-s.stopped
	return err
}

func newRequestID() string { return strings.ToLower(rand.Text()) }
