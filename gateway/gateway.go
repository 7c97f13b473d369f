// Package gateway serves callers whose requests are passed through unchanged:
// by host and path, with the answer of the backend server handed on as it is.
//
// A request is read whole, decided on by the core, and sent to one backend
// server at a time. It is sent again only where that is allowed: where it was
// certainly not run, or may be repeated, within the attempts of its route and
// the retry budget of the fleet. What was sent and broke off is never called
// "not run". An answer reaches the caller whole or visibly broken.
//
// A caller that leaves ends the work for it at once: its connection is read
// from all the time, and the connection to the backend server is closed.
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
	"github.com/tamarindstep/tamarindstep/fingerprint"
	"github.com/tamarindstep/tamarindstep/generation"
	"github.com/tamarindstep/tamarindstep/internal/clock"
	"github.com/tamarindstep/tamarindstep/internal/socket"
	"github.com/tamarindstep/tamarindstep/kernel"
	"github.com/tamarindstep/tamarindstep/notices"
	"github.com/tamarindstep/tamarindstep/scheduler"
	"github.com/tamarindstep/tamarindstep/telemetry"
)

// ServiceName is the name that the service is found by.
const ServiceName = "gateway"

const (
	// drainPoll is how often a stopping router looks whether it is done.
	drainPoll = 20 * time.Millisecond
	// lingerFor is how long a stopping router takes requests on open and new
	// connections, as callers go on coming until its end is known.
	lingerFor = 2500 * time.Millisecond
)

// Settings are what the service is made with.
type Settings struct {
	Listen   string
	DataHall string // that this router is in
	Dialect  Dialect
	// MaxRequests is how many requests are served at once; more are refused.
	MaxRequests int
	// MaxConns is how many connections of callers are open at once; more are turned away.
	// From half of it on, connections end with their answers: callers keep those that rest
	// for many seconds, and those of an account that is refused often would take up all.
	MaxConns int
	// TurnAways is how many connections a second are turned away at the most, 0 for any number. More
	// wait in the system's queue until it is their turn, and what is to be done for others goes on.
	TurnAways float64
	// Processor is the part of a core that this router has, 0 for as many cores as it needs.
	Processor float64
	// HeldBytes is how much is held for callers, of their requests and answers, 0 for any amount.
	HeldBytes int
	// WriteStall is how long a caller may take nothing of its answer.
	WriteStall time.Duration
	// Fingerprints makes those of requests, alike at all routers.
	Fingerprints fingerprint.Maker
}

// Service serves callers.
type Service struct {
	settings Settings
	log      zerolog.Logger
	metrics  *telemetry.Metrics

	scheduler  *scheduler.Service
	generation *generation.Service
	back       *back.Service
	witness    blame.Witness
	notices    *notices.Board
	clock      *clock.Clock
	sleepers   sleepers

	listener  net.Listener
	door      *door              // nil where the listener can't have one
	unfollow  context.CancelFunc // ends the counting of work
	draining  atomic.Bool
	ending    atomic.Bool // no new requests are taken
	open      atomic.Int64
	connected atomic.Int64 // connections of callers, those that were turned away left out
	shed      atomic.Int64 // connections turned away that are still open
	shedNoted *occasional
	pending   *pending
	memory    *memory
	work      work

	mu    sync.Mutex
	conns map[*callerConn]struct{}
	ended sync.WaitGroup
}

