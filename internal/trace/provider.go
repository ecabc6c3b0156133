package trace

import (
	"context"
	"fmt"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"redwingspread/internal/model"
)

// Exporter is the destination of spans.
type Exporter string

// The exporters.
const (
	None   Exporter = "none"
	Stdout Exporter = "stdout"
	OTLP   Exporter = "otlp"
)

// instrumentationName is the name under which spans are recorded.
const instrumentationName = "redwingspread"

// propagator reads and writes the W3C trace context headers.
var propagator = propagation.TraceContext{}

// Tracer starts the spans of one host.
type Tracer struct {
	tracer   trace.Tracer
	provider *sdktrace.TracerProvider // nil when spans are discarded
}

// New returns a tracer that exports the host's spans; collector is the address of the OTLP collector, which other exporters ignore.
func New(ctx context.Context, host model.HostID, exporter Exporter, collector string) (tracer *Tracer, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("trace: %w", err)
		}
	}()
	switch exporter {
	case Stdout:
		spans, err := stdouttrace.New()
		if err != nil {
			return nil, err
		}
		return newExportingTracer(host, spans), nil
	case OTLP:
		spans, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(collector), otlptracehttp.WithInsecure())
		if err != nil {
			return nil, err
		}
		return newExportingTracer(host, spans), nil
	default:
		return Discard(), nil
	}
}

// Discard returns a tracer that discards all spans.
func Discard() *Tracer {
	return &Tracer{tracer: noop.NewTracerProvider().Tracer(instrumentationName)}
}

// Shutdown exports the pending spans and stops the exporter.
func (t *Tracer) Shutdown(ctx context.Context) error {
	if t.provider == nil {
		return nil
	}
	return t.provider.Shutdown(ctx)
}

// newExportingTracer returns a tracer that exports spans in batches.
func newExportingTracer(host model.HostID, spans sdktrace.SpanExporter) *Tracer {
	attributes := resource.NewSchemaless(attribute.String("host.name", string(host)))
	provider := sdktrace.NewTracerProvider(sdktrace.WithBatcher(spans), sdktrace.WithResource(attributes))
	return &Tracer{tracer: provider.Tracer(instrumentationName), provider: provider}
}
