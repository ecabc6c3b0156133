package trace

import (
	"net/http"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// Handler returns a handler that serves each request within a server span; hop is the name of the span.
func (t *Tracer) Handler(hop string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := propagator.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		ctx, span := t.tracer.Start(ctx, hop, trace.WithSpanKind(trace.SpanKindServer))
		defer span.End()
		span.SetAttributes(attribute.String("http.route", r.URL.Path))
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// transport sends each request within a client span.
type transport struct {
	tracer *Tracer
	hop    string
	next   http.RoundTripper
}

// Transport returns a transport that sends each request within a client span and with the W3C headers; hop is the name of the span.
func (t *Tracer) Transport(hop string, next http.RoundTripper) http.RoundTripper {
	return &transport{tracer: t, hop: hop, next: next}
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx, span := t.tracer.tracer.Start(r.Context(), t.hop, trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	r = r.Clone(ctx)
	propagator.Inject(ctx, propagation.HeaderCarrier(r.Header))
	response, err := t.next.RoundTrip(r)
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
		return nil, err
	}
	span.SetAttributes(attribute.Int("http.response.status_code", response.StatusCode))
	return response, nil
}
