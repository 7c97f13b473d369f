// Package peerkey keeps a router's peer key consistent with the one in the store.
//
// The first router creates the key in the store, and all others read it when they start. If the store is restored from
// a backup that is older than the key, it contains no key, or one that a router has created since. The running routers
// still use the previous key, so that a router which starts could not communicate with them. Therefore each router
// reads the store's key once in each era of the store. If its own key is of an earlier era, it writes that to the store
// again. If its own key is of the current era, it adopts the one in the store, as it hasn't communicated yet with
// routers that use the other key.
//
// # Conflicting keys
//
// Two groups of routers whose keys are both of earlier eras would replace each other's key in turn. Therefore a router
// replaces another key only once in an era, and from then on adopts the one in the store, so that all routers end up
// with the last one written. A router that receives datagrams that are not authenticated with its key reads the store
// again, but only for some time after its start and after a restore.
package peerkey

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/tamarindstep/tamarindstep/internal/clock"
	"github.com/tamarindstep/tamarindstep/internal/pause"
	"github.com/tamarindstep/tamarindstep/kernel"
	"github.com/tamarindstep/tamarindstep/model"
	"github.com/tamarindstep/tamarindstep/store"
)

// ServiceName is the name under which the service is registered.
const ServiceName = "peerkey"

const (
	// checkInterval is the minimum time between two checks, as each is a call of the store.
	checkInterval = time.Second
	// recheckPeriod is how long after the start and after a restore of the store a datagram with another key
	// triggers a check. Later it doesn't, so that the senders of such datagrams can't cause calls of the store.
	recheckPeriod = 30 * time.Second
	// callTimeout is the time limit for the calls of one check.
	callTimeout = 2 * time.Second
)

// Settings holds the settings of the service.
type Settings struct {
	Store store.Store
	// Key is the store key of the peer key. Current is the value that this router has read or created there.
	Key     string
	Current store.Value
	// OnAdopt is called with the new peer key when this router adopts another one.
	OnAdopt func(key []byte)
}

// Service checks and updates the peer key.
type Service struct {
	settings Settings
	log      zerolog.Logger
	wake     chan struct{}
	cancel   context.CancelFunc
	ended    chan struct{}

	mu           sync.Mutex
	recheckUntil time.Duration // end of recheckPeriod, by the clock that includes suspension
	keyEra       uint32        // era of this router's key
	replacedEra  uint32        // era in which it last replaced another key in the store, 0 for none
}

// New returns the service.
func New(settings Settings, log zerolog.Logger) *Service {
	era := model.Version(settings.Current.Revision).Era()
	return &Service{
		settings: settings, log: log, wake: make(chan struct{}, 1), ended: make(chan struct{}),
		keyEra: era, recheckUntil: clock.System.Now() + recheckPeriod,
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Dependencies implements kernel.Service.
func (s *Service) Dependencies() []string { return nil }

// Start implements kernel.Service.
func (s *Service) Start(ctx context.Context, _ *kernel.Kernel) error {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	s.cancel = cancel
	go s.run(runCtx)
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	<-s.ended
	return nil
}

// EraBegan notifies the service of a new era: the store has been restored from a backup.
func (s *Service) EraBegan() {
	s.mu.Lock()
	s.recheckUntil = clock.System.Now() + recheckPeriod
	s.mu.Unlock()
	s.requestCheck()
}

// KeyMismatch notifies the service of a received datagram that is not authenticated with this router's key.
func (s *Service) KeyMismatch() {
	s.mu.Lock()
	settled := clock.System.Now() > s.recheckUntil
	s.mu.Unlock()
	if !settled {
		s.requestCheck()
	}
}

func (s *Service) requestCheck() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Service) run(ctx context.Context) {
	defer close(s.ended)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		for ctx.Err() == nil && s.reconcile(ctx) != nil {
			_ = pause.For(ctx, checkInterval)
		}
		_ = pause.For(ctx, checkInterval)
	}
}

// reconcile compares this router's key with the store's, and updates one of them if they differ.
func (s *Service) reconcile(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	stored, err := s.settings.Store.Get(ctx, s.settings.Key)
	if err != nil {
		return err
	}
	era := model.Version(stored.Revision).Era()
	switch {
	case stored.Revision != 0 && string(stored.Data) == string(s.settings.Current.Data):
		return nil
	case stored.Revision != 0 && !s.mayReplace(era):
		s.adopt(stored, era)
		return nil
	}
	got, swapped, err := s.settings.Store.Swap(ctx, s.settings.Key, stored.Revision, s.settings.Current.Data)
	if err != nil {
		return err
	}
	if !swapped {
		s.requestCheck() // another router has written in the meantime
		return nil
	}
	written := model.Version(got.Revision).Era()
	s.mu.Lock()
	if stored.Revision != 0 {
		s.replacedEra = written
	}
	s.mu.Unlock()
	s.log.Warn().Uint32("era", written).Bool("replaced", stored.Revision != 0).Msg("the key that routers share was written again")
	return nil
}

// mayReplace reports whether this router's key takes precedence over another one that the store contains in an era.
func (s *Service) mayReplace(era uint32) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keyEra < era && s.replacedEra < era
}

// adopt makes the store's key this router's.
func (s *Service) adopt(stored store.Value, era uint32) {
	s.settings.Current = stored
	s.mu.Lock()
	s.keyEra = era
	s.mu.Unlock()
	s.settings.OnAdopt(stored.Data)
	s.log.Warn().Uint32("era", era).Msg("adopted another peer key from the store")
}
