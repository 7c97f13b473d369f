package back

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/tamarindstep/tamarindstep/internal/exchange"
)

// Liveness is what a probe found out about the process of a backend server.
type Liveness string

// The results of a probe.
const (
	// Alive means that the process has answered a request that was sent after the probe was asked for. Whatever it did
	// to a connection before, it did itself.
	Alive Liveness = "alive"
	// Ended means that nothing listens on the port any more.
	Ended Liveness = "ended"
	// Unknown means that the process neither answered in time nor is known to have ended.
	Unknown Liveness = "unknown"
)

const (
	// probeTimeout is the time limit of one request of a probe. A refused connection or an answer takes a round trip,
	// some milliseconds. A lost packet takes longer, and then the next request is sooner.
	probeTimeout = 150 * time.Millisecond
	// maxProbing is the time after which no further request is sent to a server whose state is unknown.
	maxProbing = 2 * probeTimeout
	// probeInterval is the pause after a probe whose connection was accepted and closed without an answer. The kernel
	// closes the sockets of a process that ends one after the other, the listener often last.
	probeInterval = 5 * time.Millisecond
)

// prober probes backend servers. Callers that ask about the same server share probes.
type prober struct {
	prepare func(*fasthttp.RequestHeader)

	mu      sync.Mutex
	waiting map[string]*probe // by address; an entry exists while probes of the server are running
}

// probe is a probe that has not begun yet, nil in the map if no caller waits for the next one.
type probe struct {
	done   chan struct{}
	result Liveness
}

func newProber(prepare func(*fasthttp.RequestHeader)) *prober {
	return &prober{prepare: prepare, waiting: map[string]*probe{}}
}

// of returns the state of the process at an IP and port, Unknown if that isn't found out within a limit. The probe begins
// after the call: one that is already running tells nothing about a connection that has ended since it began.
func (p *prober) of(address string, limit time.Duration) Liveness {
	p.mu.Lock()
	next, running := p.waiting[address]
	if next == nil {
		next = &probe{done: make(chan struct{})}
		p.waiting[address] = next
	}
	p.mu.Unlock()
	if !running {
		go p.run(address)
	}
	select {
	case <-next.done:
		return next.result
	case <-time.After(limit):
		return Unknown
	}
}

// run probes a server until no caller waits for a probe of it.
func (p *prober) run(address string) {
	for next := p.take(address); next != nil; next = p.take(address) {
		next.result = p.probe(address)
		close(next.done)
	}
}

// take returns the probe that callers wait for, nil if there is none.
func (p *prober) take(address string) *probe {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := p.waiting[address]
	if next == nil {
		delete(p.waiting, address)
		return nil
	}
	p.waiting[address] = nil
	return next
}

// probe sends requests to a server until one is answered, a connection is refused, or maxProbing has passed.
func (p *prober) probe(address string) Liveness {
	for began := time.Now(); time.Since(began) < maxProbing; time.Sleep(probeInterval) {
		if found := p.probeOnce(address); found != Unknown {
			return found
		}
	}
	return Unknown
}

// probeOnce sends one request on a new connection. Any bytes received come from the process itself.
func (p *prober) probeOnce(address string) Liveness {
	client := exchange.NewClient(address, probeTimeout)
	client.Close() // the connection is not kept
	var req fasthttp.Request
	req.SetRequestURI("/")
	req.Header.SetHost(address)
	p.prepare(&req.Header)
	response, err := client.Do(context.Background(), &req, exchange.Options{Timeout: probeTimeout, Within: probeTimeout, AllowUndelimited: true})
	switch {
	case err == nil:
		response.Close()
		return Alive
	case exchange.Received(err) > 0:
		return Alive
	case errors.Is(err, syscall.ECONNREFUSED):
		return Ended
	default:
		return Unknown
	}
}