// New returns the service.
func New(settings Settings, log zerolog.Logger, metrics *telemetry.Metrics) *Service {
	return &Service{settings: settings, log: log, metrics: metrics, conns: map[*callerConn]struct{}{}, shedNoted: newOccasional(), clock: clock.System, sleepers: newSleepers(), pending: newPending(settings.Processor, metrics.Front), memory: newMemory(settings.HeldBytes, log, metrics.Front), unfollow: func() {}}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Needs implements kernel.Service.
func (s *Service) Needs() []string {
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
	s.witness = blame.Witness{
		Decisions: s.scheduler, Servers: s.back, Fingerprints: s.settings.Fingerprints, Ended: s.metrics.Front.Ended,
	}
	s.notices = notices.New(s.scheduler, s.clock, s.metrics.Front.Notices)
	s.scheduler.Observe(scheduler.Observer{Slept: func(time.Duration) { s.sleepers.wake() }})
	// A caller that is gone is found by the time its request has, and its idle time.
	listen := net.ListenConfig{KeepAlive: -1}
	listener, err := listen.Listen(ctx, "tcp", s.settings.Listen)
	if err != nil {
		return err
	}
	s.listener = socket.Patient{Listener: listener}
	if s.door, err = newDoor(s, listener); err != nil {
		return errors.Join(err, listener.Close())
	}
	s.ended.Add(1)
	go s.accept()
	following, unfollow := context.WithCancel(context.WithoutCancel(ctx))
	s.unfollow = unfollow
	go s.work.follow(following, s.settings.Processor, s.log, s.metrics.Front)
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.unfollow()
	err := s.shut()
	s.closeConns(false)
	s.ended.Wait()
	return err
}

// shut ends the taking of connections.
func (s *Service) shut() error {
	err := s.listener.Close()
	if errors.Is(err, net.ErrClosed) {
		err = nil
	}
	if s.door != nil {
		err = errors.Join(err, s.door.close())
	}
	return err
}

// accept takes connections until the listener is closed.
func (s *Service) accept() {
	defer s.ended.Done()
	turnedAway := newPacer(s.settings.TurnAways)
	for {
		if s.door != nil && !s.overloaded() && s.pending.crowded(s.now()) {
			if s.door.meet() != nil {
				return // it is closed
			}
			continue
		}
		if s.door != nil {
			s.door.handOnEarly()
		}
		c, err := s.listener.Accept()
		if err != nil {
			return // it is closed
		}
		if s.isFull() {
			s.turnAway(c)
			turnedAway.pause()
			continue
		}
		s.take(c, nil)
	}
}

// isFull tells whether a new connection is turned away unread.
func (s *Service) isFull() bool {
	return s.overloaded() || s.connected.Load() >= int64(s.settings.MaxConns)
}

// take serves a connection, whose first request may have been let in already.
func (s *Service) take(c net.Conn, admitted *admission.Ticket) {
	s.work.did(workAccepted)
	s.connected.Add(1)
	s.ended.Add(1)
	go s.serve(c, admitted)
}

// serve serves one connection until it ends.
func (s *Service) serve(raw net.Conn, admitted *admission.Ticket) {
	defer s.ended.Done()
	c := newCallerConn(raw, limitsOf(s.generation.InForce()).HeaderBytes, s.settings.WriteStall)
	c.admitted = admitted
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	defer func() {
		s.giveBack(c.admitted)
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		c.release()
		s.connected.Add(-1)
	}()
	for s.serveOne(c) {
		c.busy.Store(false)
		if s.ending.Load() {
			return
		}
	}
}

// giveBack gives a place back of a request that has never been decided on, nil for none.
func (s *Service) giveBack(admitted *admission.Ticket) {
	if admitted != nil {
		s.pending.left(*admitted)
		s.pending.ended(*admitted)
	}
}

// serveOne serves one request, and tells whether the connection may carry
// another.
func (s *Service) serveOne(c *callerConn) bool {
	limits := limitsOf(s.generation.InForce())
	a := &attempt{service: s, conn: c, req: fasthttp.AcquireRequest()}
	defer a.release()
	refused, err := c.readHeader(a.req, limits)
	if err == nil && refused == nil {
		a.admit()
		a.takeBody(limits)
		if a.shed {
			return a.refuseUnread()
		}
		refused, err = c.readBody(a.req, limits)
		a.countBody()
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

// Drain lets a stopping router finish: callers are told to go elsewhere as
// they are answered, and after a while nothing new is taken. It returns once
// nothing is being served, or the context has ended.
func (s *Service) Drain(ctx context.Context) {
	s.draining.Store(true)
	linger := time.NewTimer(lingerFor)
	defer linger.Stop()
	select {
	case <-ctx.Done():
	case <-linger.C:
	}
	s.ending.Store(true)
	if err := s.shut(); err != nil {
		s.log.Warn().Err(err).Msg("the listener for callers can't be closed")
	}
	s.closeConns(true)
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for s.open.Load() > 0 && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
			s.closeConns(true)
		}
	}
}

// closeConns closes the callers' connections, or only those that rest.
func (s *Service) closeConns(resting bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if !resting || !c.busy.Load() {
			_ = c.Close()
		}
	}
}
