// Package peer implements the communication between routers: datagrams over UDP, and
// calls over TCP on the same port. Both are authenticated with the peer key.
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

// ServiceName is the name under which the service is registered.
const ServiceName = "peer"

// Settings holds the settings of the service.
type Settings struct {
	Name   string
	Boot   uint64 // identifies the process; other routers distinguish restarts by it
	Listen string // IP and port, for both UDP and TCP
	Key    []byte
	// EventLoop selects gnet's event loop, which uses its own thread, to receive
	// datagrams instead of the Go runtime's poller.
	EventLoop bool
}

// Service sends and receives datagrams, and makes and serves calls.
type Service struct {
	settings Settings
	metrics  *telemetry.Peer

	mu         sync.Mutex
	session    *session
	onDatagram func(*wire.Datagram)
	onForged   func()            // nil for none
	addresses  map[string]string // by router name, the address last sent to

	receiver     receiver
	listening    chan error
	sendConn     *net.UDPConn
	callListener net.Listener
	handler      wire.DRPCPeerServer
	cancel       context.CancelFunc
	ended        sync.WaitGroup
}

// New returns the service.
func New(settings Settings, metrics *telemetry.Peer) *Service {
	s := &Service{
		settings:  settings,
		metrics:   metrics,
		session:   newSession(settings.Name, settings.Boot, settings.Key),
		addresses: map[string]string{},
		listening: make(chan error, 2),
		receiver:  &runtimePoller{},
	}
	if settings.EventLoop {
		s.receiver = &eventLoop{}
	}
	return s
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Dependencies implements kernel.Service.
func (s *Service) Dependencies() []string { return nil }

// OnDatagram sets the handler of accepted datagrams. Without a handler they are dropped.
func (s *Service) OnDatagram(onDatagram func(*wire.Datagram)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onDatagram = onDatagram
}

// OnForged sets a function that is called for each datagram that is not authenticated with the peer key. It must not
// block.
func (s *Service) OnForged(onForged func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onForged = onForged
}

// Rekey replaces the peer key.
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

// HandleCalls sets the handler of other routers' calls. It must be set before the
// first call arrives: connections are closed without a handler.
func (s *Service) HandleCalls(handler wire.DRPCPeerServer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handler = handler
}

// Start implements kernel.Service.
func (s *Service) Start(ctx context.Context, _ *kernel.Kernel) error {
	var err error
	s.callListener, err = net.Listen("tcp", s.settings.Listen)
	if err != nil {
		return err
	}
	s.sendConn, err = net.ListenUDP("udp", &net.UDPAddr{})
	if err != nil {
		_ = s.callListener.Close()
		return err
	}
	run, cancel := context.WithCancel(context.WithoutCancel(ctx))
	s.cancel = cancel
	s.ended.Add(2)
	go s.listenDatagrams()
	go s.acceptCalls(run)
	if err := <-s.listening; err != nil {
		s.close()
		return err
	}
	return nil
}

// close closes the sockets, apart from that for received datagrams, and waits until the goroutines have ended.
func (s *Service) close() {
	s.cancel()
	_ = s.callListener.Close()
	_ = s.sendConn.Close()
	s.ended.Wait()
}

func (s *Service) listenDatagrams() {
	defer s.ended.Done()
	s.receiver.run(s.settings.Listen, func(err error) { s.listening <- err }, s.handleDatagram)
}

// Stop implements kernel.Service.
func (s *Service) Stop(ctx context.Context) error {
	s.cancel()
	err := s.receiver.stop(ctx)
	s.close()
	return err
}

func (s *Service) handleDatagram(b []byte, from net.Addr) {
	s.metrics.ReceivedBytes.Add(float64(len(b)))
	s.mu.Lock()
	opened, err := s.session.open(b)
	onDatagram, onForged := s.onDatagram, s.onForged
	address := s.addresses[opened.sender]
	s.mu.Unlock()
	if err != nil {
		s.metrics.Refused.Inc()
	}
	if onForged != nil && errorx.IsOfType(err, Forged) {
		onForged()
	}
	if address == "" {
		address = opened.listenAddress
	}
	if opened.greet {
		s.greet(opened.sender, address, from)
	}
	if opened.greet && opened.listenAddress != "" && opened.listenAddress != address {
		s.greet(opened.sender, opened.listenAddress, from) // it has restarted at another address
	}
	if opened.resend != nil && address != "" {
		s.Send(address, opened.resend)
	}
	if opened.accepted != nil && onDatagram != nil {
		onDatagram(opened.accepted)
	}
}

// greet sends a greeting to a router at address, or to the source address of its datagram if
// address is empty. The address is the last one sent to, or the one in the router's datagram:
// with it, routers that have no address of the other can still establish sessions.
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

// Send sends a datagram to the router in d.To at address, an IP and port, and returns its size in bytes, 0 if it
// couldn't be encoded. Errors are only counted.
func (s *Service) Send(address string, d *wire.Datagram) (bytes int) {
	s.mu.Lock()
	s.addresses[d.To] = address
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
	if _, err := s.sendConn.WriteToUDP(b, to); err != nil {
		s.metrics.SendFailures.Inc()
		return
	}
	s.metrics.SentBytes.Add(float64(len(b)))
	s.metrics.SentDatagrams.Inc()
}

// acceptCalls serves the other routers' calls.
func (s *Service) acceptCalls(ctx context.Context) {
	defer s.ended.Done()
	listener := socket.RetryListener{Listener: s.callListener}
	for {
		c, err := listener.Accept()
		if err != nil {
			return // the listener is closed
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
	if err := handshake(c, s.key(), roleAcceptor, roleDialer); err != nil {
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
	// dialTimeout is the time limit for connecting to another router.
	dialTimeout = time.Second
	// writeStall is how long writing a message may make no progress.
	writeStall = 2 * time.Second
)

// Call connects to the router at address, an IP and port, and calls do with a client of
// the connection. The error is that of do, or of type Unreachable if there is no connection.
func (s *Service) Call(ctx context.Context, address string, do func(context.Context, wire.DRPCPeerClient) error) error {
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return Unreachable.Wrap(err, "no connection to %s", address)
	}
	c := stall.New(raw, writeStall)
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	err = handshake(c, s.key(), roleDialer, roleAcceptor)
	stop() // from here on drpc handles the end of the context
	if err != nil {
		_ = c.Close()
		return Unreachable.Wrap(err, "no handshake with %s", address)
	}
	conn := drpcconn.New(c)
	defer func() { _ = conn.Close() }()
	return do(telemetry.ToPeer(ctx), wire.NewDRPCPeerClient(conn))
}

// Unreachable is the error for a call that was not sent, as there was no authenticated connection.
var Unreachable = namespace.NewType("unreached")
