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

// ServiceName is the name under which the service is registered.
const ServiceName = "back"

const (
	dialTimeout = 500 * time.Millisecond
	// responseTimeout is how long a backend server may send nothing before its
	// response is considered broken off.
	responseTimeout = 60 * time.Second
)

// Service sends requests to backend servers and keeps connections to them.
type Service struct {
	clients *exchange.Clients
	probes  singleflight.Group // by address
}

// New returns the service.
func New() *Service { return &Service{clients: exchange.NewClients(dialTimeout)} }

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Dependencies implements kernel.Service.
func (s *Service) Dependencies() []string { return nil }

// Start implements kernel.Service.
func (s *Service) Start(context.Context, *kernel.Kernel) error { return nil }

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.clients.Close()
	return nil
}

// Send sends a request to the backend server at address, an IP and port. Once connected, it calls wanted and sends
// nothing if that returns false. For its error exchange.NotSent reports whether no byte was written.
func (s *Service) Send(ctx context.Context, address string, req *fasthttp.Request, wanted func() bool) (*exchange.Response, error) {
	return s.clients.For(address).Do(ctx, req, exchange.Options{Timeout: responseTimeout, Wanted: wanted})
}

// Run identifies one run of a backend server by its address, an IP and port, and its start time, 0 if unknown.
type Run struct {
	Address string
	Born    uint64
}

// Exchange sends a request to one run of a backend server, with the given options.
func (s *Service) Exchange(ctx context.Context, to Run, req *fasthttp.Request, options exchange.Options) (*exchange.Response, error) {
	return s.clients.ForProcess(to.Address, to.Born).Do(ctx, req, options)
}

// probeTimeout is the time limit for probing a backend server whose response broke off. Without a listener on the port
// the connection is refused within a round trip, some milliseconds; waiting longer yields no more information.
const probeTimeout = 150 * time.Millisecond

// Ended reports whether the backend server at address, an IP and port, has ended: a new connection is refused then.
// A server that is unreachable or hangs doesn't respond, and one that has only reset connections accepts new ones;
// neither has ended. All requests that were broken off by the end of one server share one probe.
func (s *Service) Ended(address string) bool {
	ended, _, _ := s.probes.Do(address, func() (any, error) {
		c, err := net.DialTimeout("tcp", address, probeTimeout)
		if err == nil {
			_ = c.Close()
		}
		return errors.Is(err, syscall.ECONNREFUSED), nil
	})
	return ended.(bool)
}
