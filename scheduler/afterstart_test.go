package scheduler

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/tamarindstep/tamarindstep/core/member"
	"github.com/tamarindstep/tamarindstep/kernel"
	"github.com/tamarindstep/tamarindstep/peer"
	"github.com/tamarindstep/tamarindstep/telemetry"
)

// slowObserver is a service that takes a while to start, and then observes the core.
type slowObserver struct {
	watch   chan bool
	contact chan struct{}
}

func (slowObserver) Name() string               { return "late" }
func (slowObserver) Dependencies() []string     { return []string{ServiceName} }
func (slowObserver) Stop(context.Context) error { return nil }

func (o slowObserver) Start(_ context.Context, k *kernel.Kernel) error {
	s, err := kernel.Lookup[*Service](k, ServiceName)
	if err != nil {
		return err
	}
	time.Sleep(100 * time.Millisecond)
	s.Observe(Observer{WatchStore: func(watch bool) { o.watch <- watch }, ContactStore: func() { o.contact <- struct{}{} }})
	return nil
}

// TestSlowObserverMissesNothing guards against a fleet in which no router watches the store, so that an evacuation isn't
// applied for a minute or more. The core requests the watch of the store, and a contact with it, only once, in its first
// step. If it takes that step when the scheduler starts, a service that starts later, on a busy VM, misses both: a pause
// of 200 ms before that service observed the core sufficed each time.
func TestSlowObserverMissesNothing(t *testing.T) {
	is := is.New(t)
	free, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := free.Addr().String()
	is.NoErr(free.Close())
	metrics := telemetry.NewMetrics()
	self := member.Member{Name: "a", Address: address, DataHall: "hall", Boot: 1}
	observer := slowObserver{watch: make(chan bool, 1), contact: make(chan struct{}, 1)}
	k, err := kernel.New(
		peer.New(peer.Settings{Name: "a", Boot: 1, Listen: address, Key: []byte("key")}, metrics.Peer),
		New(self, zerolog.Nop(), metrics), observer,
	)
	is.NoErr(err)
	is.NoErr(k.Start(context.Background()))
	defer func() { is.NoErr(k.Stop(context.Background())) }()
	select {
	case watch := <-observer.watch:
		is.True(watch)
	case <-time.After(10 * time.Second):
		t.Fatal("watching the store was never requested")
	}
	select {
	case <-observer.contact:
	case <-time.After(10 * time.Second):
		t.Fatal("contacting the store was never requested")
	}
}
