// Package gateway serves the callers whose requests are proxied unchanged: requests are routed by host and path, and
// the response of the backend server is relayed as received.
//
// A request is read whole, scheduled by the core, and sent to one backend server at a time. It is retried only if it
// certainly was not run or may be repeated, within the attempts of its route and the retry budget of the fleet. A
// request that was sent and whose response failed is never reported as "not run". A response reaches the caller whole
// or is visibly truncated.
//
// When a caller disconnects, the work for its request ends at once: the caller's connection is read from throughout,
// and the connection to the backend server is closed.
package gateway

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/tamarindstep/tamarindstep/back"
	"github.com/tamarindstep/tamarindstep/blame"
	"github.com/tamarindstep/tamarindstep/core/admission"
	"github.com/tamarindstep/tamarindstep/core/drain"
	"github.com/tamarindstep/tamarindstep/core/holding"
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
const ServiceName = "gateway"

// Settings configures a Service.
type Settings struct {
	Listen   string // IP address and port
	DataHall string // the data hall of this router
	Dialect  Dialect
	// MaxRequests is the number of requests served at once; further ones are refused.
	MaxRequests int
	// MaxConns is the number of open caller connections; further ones are rejected. Above half of it, connections are
	// closed after their responses: callers keep idle connections open for many seconds, and those of an account that
	// is refused often would use up the limit.
	MaxConns int
	// RejectRate is the maximum number of connections rejected per second, 0 for no limit. Further connections wait in
	// the listen queue, so that rejecting them does not delay other work.
	RejectRate float64
	// Processor is this router's share of a processor core, 0 for no limit.
	Processor float64
	// MemoryLimit limits the memory for request and response bodies, 0 for no limit.
	MemoryLimit int
	// WriteTimeout is how long the write of a response may make no progress.
	WriteTimeout time.Duration
	// Fingerprints computes the fingerprints of requests, with the same results on all routers.
	Fingerprints fingerprint.Hasher
}

// Service accepts callers' connections and serves their requests.
type Service struct {
	settings Settings
	log      zerolog.Logger
	metrics  *telemetry.Metrics

	scheduler  *scheduler.Service
	generation *generation.Service
	back       *back.Service
	tracker    blame.Tracker
	notices    *notices.Board
	clock      *clock.Clock
	inFlight   inFlight

	listener  socket.TCPListener
	screener  *screener          // nil if the listener does not support it
	stopWork  context.CancelFunc // stops reporting work
	draining  atomic.Bool
	stop      stop
	open      atomic.Int64
	connected atomic.Int64 // open caller connections, without rejected ones
	lingering atomic.Int64 // rejected connections that are still open
	shedLog   *logLimiter
	admitter  *admitter
	memory    *memory
	work      work

	mu      sync.Mutex
	conns   map[*callerConn]struct{}
	running sync.WaitGroup
}

