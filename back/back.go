// Package back sends requests to backend servers, each exactly once.
package back

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/singleflight"

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
	clients *exchange.Clients
	looks   singleflight.Group // by address
}

// New returns the service.
func New() *Service { return &Service{clients: exchange.NewClients(dialTimeout)} }

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Needs implements kernel.Service.
func (s *Service) Needs() []string { return nil }

// Start implements kernel.Service.
func (s *Service) Start(context.Context, *kernel.Kernel) error { return nil }

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.clients.Close()
	return nil
}

// Send sends a request to the backend server at an IP and port, if it is still wanted once there is a connection.
// exchange.NotSent tells of its error whether any byte was written.
func (s *Service) Send(ctx context.Context, address string, req *fasthttp.Request, wanted func() bool) (*exchange.Answer, error) {
	return s.clients.Of(address).Do(ctx, req, exchange.Options{Patient: patience, Wanted: wanted})
}

// Run is one run of a backend server: its IP and port, and when it started, 0 where it doesn't say.
type Run struct {
	Address string
	Born    uint64
}

// Exchange is Send to one run of a backend server, with options of the caller's.
func (s *Service) Exchange(ctx context.Context, to Run, req *fasthttp.Request, options exchange.Options) (*exchange.Answer, error) {
	return s.clients.OfRun(to.Address, to.Born).Do(ctx, req, options)
}

// lookTimeout bounds the look at a backend server whose answer broke off: a port that nobody listens on
// is refused within a round trip, some milliseconds, and whoever waits longer learns no more of it.
const lookTimeout = 150 * time.Millisecond

// Ended tells whether the backend server at an IP and port has ended, as far as a new connection shows:
// it is refused there. One that is cut off, frozen or dark doesn't answer, and one that has only reset
// connections takes new ones; neither has ended. All requests that one end broke off share one look.
func (s *Service) Ended(address string) bool {
	ended, _, _ := s.looks.Do(address, func() (any, error) {
		c, err := net.DialTimeout("tcp", address, lookTimeout)
		if err == nil {
			_ = c.Close()
		}
		return errors.Is(err, syscall.ECONNREFUSED), nil
	})
	return ended.(bool)
}
