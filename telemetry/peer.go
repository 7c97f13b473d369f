package telemetry

import (
	"context"

	"go.opentelemetry.io/otel/propagation"
	"storj.io/drpc/drpcmetadata"
)

// ToPeer returns a context whose calls to other routers propagate its trace.
func ToPeer(ctx context.Context) context.Context {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	if len(carrier) == 0 {
		return ctx
	}
	return drpcmetadata.AddPairs(ctx, carrier)
}

// FromPeer returns a context that continues the trace propagated by a call from another router.
func FromPeer(ctx context.Context) context.Context {
	pairs, ok := drpcmetadata.Get(ctx)
	if !ok {
		return ctx
	}
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier(pairs))
}
