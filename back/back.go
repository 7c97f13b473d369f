// Package back sends requests to backend servers, each exactly once.
package back

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/tamarindstep/tamarindstep/internal/exchange"
	"github.com/tamarindstep/tamarindstep/kernel"
)

// ServiceName is the name that the service is found by.
const ServiceName = "back"

const (
	dialTimeout = 500 * time.Millisecond
	// patience is how long a backend server may be silent before its answer
	// counts as broken off.
	patience = 60 * time.Second
)

// Service keeps the connections to the backend servers.
type Service struct {
	mu      sync.Mutex
	clients map[string]*exchange.Client
}

// New returns the service.
func New() *Service { return &Service{clients: map[string]*exchange.Client{}} }

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Needs implements kernel.Service.
func (s *Service) Needs() []string { return nil }

// Start implements kernel.Service.
func (s *Service) Start(context.Context, *kernel.Kernel) error { return nil }

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.clients {
		c.Close()
	}
	return nil
}

// Send sends a request to the backend server at an IP and port.
// exchange.NotSent tells of its error whether any byte was written.
func (s *Service) Send(ctx context.Context, address string, req *fasthttp.Request) (*exchange.Answer, error) {
	return s.client(address).Do(ctx, req, patience)
}

func (s *Service) client(address string) *exchange.Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.clients[address]
	if c == nil {
		c = exchange.NewClient(address, dialTimeout)
		s.clients[address] = c
	}
	return c
}
