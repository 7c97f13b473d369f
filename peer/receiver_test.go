package peer

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/wire"
)

// receivers holds the kinds of receiver, with the value of Settings.EventLoop that selects each.
var receivers = map[string]bool{"event loop": true, "runtime's poller": false}

// TestDatagramsArrive sends datagrams between routers with different kinds of receiver.
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
				case <-time.After(50 * time.Millisecond): // answered by a greeting, or lost
				}
			}
			t.Fatal("no datagram received")
		})
	}
}

// TestAddressInUse lets each kind of receiver listen at an address that is in use.
func TestAddressInUse(t *testing.T) {
	for name, in := range map[string]receiver{"event loop": &eventLoop{}, "runtime's poller": &runtimePoller{}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			used, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
			is.NoErr(err)
			defer func() { is.NoErr(used.Close()) }()
			listenErr := make(chan error, 1)
			go in.run(used.LocalAddr().String(), func(err error) { listenErr <- err }, nil)
			is.True(<-listenErr != nil)
		})
	}
}

// TestRouterRestartsAtAnotherAddress guards against a router that restarts at another address but is only greeted at
// its previous one, so that its datagrams are not accepted.
func TestRouterRestartsAtAnotherAddress(t *testing.T) {
	is := is.New(t)
	key := []byte("one key for both")
	b := startAt(t, is, Settings{Name: "b", Boot: 2, Listen: freeAddress(is), Key: key})
	got := make(chan *wire.Datagram, 16)
	b.OnDatagram(func(d *wire.Datagram) { got <- d })
	b.Send(freeAddress(is), &wire.Datagram{To: "a"}) // address of its previous process
	a := startAt(t, is, Settings{Name: "a", Boot: 3, Listen: freeAddress(is), Key: key})
	rumours := []*wire.Rumour{{Name: "a", Address: a.settings.Listen}}
	for range 100 {
		a.Send(b.settings.Listen, &wire.Datagram{To: "b", Rumours: rumours})
		select {
		case d := <-got:
			is.Equal(d.Boot, uint64(3))
			return
		case <-time.After(50 * time.Millisecond): // answered by a greeting, or lost
		}
	}
	t.Fatal("no datagram received")
}
