package telemetry

import (
	"context"

	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"
	semconv "go.opentelemetry.io/otel/semconv/v1.26.0"
	oteltrace "go.opentelemetry.io/otel/trace"

	"github.com/tamarindstep/tamarindstep/kernel"
)

// TracesName is the name that the service is registered under.
const TracesName = "traces"

// Traces is the service that creates spans and exports them to a collector, if one is configured.
type Traces struct {
	router     string
	endpoint   string // URL, "" if none is configured
	provider   *trace.TracerProvider
	tracer     oteltrace.Tracer
	propagator propagation.TraceContext
}

// NewTraces returns the service. Without an endpoint it propagates the trace context of callers
// but records no spans.
func NewTraces(router, endpoint string) *Traces {
	return &Traces{router: router, endpoint: endpoint, tracer: otel.Tracer(namespace)}
}

// Name implements kernel.Service.
func (t *Traces) Name() string { return TracesName }

// Dependencies implements kernel.Service.
func (t *Traces) Dependencies() []string { return nil }

// Start implements kernel.Service.
func (t *Traces) Start(ctx context.Context, _ *kernel.Kernel) error {
	if t.endpoint == "" {
		return nil
	}
	exporter, err := otlptracehttp.New(context.WithoutCancel(ctx), otlptracehttp.WithEndpointURL(t.endpoint))
	if err != nil {
		return err
	}
	t.provider = trace.NewTracerProvider(
		trace.WithBatcher(exporter),
		trace.WithResource(resource.NewSchemaless(
			semconv.ServiceName(namespace), semconv.ServiceInstanceID(t.router))),
	)
	t.tracer = t.provider.Tracer(namespace)
	return nil
}

// Stop implements kernel.Service.
func (t *Traces) Stop(ctx context.Context) error {
	if t.provider == nil {
		return nil
	}
	return t.provider.Shutdown(ctx)
}

// StartSpan starts a span.
func (t *Traces) StartSpan(ctx context.Context, name string, kind oteltrace.SpanKind) (context.Context, oteltrace.Span) {
	return t.tracer.Start(ctx, name, oteltrace.WithSpanKind(kind))
}

// Extract returns a context that continues the trace in a request header.
func (t *Traces) Extract(ctx context.Context, h *fasthttp.RequestHeader) context.Context {
	return t.propagator.Extract(ctx, headerCarrier{h})
}

// Inject adds the trace of a context to a request header.
func (t *Traces) Inject(ctx context.Context, h *fasthttp.RequestHeader) {
	t.propagator.Inject(ctx, headerCarrier{h})
}

// headerCarrier adapts a request header to propagation.TextMapCarrier.
type headerCarrier struct{ h *fasthttp.RequestHeader }

// Get implements propagation.TextMapCarrier.
func (c headerCarrier) Get(key string) string { return string(c.h.Peek(key)) }

// Set implements propagation.TextMapCarrier.
func (c headerCarrier) Set(key, value string) { c.h.Set(key, value) }

// Keys implements propagation.TextMapCarrier.
func (c headerCarrier) Keys() []string {
	var out []string
	for k := range c.h.All() {
		out = append(out, string(k))
	}
	return out
}
