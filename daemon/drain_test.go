package daemon

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/tamarindstep/tamarindstep/kernel"
)

// drainOrder records whether the router was still ready when its callers' service began to drain.
type drainOrder struct {
	kernel.Service
	router     *router
	began      int
	readyThen  bool
	drainCalls int
}

func (d *drainOrder) BeginDrain() {
	d.began++
	d.readyThen = !d.router.isDraining()
}

func (d *drainOrder) Drain(context.Context) { d.drainCalls++ }

// TestCallersAreToldBeforeRouterIsNotReady guards against answers that keep their connection though the router is no
// longer ready: its caller would send the next request to a router that is about to end.
func TestCallersAreToldBeforeRouterIsNotReady(t *testing.T) {
	is := is.New(t)
	r := &router{draining: make(chan struct{})}
	order := &drainOrder{router: r}
	r.callers = order
	r.drain()
	r.drain() // a signal, and an operator's request
	is.Equal(order.began, 1)
	is.True(order.readyThen)
	is.True(r.isDraining())
}
