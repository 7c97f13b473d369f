package peer

import (
	"context"
	"errors"
	"net"
	"net/netip"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"
)

// receiver receives datagrams.
type receiver interface {
	// run listens at an IP and port and calls handle for each datagram until it is
	// stopped. The bytes are valid until handle returns. It calls listening once, with
	// the error if listening fails, otherwise with nil.
	run(listen string, listening func(error), handle func(b []byte, from net.Addr))
	// stop ends run.
	stop(ctx context.Context) error
}

// eventLoop receives datagrams with gnet. Its loop blocks in its own system call, on a
// thread from which the Go runtime must move other work away and back at each datagram.
// It suits VMs with several processors.
type eventLoop struct {
	gnet.BuiltinEventEngine
	engine    gnet.Engine
	listening func(error)
	handle    func(b []byte, from net.Addr)
}

func (e *eventLoop) run(listen string, listening func(error), handle func(b []byte, from net.Addr)) {
	e.listening, e.handle = listening, handle
	err := gnet.Run(e, "udp://"+listen, gnet.WithMulticore(false), gnet.WithLogLevel(logging.FatalLevel))
	if err != nil {
		listening(err)
	}
}

func (e *eventLoop) stop(ctx context.Context) error { return e.engine.Stop(ctx) }

// OnBoot implements gnet.EventHandler.
func (e *eventLoop) OnBoot(engine gnet.Engine) gnet.Action {
	e.engine = engine
	e.listening(nil)
	return gnet.None
}

// OnTraffic implements gnet.EventHandler. It handles one datagram.
func (e *eventLoop) OnTraffic(c gnet.Conn) gnet.Action {
	if b, err := c.Next(-1); err == nil {
		e.handle(b, c.RemoteAddr())
	}
	return gnet.None
}

// receiveBuffer is the size of the buffer for one datagram, in bytes.
const receiveBuffer = 64 << 10

// runtimePoller receives datagrams with the Go runtime's poller, which also serves all
// other connections. It suits VMs with one processor.
type runtimePoller struct{ conn *net.UDPConn }

func (p *runtimePoller) run(listen string, listening func(error), handle func(b []byte, from net.Addr)) {
	address, err := netip.ParseAddrPort(listen)
	if err == nil {
		p.conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	}
	listening(err)
	if err != nil {
		return
	}
	b := make([]byte, receiveBuffer)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			handle(b[:n], net.UDPAddrFromAddrPort(from))
		}
	}
}

func (p *runtimePoller) stop(context.Context) error { return p.conn.Close() }
