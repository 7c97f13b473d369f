// Package back sends requests to backend servers, each exactly once.
package back

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

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
	prober  *prober
}

// New returns the service. probe makes a header that of a request that each backend server answers at once and without
// running it, whatever the answer; nil leaves it a GET request for the root.
func New(probe func(*fasthttp.RequestHeader)) *Service {
	if probe == nil {
		probe = func(*fasthttp.RequestHeader) {}
	}
	return &Service{clients: exchange.NewClients(dialTimeout), prober: newProber(probe)}
}

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

// Liveness reports whether the process of the backend server at address, an IP and port, is alive, by a request that is
// sent after the call. It takes up to half a second if the server doesn't respond.
func (s *Service) Liveness(address string) Liveness {
	return s.prober.of(address, maxProbing+probeTimeout)
}

// endedTimeout is the time limit for finding out that a backend server has ended, which delays the request that it
// interrupted.
const endedTimeout = 150 * time.Millisecond

// Ended reports whether the backend server at address, an IP and port, is known to have ended. One that is unreachable or
// hangs, or that has only reset connections, has not.
func (s *Service) Ended(address string) bool { return s.prober.of(address, endedTimeout) == Ended }
