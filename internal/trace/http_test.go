package trace

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"go.opentelemetry.io/otel/sdk/trace/tracetest"
)

func TestSpansOfHopsShareOneTrace(t *testing.T) {
	spans := tracetest.NewInMemoryExporter()
	tracer := newExportingTracer("host-1", spans)
	backend := httptest.NewServer(tracer.Handler("endpoint", http.NotFoundHandler()))
	defer backend.Close()
	client := &http.Client{Transport: tracer.Transport("call", http.DefaultTransport)}
	proxy := httptest.NewServer(tracer.Handler("proxy", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		request, err := http.NewRequestWithContext(r.Context(), http.MethodGet, backend.URL, nil)
		if err != nil {
			t.Error(err)
			return
		}
		response, err := client.Do(request)
		if err != nil {
			t.Error(err)
			return
		}
		response.Body.Close()
	})))
	defer proxy.Close()
	response, err := http.Get(proxy.URL)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if err := tracer.provider.ForceFlush(t.Context()); err != nil {
		t.Fatal(err)
	}
	parents := map[string]string{}
	names := map[string]string{}
	traces := map[string]bool{}
	for _, span := range spans.GetSpans() {
		names[span.SpanContext.SpanID().String()] = span.Name
		parents[span.Name] = span.Parent.SpanID().String()
		traces[span.SpanContext.TraceID().String()] = true
	}
	if got := len(traces); got != 1 {
		t.Errorf("got %d traces, want 1", got)
	}
	tests := map[string]struct{ want string }{
		"call":     {want: "proxy"},
		"endpoint": {want: "call"},
		"proxy":    {want: ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := names[parents[name]]; got != test.want {
				t.Errorf("got parent %q, want %q", got, test.want)
			}
		})
	}
}
