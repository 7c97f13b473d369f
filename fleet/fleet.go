// Package fleet polls the platform's VM list and the load of the backend servers
// that this router owns, and reports both to the core.
package fleet

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/tamarindstep/tamarindstep/core"
	"github.com/tamarindstep/tamarindstep/core/member"
	"github.com/tamarindstep/tamarindstep/kernel"
	"github.com/tamarindstep/tamarindstep/scheduler"
	"github.com/tamarindstep/tamarindstep/vmlist"
)

// ServiceName is the name under which the VM list service is registered.
const ServiceName = "fleet"

// pollInterval is how often the VM list is read.
const pollInterval = time.Second

// Service polls the VM list and reports it to the core.
type Service struct {
	self      string
	list      vmlist.List
	log       zerolog.Logger
	scheduler *scheduler.Service

	mu      sync.Mutex
	routers map[string]string // by name, the address of each other router
	left    departures
	failing bool

	cancel context.CancelFunc
	ended  chan struct{}
}

// New returns the service for the router named self.
func New(self string, list vmlist.List, log zerolog.Logger) *Service {
	return &Service{
		self: self, list: list, log: log,
		routers: map[string]string{}, left: departures{limit: maxDeparted}, ended: make(chan struct{}),
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Dependencies implements kernel.Service.
func (s *Service) Dependencies() []string { return []string{scheduler.ServiceName} }

// Start implements kernel.Service. It doesn't wait for the first list.
func (s *Service) Start(ctx context.Context, k *kernel.Kernel) error {
	var err error
	if s.scheduler, err = kernel.Lookup[*scheduler.Service](k, scheduler.ServiceName); err != nil {
		return err
	}
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

// Routers returns the address of each other live router in the list, by name.
func (s *Service) Routers() map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.routers)
}

func (s *Service) run(ctx context.Context) {
	defer close(s.ended)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		s.poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Service) poll(ctx context.Context) {
	vms, err := s.list.VMs(ctx)
	if ctx.Err() != nil {
		return
	}
	s.logFailure(err)
	if err != nil {
		return
	}
	var listed []member.Listed
	routers := map[string]string{}
	live := map[string]bool{}
	for _, vm := range vms {
		if vm.Role == vmlist.RoleBackend {
			live[vm.Name] = vm.State == vmlist.StateLive
			continue
		}
		if vm.Name == s.self || vm.State != vmlist.StateLive {
			continue
		}
		listed = append(listed, member.Listed{
			Name: vm.Name, Address: vm.Address, DataHall: vm.DataHall, Processor: vm.Processor,
		})
		routers[vm.Name] = vm.Address
	}
	s.mu.Lock()
	s.routers = routers
	leaving := s.left.update(live)
	s.mu.Unlock()
	s.scheduler.Enqueue(core.Routers{Listed: listed})
	s.scheduler.Enqueue(core.Leaving{Backends: leaving})
}

// logFailure logs when reading the list starts to fail and when it succeeds again.
func (s *Service) logFailure(err error) {
	if failing := err != nil; failing != s.failing {
		s.failing = failing
		if failing {
			s.log.Warn().Err(err).Msg("reading the VM list failed; the last one stays in use")
			return
		}
		s.log.Info().Msg("VM list is readable again")
	}
}
