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
	// run listens at an IP and port and hands on each datagram, whose bytes hold
	// until take returns, until it is stopped. It calls listening once, with the
	// error where it can't listen.
	run(listen string, listening func(error), take func(b []byte, from net.Addr))
	// stop ends run.
	stop(ctx context.Context) error
}

// eventLoop receives by gnet. Its loop waits in a system call of its own, on a
// thread that the Go runtime must hand work away from and back to at each datagram:
// it fits machines with several processors.
type eventLoop struct {
	gnet.BuiltinEventEngine
	engine    gnet.Engine
	listening func(error)
	take      func(b []byte, from net.Addr)
}

func (e *eventLoop) run(listen string, listening func(error), take func(b []byte, from net.Addr)) {
	e.listening, e.take = listening, take
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

// OnTraffic implements gnet.EventHandler: it takes one datagram.
func (e *eventLoop) OnTraffic(c gnet.Conn) gnet.Action {
	if b, err := c.Next(-1); err == nil {
		e.take(b, c.RemoteAddr())
	}
	return gnet.None
}

// receiveBuffer is the size of the buffer that a datagram is received in, in bytes.
const receiveBuffer = 64 << 10

// runtimePoller receives by the Go runtime's own poller, together with all other
// connections: it fits machines with one processor.
type runtimePoller struct{ conn *net.UDPConn }

func (p *runtimePoller) run(listen string, listening func(error), take func(b []byte, from net.Addr)) {
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
			take(b[:n], net.UDPAddrFromAddrPort(from))
		}
	}
}

func (p *runtimePoller) stop(context.Context) error { return p.conn.Close() }
