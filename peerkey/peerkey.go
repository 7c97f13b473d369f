// Package peerkey keeps the key that all routers share where the store has it.
//
// The first router makes the key, and all others read it as they start. A store that comes back from a copy which is older than
// the key has none, or one that a router has made since: the fleet goes on with its own, and whoever starts is alone. So each
// router looks once in each era of the store, and where its key is older than the era it writes the key again. A router
// whose key is of this era takes the one that it finds: it has joined nobody yet who knows the other.
//
// # What ends a quarrel
//
// Two groups of routers, each of which takes its key for the older one, would write in turn. A router writes its key
// in place of another only once in an era, and takes what it finds from then on: so the last one written is everybody's.
// Who meets datagrams that aren't made with its key looks again, for some time after its start and after a return.
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

// ServiceName is the name that the service is found by.
const ServiceName = "peerkey"

const (
	// lookPause is how far apart two looks are at the least: each is a call of the store.
	lookPause = time.Second
	// unsettledFor is how long after its start, and after a return of the store, a router looks again when it is sent
	// what isn't made with its key. Later on nobody can make it call the store.
	unsettledFor = 30 * time.Second
	// callTimeout bounds a call.
	callTimeout = 2 * time.Second
)

// Settings are what the service is made with.
type Settings struct {
	Store store.Store
	// Key is where the store has it, and Held what this router has read or made, of that version.
	Key  string
	Held store.Value
	// Take makes another key this router's.
	Take func(key []byte)
}

// Service keeps the key.
type Service struct {
	settings Settings
	log      zerolog.Logger
	wake     chan struct{}
	cancel   context.CancelFunc
	ended    chan struct{}

	mu       sync.Mutex
	era      uint32        // the newest that is known
	settled  time.Duration // when, by the clock that counts sleep
	own      uint32        // era of the key
	replaced uint32        // era in which it was written in place of another, 0 for none yet
}

// New returns the service.
func New(settings Settings, log zerolog.Logger) *Service {
	era := model.Version(settings.Held.Revision).Era()
	return &Service{
		settings: settings, log: log, wake: make(chan struct{}, 1), ended: make(chan struct{}),
		era: era, own: era, settled: clock.System.Now() + unsettledFor,
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Needs implements kernel.Service.
func (s *Service) Needs() []string { return nil }

// Start implements kernel.Service.
func (s *Service) Start(ctx context.Context, _ *kernel.Kernel) error {
	run, cancel := context.WithCancel(context.WithoutCancel(ctx))
	s.cancel = cancel
	go s.follow(run)
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	<-s.ended
	return nil
}

// EraBegan tells that the store has come back from a copy.
func (s *Service) EraBegan(era uint32) {
	s.mu.Lock()
	s.era = max(s.era, era)
	s.settled = clock.System.Now() + unsettledFor
	s.mu.Unlock()
	s.look()
}

// Stranger tells that something came that isn't made with this router's key.
func (s *Service) Stranger() {
	s.mu.Lock()
	settled := clock.System.Now() > s.settled
	s.mu.Unlock()
	if !settled {
		s.look()
	}
}

func (s *Service) look() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Service) follow(ctx context.Context) {
	defer close(s.ended)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		for ctx.Err() == nil && s.settle(ctx) != nil {
			_ = pause.For(ctx, lookPause)
		}
		_ = pause.For(ctx, lookPause)
	}
}

// settle brings this router's key and the store's together.
func (s *Service) settle(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	there, err := s.settings.Store.Get(ctx, s.settings.Key)
	if err != nil {
		return err
	}
	era := model.Version(there.Revision).Era()
	switch {
	case there.Revision != 0 && string(there.Data) == string(s.settings.Held.Data):
		return nil
	case there.Revision != 0 && !s.mayReplace(era):
		s.take(there, era)
		return nil
	}
	got, swapped, err := s.settings.Store.Swap(ctx, s.settings.Key, there.Revision, s.settings.Held.Data)
	if err != nil {
		return err
	}
	if !swapped {
		s.look() // another was quicker
		return nil
	}
	written := model.Version(got.Revision).Era()
	s.mu.Lock()
	if there.Revision != 0 {
		s.replaced = written
	}
	s.mu.Unlock()
	s.log.Warn().Uint32("era", written).Bool("replaced", there.Revision != 0).Msg("the key that routers share was written again")
	return nil
}

// mayReplace tells whether this router's key goes before another one that the store has in an era.
func (s *Service) mayReplace(era uint32) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.own < era && s.replaced < era
}

// take makes the store's key this router's.
func (s *Service) take(there store.Value, era uint32) {
	s.settings.Held = there
	s.mu.Lock()
	s.own = era
	s.mu.Unlock()
	s.settings.Take(there.Data)
	s.log.Warn().Uint32("era", era).Msg("the key that routers share was another one: taken")
}
