package peer

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/wire"
)

// receivers are the ways to receive datagrams, by whether they are event loops.
var receivers = map[string]bool{"event loop": true, "runtime's poller": false}

// TestDatagramsArrive sends datagrams between a router of each kind.
func TestDatagramsArrive(t *testing.T) {
	for name, loop := range receivers {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			key := []byte("one key for both")
			a := startAt(t, is, Settings{Name: "a", Boot: 1, Listen: freeAddress(is), Key: key, EventLoop: !loop})
			b := startAt(t, is, Settings{Name: "b", Boot: 2, Listen: freeAddress(is), Key: key, EventLoop: loop})
			got := make(chan *wire.Datagram, 16)
			b.OnDatagram(func(d *wire.Datagram) { got <- d })
			rumours := []*wire.Rumour{{Name: "a", Address: a.settings.Listen}}
			for range 400 {
				a.Send(b.settings.Listen, &wire.Datagram{To: "b", From: "a", Rumours: rumours})
				select {
				case d := <-got:
					is.Equal(d.From, "a")
					return
				case <-time.After(50 * time.Millisecond): // greeted first, or lost
				}
			}
			t.Fatal("no datagram came")
		})
	}
}

// TestAddressInUse lets each kind listen where another socket already does.
func TestAddressInUse(t *testing.T) {
	for name, in := range map[string]receiver{"event loop": &eventLoop{}, "runtime's poller": &runtimePoller{}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			taken, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
			is.NoErr(err)
			defer func() { is.NoErr(taken.Close()) }()
			said := make(chan error, 1)
			go in.run(taken.LocalAddr().String(), func(err error) { said <- err }, nil)
			is.True(<-said != nil)
		})
	}
}

// TestARouterThatMovedIsHeardAtOnce guards against a router that starts again at another address, and is greeted where it
// listened before only.
func TestARouterThatMovedIsHeardAtOnce(t *testing.T) {
	is := is.New(t)
	key := []byte("one key for both")
	b := startAt(t, is, Settings{Name: "b", Boot: 2, Listen: freeAddress(is), Key: key})
	got := make(chan *wire.Datagram, 16)
	b.OnDatagram(func(d *wire.Datagram) { got <- d })
	b.Send(freeAddress(is), &wire.Datagram{To: "a"}) // where its process before listened
	a := startAt(t, is, Settings{Name: "a", Boot: 3, Listen: freeAddress(is), Key: key})
	rumours := []*wire.Rumour{{Name: "a", Address: a.settings.Listen}}
	for range 100 {
		a.Send(b.settings.Listen, &wire.Datagram{To: "b", Rumours: rumours})
		select {
		case d := <-got:
			is.Equal(d.Boot, uint64(3))
			return
		case <-time.After(50 * time.Millisecond): // greeted first, or lost
		}
	}
	t.Fatal("no datagram came")
}
