// Package peer carries what routers tell each other: datagrams over UDP, and
// calls over TCP on the same port. Both are proved with the peer key.
package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/tamarindstep/tamarindstep/internal/socket"
	"github.com/tamarindstep/tamarindstep/internal/stall"
	"github.com/tamarindstep/tamarindstep/kernel"
	"github.com/tamarindstep/tamarindstep/telemetry"
	"github.com/tamarindstep/tamarindstep/wire"
)

// ServiceName is the name that the service is found by.
const ServiceName = "peer"

// Settings are what the service is made with.
type Settings struct {
	Name   string
	Boot   uint64
	Listen string // IP and port, for both UDP and TCP
	Key    []byte
	// EventLoop receives datagrams by gnet's event loop, which takes a thread of
	// its own, and not by the Go runtime's poller.
	EventLoop bool
}

// Service is the routers' link to one another.
type Service struct {
	settings Settings
	metrics  *telemetry.Peer

	mu      sync.Mutex
	session *session
	receive func(*wire.Datagram)
	forged  func()            // nil for none
	known   map[string]string // address by name, as last sent to

	in      receiver
	booted  chan error
	out     *net.UDPConn
	calls   net.Listener
	handler wire.DRPCPeerServer
	cancel  context.CancelFunc
	ended   sync.WaitGroup
}

// New returns the service.
func New(settings Settings, metrics *telemetry.Peer) *Service {
	s := &Service{
		settings: settings,
		metrics:  metrics,
		session:  newSession(settings.Name, settings.Boot, settings.Key),
		known:    map[string]string{},
		booted:   make(chan error, 2),
		in:       &runtimePoller{},
	}
	if settings.EventLoop {
		s.in = &eventLoop{}
	}
	return s
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Needs implements kernel.Service.
func (s *Service) Needs() []string { return nil }

// OnDatagram sets what takes the datagrams; before it is set they are dropped.
func (s *Service) OnDatagram(receive func(*wire.Datagram)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.receive = receive
}

// OnForged sets what is told of each datagram that isn't made with the peer key. It must not block.
func (s *Service) OnForged(forged func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forged = forged
}

// Rekey makes another key the peer key.
func (s *Service) Rekey(key []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.session.key = key
}

func (s *Service) key() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.session.key
}

// HandleCalls sets what answers the other routers' calls. It must be set
// before any call can come, and callers wait until it is.
func (s *Service) HandleCalls(handler wire.DRPCPeerServer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handler = handler
}

// Start implements kernel.Service.
func (s *Service) Start(ctx context.Context, _ *kernel.Kernel) error {
	var err error
	s.calls, err = net.Listen("tcp", s.settings.Listen)
	if err != nil {
		return err
	}
	s.out, err = net.ListenUDP("udp", &net.UDPAddr{})
	if err != nil {
		return err
	}
	run, cancel := context.WithCancel(context.WithoutCancel(ctx))
	s.cancel = cancel
	s.ended.Add(2)
	go s.listenDatagrams()
	go s.acceptCalls(run)
	return <-s.booted
}

func (s *Service) listenDatagrams() {
	defer s.ended.Done()
	s.in.run(s.settings.Listen, func(err error) { s.booted <- err }, s.take)
}

// Stop implements kernel.Service.
func (s *Service) Stop(ctx context.Context) error {
	s.cancel()
	err := s.in.stop(ctx)
	_ = s.calls.Close()
	_ = s.out.Close()
	s.ended.Wait()
	return err
}

func (s *Service) take(b []byte, from net.Addr) {
	s.metrics.ReceivedBytes.Add(float64(len(b)))
	s.mu.Lock()
	in, err := s.session.open(b)
	receive, forged := s.receive, s.forged
	address := s.known[in.from]
	s.mu.Unlock()
	if err != nil {
		s.metrics.Refused.Inc()
	}
	if forged != nil && errorx.IsOfType(err, Forged) {
		forged()
	}
	if address == "" {
		address = in.address
	}
	if in.greet {
		s.greet(in.from, address, from)
	}
	if in.greet && in.address != "" && in.address != address {
		s.greet(in.from, in.address, from) // it has started again at another address
	}
	if in.again != nil && address != "" {
		s.Send(address, in.again)
	}
	if in.taken != nil && receive != nil {
		receive(in.taken)
	}
}

// greet greets a router at its known address, or where it says that it listens,
// so that a router which isn't told of the others can still be found by them; or
// else where its datagram came from.
func (s *Service) greet(name, address string, from net.Addr) {
	s.mu.Lock()
	b, err := s.session.greet(name)
	s.mu.Unlock()
	if err != nil {
		return
	}
	if address == "" {
		address = from.String()
	}
	s.write(address, b)
}

// Send sends a datagram to the router it names, at an IP and port, and returns how many bytes
// it takes.
func (s *Service) Send(address string, d *wire.Datagram) (bytes int) {
	s.mu.Lock()
	s.known[d.To] = address
	b, err := s.session.seal(d)
	s.mu.Unlock()
	if err != nil {
		s.metrics.Refused.Inc()
		return 0
	}
	s.write(address, b)
	return len(b)
}

func (s *Service) write(address string, b []byte) {
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		s.metrics.SendFailures.Inc()
		return
	}
	if _, err := s.out.WriteToUDP(b, to); err != nil {
		s.metrics.SendFailures.Inc()
		return
	}
	s.metrics.SentBytes.Add(float64(len(b)))
	s.metrics.SentDatagrams.Inc()
}

// acceptCalls serves the other routers' calls.
func (s *Service) acceptCalls(ctx context.Context) {
	defer s.ended.Done()
	calls := socket.Patient{Listener: s.calls}
	for {
		c, err := calls.Accept()
		if err != nil {
			return // it is closed
		}
		s.ended.Add(1)
		go s.serveCalls(ctx, c)
	}
}

func (s *Service) serveCalls(ctx context.Context, raw net.Conn) {
	defer s.ended.Done()
	c := stall.New(raw, writeStall)
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	defer func() { _ = c.Close() }()
	if err := shakeHands(c, s.key(), roleAcceptor, roleDialer); err != nil {
		s.metrics.Refused.Inc()
		return
	}
	s.mu.Lock()
	handler := s.handler
	s.mu.Unlock()
	if handler == nil {
		return
	}
	mux := drpcmux.New()
	if err := wire.DRPCRegisterPeer(mux, handler); err != nil {
		return
	}
	_ = drpcserver.New(mux).ServeOne(ctx, c)
}

const (
	// dialTimeout bounds the making of a connection to another router.
	dialTimeout = time.Second
	// writeStall is how long another router may take nothing of a message.
	writeStall = 2 * time.Second
)

// Call makes a connection to the router at an IP and port, and hands its client
// to do.
func (s *Service) Call(ctx context.Context, address string, do func(context.Context, wire.DRPCPeerClient) error) error {
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return Unreached.Wrap(err, "no connection to %s", address)
	}
	c := stall.New(raw, writeStall)
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	err = shakeHands(c, s.key(), roleDialer, roleAcceptor)
	stop() // drpc minds the context from here on
	if err != nil {
		_ = c.Close()
		return Unreached.Wrap(err, "no handshake with %s", address)
	}
	conn := drpcconn.New(c)
	defer func() { _ = conn.Close() }()
	return do(telemetry.ToPeer(ctx), wire.NewDRPCPeerClient(conn))
}

// Unreached is the error for a call that another router never got.
var Unreached = namespace.NewType("unreached")