// New returns a Service with the given settings.
func New(settings Settings, log zerolog.Logger, metrics *telemetry.Metrics) *Service {
	return &Service{settings: settings, log: log, metrics: metrics, conns: map[*callerConn]struct{}{}, shedLog: newLogLimiter(), clock: clock.System, inFlight: newInFlight(), admitter: newAdmitter(settings.Processor, metrics.Front), memory: newMemory(settings.MemoryLimit, log, metrics.Front), stopWork: func() {}, stop: stop{durations: drain.NewDurations()}}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Dependencies implements kernel.Service.
func (s *Service) Dependencies() []string {
	return []string{scheduler.ServiceName, generation.ServiceName, back.ServiceName}
}

// Start implements kernel.Service.
func (s *Service) Start(ctx context.Context, k *kernel.Kernel) error {
	var failures [3]error
	s.scheduler, failures[0] = kernel.Lookup[*scheduler.Service](k, scheduler.ServiceName)
	s.generation, failures[1] = kernel.Lookup[*generation.Service](k, generation.ServiceName)
	s.back, failures[2] = kernel.Lookup[*back.Service](k, back.ServiceName)
	if err := errors.Join(failures[:]...); err != nil {
		return err
	}
	s.tracker = blame.Tracker{
		Scheduler: s.scheduler, Servers: s.back, Fingerprints: s.settings.Fingerprints, Ended: s.metrics.Front.EndedServers,
	}
	s.notices = notices.New(s.scheduler, s.clock, s.metrics.Front.Notices)
	s.scheduler.Observe(scheduler.Observer{Suspended: func(time.Duration) { s.inFlight.cancelExpired() }})
	// Keep-alive probes are not needed: the deadline of a request and the idle timeout detect vanished callers.
	listen := net.ListenConfig{KeepAlive: -1}
	listener, err := socket.ListenTCP(ctx, listen, s.settings.Listen)
	if err != nil {
		return err
	}
	s.listener = listener
	if s.screener, err = newScreener(s, listener.TCPListener); err != nil {
		return errors.Join(err, listener.Close())
	}
	s.running.Add(1)
	go s.accept()
	workCtx, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	s.stopWork = stopWork
	go s.work.report(workCtx, s.settings.Processor, s.log, s.metrics.Front)
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.stopWork()
	err := s.closeListener()
	s.closeConns(false)
	s.running.Wait()
	return err
}

// closeListener stops accepting connections.
func (s *Service) closeListener() error {
	err := s.listener.Close()
	if errors.Is(err, net.ErrClosed) {
		err = nil
	}
	if s.screener != nil {
		err = errors.Join(err, s.screener.close())
	}
	return err
}

// accept accepts connections until the listener is closed.
func (s *Service) accept() {
	defer s.running.Done()
	rejections := newPacer(s.settings.RejectRate)
	for {
		if s.screener != nil && !s.overloaded() && s.admitter.isRefusing(s.now()) {
			if s.screener.acceptBatch() != nil {
				return // closed
			}
			continue
		}
		if s.screener != nil {
			s.screener.handOverWaiting()
		}
		c, err := s.listener.AcceptTCP()
		if err != nil {
			return // closed
		}
		if !s.startConn(c, nil) {
			s.rejectUnread(c)
			rejections.wait()
		}
	}
}

// isFull reports whether a new connection is rejected unread.
func (s *Service) isFull() bool {
	return s.overloaded() || s.connected.Load() >= int64(s.settings.MaxConns)
}

// startConn serves a connection in a new goroutine, and reports whether there was room for it. admitted is the ticket of
// its first request if that has been admitted already.
func (s *Service) startConn(c stall.Socket, admitted *admission.Ticket) bool {
	if s.isFull() {
		return false
	}
	reserved, ok := s.reserveConn()
	if !ok {
		return false
	}
	s.work.add(workAccepted)
	s.connected.Add(1)
	s.running.Add(1)
	go s.serve(c, admitted, reserved)
	return true
}

// serve serves one connection, for which the given number of bytes are reserved, until it ends.
func (s *Service) serve(raw stall.Socket, admitted *admission.Ticket, reserved int) {
	defer s.running.Done()
	defer s.memory.resize(holding.Connection, reserved, 0)
	c := newCallerConn(raw, limitsOf(s.generation.InForce()).HeaderBytes, s.settings.WriteTimeout)
	c.admitted = admitted
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	defer func() {
		s.releaseTicket(c.admitted)
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		c.release()
		s.connected.Add(-1)
	}()
	for s.serveOne(c) {
		c.busy.Store(false)
		if s.stop.refusing.Load() {
			return
		}
	}
}

// releaseTicket releases the ticket of a request that was admitted but never scheduled; nil is allowed.
func (s *Service) releaseTicket(admitted *admission.Ticket) {
	if admitted != nil {
		s.admitter.withdraw(*admitted)
		s.admitter.complete(*admitted)
	}
}

// serveOne serves one request and reports whether the connection may carry another.
func (s *Service) serveOne(c *callerConn) bool {
	limits := limitsOf(s.generation.InForce())
	a := &attempt{service: s, conn: c, req: fasthttp.AcquireRequest()}
	defer a.release()
	refused, err := c.readHeader(a.req, limits)
	if err == nil && refused == nil {
		a.admit()
		a.reserveHead()
		a.reserveBody(limits)
		if !a.shed {
			refused, err = a.readBody(limits)
		}
		if err != nil && s.stop.cutting.Load() {
			a.refused, a.keepAlive = stopping, false
			return a.refuseUnread()
		}
		if a.shed {
			return a.refuseUnread()
		}
	}
	if err != nil {
		return false
	}
	if refused != nil {
		s.metrics.Front.Refusals.WithLabelValues(refused.code).Inc()
		_ = refused.write(c, 0, true)
		return false
	}
	s.open.Add(1)
	defer s.open.Add(-1)
	return a.handle()
}
