// Package front serves the callers: OpenAI-style completions and chat, and
// plain services. Every request gets one answer, its own, whole or visibly
// broken, or one refusal that says whether it was run.
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

// ServiceName is the name that the service is found by.
const ServiceName = "front"

const (
	maxBody     = 8 << 20
	idleTimeout = 60 * time.Second
	readTimeout = 30 * time.Second
	// drainPoll is how often a stopping router looks whether it is done.
	drainPoll = 20 * time.Millisecond
)

// Service serves callers.
type Service struct {
	listen string
	// writeStall is how long a caller may take nothing of its answer.
	writeStall time.Duration
	// fingerprints makes those of requests, alike at all routers.
	fingerprints fingerprint.Maker
	log          zerolog.Logger
	metrics      *telemetry.Metrics

	scheduler  *scheduler.Service
	generation *generation.Service
	claims     *claim.Service
	back       *back.Service
	traces     *telemetry.Traces
	witness    blame.Witness
	notices    *notices.Board

	pace     pace
	server   *fasthttp.Server
	listener net.Listener
	open     atomic.Int64
	draining atomic.Bool
	ended    chan struct{}
}

// New returns the service that listens on an IP and port, and whose callers may take nothing of an answer
// for so long.
func New(listen string, writeStall time.Duration, fingerprints fingerprint.Maker, log zerolog.Logger, metrics *telemetry.Metrics) *Service {
	return &Service{listen: listen, writeStall: writeStall, fingerprints: fingerprints, log: log, metrics: metrics, ended: make(chan struct{})}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Needs implements kernel.Service.
func (s *Service) Needs() []string {
	return []string{
		scheduler.ServiceName, generation.ServiceName, claim.ServiceName, back.ServiceName, telemetry.TracesName,
	}
}

// Start implements kernel.Service.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	if err := s.find(k); err != nil {
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
		ErrorHandler:          refuseUnread,
		MaxRequestBodySize:    maxBody,
		IdleTimeout:           idleTimeout,
		ReadTimeout:           readTimeout,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
	}
	go func() {
		defer close(s.ended)
		_ = s.server.Serve(stall.Listener{Listener: socket.Patient{Listener: listener}, Patience: s.writeStall})
	}()
	return nil
}

func (s *Service) find(k *kernel.Kernel) error {
	var failures [5]error
	s.scheduler, failures[0] = kernel.Lookup[*scheduler.Service](k, scheduler.ServiceName)
	s.generation, failures[1] = kernel.Lookup[*generation.Service](k, generation.ServiceName)
	s.claims, failures[2] = kernel.Lookup[*claim.Service](k, claim.ServiceName)
	s.back, failures[3] = kernel.Lookup[*back.Service](k, back.ServiceName)
	s.witness = blame.Witness{
		Decisions: s.scheduler, Servers: s.back, Fingerprints: s.fingerprints, Ended: s.metrics.Front.Ended,
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

// refuseUnread answers what the server couldn't read as a request.
func refuseUnread(ctx *fasthttp.RequestCtx, err error) {
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
	call, p := understand(ctx, c)
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

// Drain lets no request in after those that are here, and waits for them. New
// connections are still taken until the balancer has seen that the router isn't
// ready; their requests are refused as not run.
func (s *Service) Drain(ctx context.Context) {
	s.draining.Store(true)
	s.awaitOpen(ctx)
	time.Sleep(handoverPause)
	s.awaitOpen(ctx)
}

// handoverPause is how long a router stays after its last request, so that the
// others have heard that it is leaving.
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
	<-s.ended
	return err
}

func newRequestID() string { return strings.ToLower(rand.Text()) }
