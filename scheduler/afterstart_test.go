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

// What was seen: now and then a router never heard of an evacuation, for a minute and more: no router of its fleet
// watched the store.
//
// How it came about: the core took its first step as soon as the scheduler was started, and said in it that this router
// watches the store and that the store is to be asked. The service that does both starts after the scheduler; on a busy machine
// it wasn't there yet. The core says each of them once.
//
// Proof: a pause of 200 ms before that service observes the core makes the router miss the evacuation each time.

// late is a service that takes a while to start, and then observes the core.
type late struct {
	watch   chan bool
	contact chan struct{}
}

func (late) Name() string               { return "late" }
func (late) Needs() []string            { return []string{ServiceName} }
func (late) Stop(context.Context) error { return nil }

func (l late) Start(_ context.Context, k *kernel.Kernel) error {
	s, err := kernel.Lookup[*Service](k, ServiceName)
	if err != nil {
		return err
	}
	time.Sleep(100 * time.Millisecond)
	s.Observe(Observer{Store: func(watch bool) { l.watch <- watch }, Contact: func() { l.contact <- struct{}{} }})
	return nil
}

func TestObserversThatStartLateMissNothing(t *testing.T) {
	is := is.New(t)
	free, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := free.Addr().String()
	is.NoErr(free.Close())
	metrics := telemetry.NewMetrics()
	self := member.Member{Name: "a", Address: address, DataHall: "hall", Boot: 1}
	observer := late{watch: make(chan bool, 1), contact: make(chan struct{}, 1)}
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
		t.Fatal("never told to watch the store")
	}
	select {
	case <-observer.contact:
	case <-time.After(10 * time.Second):
		t.Fatal("never told to ask the store")
	}
}
